//! Permits over sockets: three daemons and an engine that crashes if it receives more concurrent
//! requests than its cold limit while it is cold.

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
    server::RoleHandle,
    stats::{EngineStats, RoleStats},
};

const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 6;
const FLEET_KEY: &str = "00112233445566778899aabbccddeeff";

struct Daemon {
    permits: Arc<Permits>,
    answered: Arc<AtomicU32>,
    _membership: Arc<Membership>,
    _server: PeerServer,
}

/// Returns a free address on a separate loopback IP address, so that the TCP port is free too.
fn free_addr(index: u8) -> SocketAddr {
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 77, 1 + index], 0))).expect("bind");
    socket.local_addr().expect("local address")
}

async fn engine() -> RoleHandle {
    let cold = ColdConfig {
        at_start: true,
        concurrency_limit: COLD_LIMIT,
        warmup_requests: 12,
    };
    let cfg = EngineConfig {
        versions: vec![VersionConfig::new("v", 1.0)],
        cold,
        ..EngineConfig::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Engine::spawn(cfg, any).await.expect("start an engine")
}

fn snapshot(engine: SocketAddr) -> Snapshot {
    let mut objects = Objects::default();
    let upstream = Upstream {
        address: engine,
        failure_domain: "padana-a".into(),
        state: ServiceState::In,
        offer: Offer::Engine {
            versions: vec!["v".into()],
            warm: WARM_LIMIT,
            cold: COLD_LIMIT,
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
        "fleet_key": FLEET_KEY,
    });
    let settings: Settings = serde_json::from_value(settings).expect("valid settings");
    let incarnation = 100 + u64::try_from(index).expect("index fits in u64");
    let core = Arc::new(Core::new(settings, Arc::new(SystemClock), incarnation));
    core.snapshot.send_replace(Arc::new(snapshot(engine)));
    let membership = Membership::spawn(core.clone())
        .await
        .expect("start membership");
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
    let server = PeerServer::bind(peers, FLEET_KEY, handler)
        .await
        .expect("bind the peer server");
    Daemon {
        permits,
        answered: Arc::default(),
        _membership: membership,
        _server: server,
    }
}

/// Sends requests in a loop, like one caller of a daemon.
async fn run_caller(
    permits: Arc<Permits>,
    client: EngineClient,
    answered: Arc<AtomicU32>,
    stop: Arc<AtomicBool>,
    id: usize,
) {
    let mut sequence = 0;
    while !stop.load(Ordering::SeqCst) {
        let deadline = Instant::now() + Duration::from_secs(1);
        let Ok(slot) = permits.acquire("u", deadline).await else {
            continue;
        };
        sequence += 1;
        let dispatch = EngineRequest {
            attempt: format!("{id}-{sequence}").into(),
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
                    permits.record_incarnation("u", incarnation);
                }
                slot.release_after_success();
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Err(_) => permits.record_crash("u"),
        }
    }
}

fn stats(engine: &RoleHandle) -> EngineStats {
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
async fn restarted_engine_stays_within_its_cold_limit() {
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
    let list = InstanceList::spawn(list, any)
        .await
        .expect("start the instance list");
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
            tasks.push(tokio::spawn(run_caller(
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
    let fully_used = || stats(&engine).running_peak >= WARM_LIMIT - 1;
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
            .expect("crash the engine");
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
        task.await.expect("a caller task panicked");
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
        stats.cold_peak <= COLD_LIMIT,
        "{} concurrent requests while cold",
        stats.cold_peak
    );
}
