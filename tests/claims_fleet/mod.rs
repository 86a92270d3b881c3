//! Service path of three daemons in one process, with stand-ins for the table and a service.

#![allow(dead_code, reason = "each test binary uses a different subset")]

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
/// Maximum time to wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Interval at which a condition is evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

pub(crate) type Outcome = Result<ServiceAnswer, Refusal>;

/// Components of one daemon, on a separate runtime so that the daemon can be killed.
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

/// Waits until a condition is met.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "{what}: not within {WAIT_LIMIT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Fleet {
    /// Starts all processes; the service spends `work` on each request.
    pub(crate) async fn spawn(work: Duration) -> Self {
        let table = Table::spawn(any_port()).await.expect("start the table");
        let mut replicas = Vec::new();
        for _ in 0..2 {
            let cfg = ServiceConfig {
                work,
                ..ServiceConfig::default()
            };
            replicas.push(
                Service::spawn(cfg, any_port())
                    .await
                    .expect("start a service"),
            );
        }
        let mut daemons = Vec::new();
        for (index, [name, domain]) in FLEET.into_iter().enumerate() {
            daemons.push(Daemon::spawn(name, domain, index as u64 + 1, table.address).await);
        }
        let fleet = Self {
            table,
            replicas,
            daemons,
        };
        fleet.share_member_list();
        fleet.publish().await;
        fleet
    }

    fn share_member_list(&self) {
        let members: Vec<Member> = self.daemons.iter().map(Daemon::member).collect();
        for daemon in &self.daemons {
            daemon.core.members.send_replace(members.clone().into());
        }
    }

    /// Sets the membership state of one daemon in the member lists of all daemons.
    pub(crate) fn set_member_state(&self, index: usize, state: MemberState) {
        let mut members: Vec<Member> = self.daemons.iter().map(Daemon::member).collect();
        members[index].state = state;
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
        wait_until(
            &format!("all daemons ready after {:?}", report.outcome),
            all_ready,
        )
        .await;
    }

    fn objects(&self) -> Objects {
        let replica = |index: usize, domain: &str| {
            json!({
                "address": self.replicas[index].address,
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
        serde_json::from_value(objects).expect("valid objects")
    }

    /// Restores the table and waits until it answers.
    pub(crate) async fn restore_table(&self) {
        self.control_table(&Control::Heal);
        let client = TableClient::new(self.table.address);
        let started = Instant::now();
        while client.read_one("any").await.is_err() {
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "the table did not answer within {WAIT_LIMIT:?}"
            );
        }
    }

    /// Waits until the invoice contains this many requests, and returns its totals.
    pub(crate) async fn wait_for_billed_requests(&self, requests: u64) -> CustomerTotal {
        let client = TableClient::new(self.table.address);
        let started = Instant::now();
        loop {
            let invoice = invoice(&client).await.expect("read the invoice");
            let total = invoice.customers.get("gate").copied().unwrap_or_default();
            if total.requests >= requests {
                return total;
            }
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "fewer than {requests} requests in {invoice:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of executions of a key by all replicas.
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

    pub(crate) fn control_replicas(&self, control: &Control) {
        for replica in &self.replicas {
            replica.control(control).expect("a supported fault");
        }
    }

    /// Takes all replicas down and waits until they are down.
    ///
    /// A replica that refuses connections closes its listener in a separate task. A connection
    /// accepted before that breaks after the request was sent, so the request may have been
    /// executed.
    pub(crate) async fn take_replicas_down(&self, how: Down) {
        self.control_replicas(&Control::Down { how });
        for replica in &self.replicas {
            while how == Down::Refuse && TcpStream::connect(replica.address).await.is_ok() {
                tokio::task::yield_now().await;
            }
        }
    }

    pub(crate) fn control_table(&self, control: &Control) {
        self.table.control(control).expect("a supported fault");
    }

    /// Returns a key that is bound to a daemon.
    pub(crate) fn home_key(&self, index: usize, suffix: &str) -> CompactString {
        let prefix = self.daemons[index]
            .claims
            .prefix()
            .expect("a valid fleet key");
        prefix.key(suffix).into()
    }

    /// Sends a non-idempotent intake call to a daemon.
    pub(crate) async fn intake(&self, index: usize, key: &str) -> Outcome {
        self.send(index, "POST", "/intake", "bale", Some(key)).await
    }

    pub(crate) async fn send(
        &self,
        index: usize,
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
        self.daemons[index].serve(call).await
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
            .expect("build a runtime");
        let settings = settings(name, domain, table);
        let startup = runtime.spawn(Self::start(settings, incarnation));
        let mut daemon = startup.await.expect("start a daemon");
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
        let server = server.expect("bind the peer server");
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
        let runtime = self.runtime.as_ref().expect("the daemon is running");
        let served = runtime.spawn(async move { services.serve(call).await });
        served.await.expect("the call panicked")
    }

    /// Stops the daemon immediately, without a graceful shutdown.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Shuts down the peer server, so that other daemons cannot reach this one.
    pub(crate) async fn isolate(&mut self) {
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
    .expect("valid settings")
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
