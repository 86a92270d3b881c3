//! Permits over sockets: three daemons and an engine that judges what it is sent while cold.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use futures::FutureExt;
use hibiscusyoke::{
    clock::SystemClock,
    daemon::{core::Core, membership::Membership, permits::Permits},
    protocol::peer::{PeerRequest, PeerResponse},
    settings::Settings,
    state::{
        objects::{Objects, Offer, ServiceState, Upstream},
        snapshot::Snapshot,
    },
    transport::{
        engine::{EngineClient, EngineRequest},
        http_client::Reuse,
        peers::{Handler, PeerServer},
    },
};
use platform_api::{
    engine::{ChatMessage, ChatRequest},
    instances::{Instance, InstanceState, Role},
};
use stand_in::{
    control::Control,
    engine::{ColdConfig, Engine, EngineConfig, VersionConfig},
    instances::{InstanceList, InstancesConfig},
    server::Running,
    stats::{EngineStats, RoleStats},
};

const COLD: u32 = 2;
const WARM: u32 = 6;
const KEY: &str = "00112233445566778899aabbccddeeff";

struct Daemon {
    permits: Arc<Permits>,
    answered: Arc<AtomicU32>,
    _membership: Arc<Membership>,
    _server: PeerServer,
}

/// An address of an IP number of its own, so that its TCP port is free too.
fn free_addr(index: u8) -> SocketAddr {
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 77, 1 + index], 0))).expect("bind");
    socket.local_addr().expect("an address")
}

async fn engine() -> Running {
    let cold = ColdConfig {
        at_start: true,
        bears: COLD,
        warms_after: 12,
    };
    let cfg = EngineConfig {
        versions: vec![VersionConfig::new("v", 1.0)],
        cold,
        ..EngineConfig::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Engine::spawn(cfg, any).await.expect("an engine")
}

fn snapshot(engine: SocketAddr) -> Snapshot {
    let mut objects = Objects::default();
    let upstream = Upstream {
        address: engine,
        failure_domain: "padana-a".into(),
        state: ServiceState::In,
        offer: Offer::Engine {
            versions: vec!["v".into()],
            warm: WARM,
            cold: COLD,
            fenced: false,
        },
    };
    objects.upstreams.insert("u".into(), upstream);
    Snapshot::new(1, objects)
}

async fn daemon(
    index: usize,
    peers: SocketAddr,
    instances: SocketAddr,
    engine: SocketAddr,
) -> Daemon {
    let settings = serde_json::json!({
        "name": format!("m{index}"),
        "failure_domain": "padana-a",
        "callers": peers,
        "peers": peers,
        "operators": peers,
        "platform": {"table": instances, "objects": instances, "instances": instances},
        "fleet_key": KEY,
    });
    let settings: Settings = serde_json::from_value(settings).expect("settings");
    let incarnation = 100 + u64::try_from(index).expect("small");
    let core = Arc::new(Core::new(settings, Arc::new(SystemClock), incarnation));
    core.snapshot.send_replace(Arc::new(snapshot(engine)));
    let membership = Membership::spawn(core.clone()).await.expect("membership");
    let permits = Permits::spawn(core, membership.clone());
    let served = permits.clone();
    let handler: Handler = Arc::new(move |req| {
        let permits = served.clone();
        async move {
            match req {
                PeerRequest::Permits(req) => PeerResponse::Permits(permits.answer(req).await),
                _ => PeerResponse::Refused("not served here".into()),
            }
        }
        .boxed()
    });
    let server = PeerServer::bind(peers, KEY, handler)
        .await
        .expect("a server");
    Daemon {
        permits,
        answered: Arc::default(),
        _membership: membership,
        _server: server,
    }
}

/// Keeps sending requests, as one of the many callers of a daemon would.
async fn work(
    permits: Arc<Permits>,
    client: EngineClient,
    answered: Arc<AtomicU32>,
    stop: Arc<AtomicBool>,
    id: usize,
) {
    let mut turn = 0;
    while !stop.load(Ordering::SeqCst) {
        let deadline = Instant::now() + Duration::from_secs(1);
        let Ok(slot) = permits.acquire("u", deadline).await else {
            continue;
        };
        turn += 1;
        let dispatch = EngineRequest {
            attempt: format!("{id}-{turn}").into(),
            req: ChatRequest {
                model: "v".into(),
                messages: vec![ChatMessage {
                    role: "user".into(),
                    content: "weighbridge note".into(),
                }],
                stream: false,
                max_tokens: Some(5),
            },
            priority: 0,
            resume_from: 0,
            limit: Duration::from_secs(5),
        };
        match client.complete(&dispatch, Reuse::Idle).await {
            Ok(answer) => {
                if let Some(incarnation) = answer.incarnation {
                    permits.saw_incarnation("u", incarnation);
                }
                slot.succeeded();
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Err(_) => permits.crashed("u"),
        }
    }
}

fn stats(engine: &Running) -> EngineStats {
    match engine.stats().role {
        RoleStats::Engine(stats) => stats,
        other => panic!("not an engine: {other:?}"),
    }
}

async fn wait_for(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn permits_engine_judges_cold_starts() {
    let engine = engine().await;
    let addrs: Vec<SocketAddr> = (0..3).map(free_addr).collect();
    let instance = |(i, addr): (usize, &SocketAddr)| Instance {
        name: format!("m{i}").into(),
        role: Role::Entry,
        failure_domain: "padana-a".into(),
        address: *addr,
        state: InstanceState::Live,
    };
    let list = InstancesConfig {
        instances: addrs.iter().enumerate().map(instance).collect(),
        ..InstancesConfig::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let list = InstanceList::spawn(list, any).await.expect("a list");
    let mut daemons = Vec::new();
    for (index, addr) in addrs.iter().enumerate() {
        daemons.push(daemon(index, *addr, list.address, engine.address).await);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        let client = EngineClient::new(engine.address);
        for worker in 0..4 {
            let (permits, answered) = (daemon.permits.clone(), daemon.answered.clone());
            let id = index * 10 + worker;
            tasks.push(tokio::spawn(work(
                permits,
                client.clone(),
                answered,
                stop.clone(),
                id,
            )));
        }
    }
    let total = || {
        daemons
            .iter()
            .map(|d| d.answered.load(Ordering::SeqCst))
            .sum::<u32>()
    };
    wait_for("first answers", Duration::from_secs(20), || total() > 5).await;
    let fully_used = || stats(&engine).running_peak >= WARM - 1;
    wait_for("full use when warm", Duration::from_secs(40), fully_used).await;
    for restart in [0, 300] {
        wait_for("a warm engine", Duration::from_secs(30), || {
            !stats(&engine).cold
        })
        .await;
        let before = total();
        wait_for("work when warm", Duration::from_secs(20), || {
            total() > before + 50
        })
        .await;
        let restart = Duration::from_millis(restart);
        engine
            .control(&Control::Crash { restart })
            .expect("a crash");
        let before = total();
        wait_for("answers after a crash", Duration::from_secs(20), || {
            total() > before + 5
        })
        .await;
    }
    wait_for("a warm engine", Duration::from_secs(30), || {
        !stats(&engine).cold
    })
    .await;
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        task.await.expect("a worker");
    }
    let stats = stats(&engine);
    println!(
        "cold peak {}, running peak {}, answered {}",
        stats.cold_peak,
        stats.running_peak,
        total()
    );
    assert_eq!(stats.cold_crashes, 0);
    assert!(
        stats.cold_peak <= COLD,
        "{} at once while cold",
        stats.cold_peak
    );
}
