//! Three daemons' service path in one process, with stand-ins for the table and a service.

#![allow(dead_code, reason = "each test binary uses its own part")]

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures::FutureExt;
use hibiscusyoke::{
    clock::SystemClock,
    coordination::{
        bills::CustomerTotal,
        configuration::{edit::Edit, outcome::PublishRequest},
        membership::{Member, MemberState},
    },
    daemon::{
        billing::{Billing, invoice},
        claims::Claims,
        configuration::Configuration,
        core::Core,
        service::{ServiceAnswer, ServiceCall, Services},
    },
    protocol::{
        peer::{PeerRequest, PeerResponse},
        problem::Refusal,
    },
    settings::Settings,
    state::objects::Objects,
    transport::{
        peers::{Handler, PeerServer},
        table::TableClient,
    },
};
use serde_json::json;
use stand_in::{
    control::{Control, Down},
    server::RoleHandle,
    service::{Service, ServiceConfig},
    stats::RoleStats,
    table::Table,
};
use tokio::{net::TcpStream, runtime::Runtime};

const FLEET_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const FLEET: [[&str; 2]; 3] = [["a", "x"], ["b", "y"], ["c", "z"]];
/// How long a condition may take to hold.
const LIMIT: Duration = Duration::from_secs(10);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(10);

pub(crate) type Outcome = Result<ServiceAnswer, Refusal>;

/// One daemon's parts, on a runtime of its own, so that it can be killed.
pub(crate) struct Daemon {
    pub(crate) core: Arc<Core>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) billing: Arc<Billing>,
    pub(crate) services: Arc<Services>,
    pub(crate) configuration: Arc<Configuration>,
    server: Option<PeerServer>,
    peers: SocketAddr,
    runtime: Option<Runtime>,
}

pub(crate) struct Fleet {
    pub(crate) table: RoleHandle,
    pub(crate) replicas: Vec<RoleHandle>,
    pub(crate) daemons: Vec<Daemon>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < LIMIT, "{what} in {LIMIT:?}");
        tokio::time::sleep(POLL).await;
    }
}

impl Fleet {
    /// Starts all; the service takes `work` for each request.
    pub(crate) async fn spawn(work: Duration) -> Self {
        let table = Table::spawn(any_port()).await.expect("a table");
        let mut replicas = Vec::new();
        for _ in 0..2 {
            let cfg = ServiceConfig {
                work,
                ..ServiceConfig::default()
            };
            replicas.push(Service::spawn(cfg, any_port()).await.expect("a service"));
        }
        let mut daemons = Vec::new();
        for (number, [name, domain]) in FLEET.into_iter().enumerate() {
            daemons.push(Daemon::spawn(name, domain, number as u64 + 1, table.address).await);
        }
        let fleet = Self {
            table,
            replicas,
            daemons,
        };
        fleet.meet();
        fleet.publish().await;
        fleet
    }

    fn meet(&self) {
        let members: Vec<Member> = self.daemons.iter().map(Daemon::member).collect();
        for daemon in &self.daemons {
            daemon.core.members.send_replace(members.clone().into());
        }
    }

    /// Makes all daemons believe something of one.
    pub(crate) fn believe(&self, number: usize, state: MemberState) {
        let mut members: Vec<Member> = self.daemons.iter().map(Daemon::member).collect();
        members[number].state = state;
        for daemon in &self.daemons {
            daemon.core.members.send_replace(members.clone().into());
        }
    }

    async fn publish(&self) {
        let edit = Edit::Objects {
            changes: self.objects().puts(),
            prune: false,
        };
        let request = PublishRequest {
            id: "first".into(),
            operator: "test".into(),
            edit,
            base: None,
            dry_run: false,
        };
        let report = self.daemons[0].configuration.publish(request).await;
        let ready =
            |d: &Daemon| d.core.snapshot().generation > 0 && d.configuration.readiness().is_ok();
        let all_ready = || self.daemons.iter().all(ready);
        until(&format!("ready, {:?}", report.outcome), all_ready).await;
    }

    fn objects(&self) -> Objects {
        let replica = |number: usize, domain: &str| {
            json!({
                "address": self.replicas[number].address,
                "failure_domain": domain,
                "offer": {"service": {"service": "registry", "concurrency": 60}},
            })
        };
        let objects = json!({
            "customers": {"gate": {"keys": [], "versions": [], "rules": [], "services": ["registry"]}},
            "failure_domains": {"x": {"region": "r"}, "y": {"region": "r"}, "z": {"region": "r"}},
            "services": {"registry": {
                "non_idempotent": [{"method": "POST", "path": "intake"}],
                "deadline_ms": 5_000,
            }},
            "upstreams": {"registry-1": replica(0, "x"), "registry-2": replica(1, "y")},
        });
        serde_json::from_value(objects).expect("objects")
    }

    /// Takes the table up again and waits until it answers.
    pub(crate) async fn table_up(&self) {
        self.on_table(&Control::Heal);
        let client = TableClient::new(self.table.address);
        let started = Instant::now();
        while client.read_one("any").await.is_err() {
            assert!(started.elapsed() < LIMIT, "the table answers");
        }
    }

    /// Waits until the invoice has this many requests, and returns its totals.
    pub(crate) async fn billed(&self, requests: u64) -> CustomerTotal {
        let client = TableClient::new(self.table.address);
        let started = Instant::now();
        loop {
            let invoice = invoice(&client).await.expect("an invoice");
            let total = invoice.customers.get("gate").copied().unwrap_or_default();
            if total.requests >= requests {
                return total;
            }
            assert!(
                started.elapsed() < LIMIT,
                "{requests} requests, {invoice:?}"
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// The number of executions of a key by all replicas.
    pub(crate) fn executions(&self, key: &str) -> u32 {
        let mut count = 0;
        for replica in &self.replicas {
            if let RoleStats::Service(stats) = replica.stats().role {
                let of_key = stats.executions.iter().filter(|e| e.key == key);
                count += of_key.map(|e| e.count).sum::<u32>();
            }
        }
        count
    }

    pub(crate) fn on_replicas(&self, control: &Control) {
        for replica in &self.replicas {
            replica.control(control).expect("a fault that it knows");
        }
    }

    /// Takes all replicas down, and waits until they are: one that refuses connections closes its
    /// listener in a task of its own, and a connection taken before that breaks after the request
    /// was sent, so that it may have run.
    pub(crate) async fn take_replicas_down(&self, how: Down) {
        self.on_replicas(&Control::Down { how });
        for replica in &self.replicas {
            while how == Down::Refuse && TcpStream::connect(replica.address).await.is_ok() {
                tokio::task::yield_now().await;
            }
        }
    }

    pub(crate) fn on_table(&self, control: &Control) {
        self.table.control(control).expect("a fault that it knows");
    }

    /// A key that is bound to a daemon.
    pub(crate) fn home_key(&self, number: usize, own: &str) -> CompactString {
        let prefix = self.daemons[number].claims.prefix().expect("a prefix");
        prefix.key(own).into()
    }

    /// Sends an intake, which may run at most once, to a daemon.
    pub(crate) async fn intake(&self, number: usize, key: &str) -> Outcome {
        self.send(number, "POST", "/intake", "bale", Some(key))
            .await
    }

    pub(crate) async fn send(
        &self,
        number: usize,
        method: &str,
        path: &str,
        body: &'static str,
        key: Option<&str>,
    ) -> Outcome {
        let call = ServiceCall {
            request_id: key.unwrap_or(path).to_compact_string(),
            customer: "gate".into(),
            service: "registry".into(),
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::from(body),
            idempotency_key: key.map(CompactString::from),
            deadline: None,
        };
        self.daemons[number].serve(call).await
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    async fn spawn(name: &str, domain: &str, incarnation: u64, table: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let settings = settings(name, domain, table);
        let starting = runtime.spawn(Self::start(settings, incarnation));
        let mut daemon = starting.await.expect("a start");
        daemon.runtime = Some(runtime);
        daemon
    }

    async fn start(settings: Settings, incarnation: u64) -> Self {
        let core = Arc::new(Core::new(settings, Arc::new(SystemClock), incarnation));
        let claims = Claims::spawn(core.clone());
        let billing = Billing::spawn(core.clone());
        let configuration = Configuration::spawn(core.clone());
        let services = Services::spawn(
            core.clone(),
            claims.clone(),
            billing.clone(),
            configuration.clone(),
        );
        let handler = handler(services.clone(), billing.clone(), configuration.clone());
        let server = PeerServer::bind(any_port(), FLEET_KEY, handler).await;
        let server = server.expect("a listener");
        Self {
            peers: server.local_addr(),
            runtime: None,
            core,
            claims,
            billing,
            services,
            configuration,
            server: Some(server),
        }
    }

    fn member(&self) -> Member {
        let settings = &self.core.settings;
        Member {
            name: settings.name.clone(),
            incarnation: self.core.incarnation,
            failure_domain: settings.failure_domain.clone(),
            callers: settings.callers,
            peers: self
                .server
                .as_ref()
                .map_or(any_port(), PeerServer::local_addr),
            state: MemberState::Alive,
            generation: 1,
        }
    }

    async fn serve(&self, call: ServiceCall) -> Outcome {
        let services = self.services.clone();
        let runtime = self.runtime.as_ref().expect("a live daemon");
        let served = runtime.spawn(async move { services.serve(call).await });
        served.await.expect("an end")
    }

    /// Ends it at once, wherever it is.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Lets nobody reach it any more.
    pub(crate) async fn cut_off(&mut self) {
        if let Some(server) = self.server.take() {
            server.shutdown(Duration::ZERO).await;
        }
    }
}

fn settings(name: &str, domain: &str, table: SocketAddr) -> Settings {
    serde_json::from_value(json!({
        "name": name,
        "failure_domain": domain,
        "callers": any_port(),
        "peers": any_port(),
        "operators": any_port(),
        "platform": {"table": table, "objects": table, "instances": table},
        "fleet_key": FLEET_KEY,
    }))
    .expect("settings")
}

fn handler(
    services: Arc<Services>,
    billing: Arc<Billing>,
    configuration: Arc<Configuration>,
) -> Handler {
    Arc::new(move |req| {
        let services = services.clone();
        let billing = billing.clone();
        let configuration = configuration.clone();
        async move {
            match req {
                PeerRequest::Claims(req) => PeerResponse::Claims(services.answer(req).await),
                PeerRequest::Bills(req) => PeerResponse::Bills(billing.answer(req).await),
                PeerRequest::Configuration(req) => {
                    PeerResponse::Configuration(configuration.answer(req).await)
                }
                _ => PeerResponse::Pong,
            }
        }
        .boxed()
    })
}
