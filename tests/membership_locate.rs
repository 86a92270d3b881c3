//! Tests which daemons `locate` returns to callers, and membership over real sockets.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::{Duration, Instant},
};

use hibiscusyoke::{
    clock::SystemClock,
    coordination::{
        locate::{MAX_ADDRESSES, locate},
        membership::{Member, MemberState},
    },
    daemon::{
        core::Core,
        locate::{LocateQuery, Locator},
        membership::Membership,
    },
    settings::Settings,
    state::{
        objects::{FailureDomain, Objects, ServiceState},
        snapshot::Snapshot,
    },
};
use platform_api::instances::{Instance, InstanceState, Instances, Role};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const DOMAINS: [&str; 4] = ["padana-a", "padana-b", "padana-c", "breizh-rennes"];

fn member(index: u16) -> Member {
    let domain = DOMAINS[usize::from(index) % DOMAINS.len()];
    let addr = SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
    Member {
        name: format!("m{index:03}").into(),
        incarnation: 1,
        failure_domain: domain.into(),
        callers: addr,
        peers: addr,
        state: MemberState::Alive,
        generation: 0,
    }
}

fn snapshot(out: Option<&str>) -> Snapshot {
    let mut objects = Objects::default();
    for domain in DOMAINS {
        let state = match out {
            Some(out) if out == domain => ServiceState::Out,
            _ => ServiceState::In,
        };
        let region = domain.split('-').next().unwrap_or_default().into();
        let domain_object = FailureDomain { region, state };
        objects.failure_domains.insert(domain.into(), domain_object);
    }
    Snapshot::new(1, objects)
}

#[test]
fn locate_nearest_first() {
    let members: Vec<Member> = (0..6).map(member).collect();
    let found = locate(&members, &snapshot(None), "padana-b", 0);
    let domains: Vec<&str> = found.iter().map(|m| m.failure_domain.as_str()).collect();
    let wanted = [
        "padana-b",
        "padana-b",
        "padana-a",
        "padana-c",
        "padana-a",
        "breizh-rennes",
    ];
    assert_eq!(domains, wanted);
}

#[test]
fn locate_spreads_first_addresses_evenly() {
    let members: Vec<Member> = (0..40).map(member).collect();
    let snapshot = snapshot(None);
    let mut firsts = std::collections::BTreeMap::new();
    for turn in 0..100 {
        let found = locate(&members, &snapshot, "padana-a", turn);
        assert_eq!(found.len(), MAX_ADDRESSES);
        *firsts.entry(found[0].name.clone()).or_insert(0) += 1;
    }
    assert_eq!(
        firsts.len(),
        10,
        "not all nearest daemons are used: {firsts:?}"
    );
    assert!(firsts.values().all(|n| *n == 10), "{firsts:?}");
}

#[test]
fn locate_excludes_leaving_dead_and_out_of_service() {
    let mut members: Vec<Member> = (0..12).map(member).collect();
    members[0].state = MemberState::Leaving;
    members[4].state = MemberState::Dead;
    members[8].state = MemberState::Suspect;
    for turn in 0..20 {
        let found = locate(&members, &snapshot(Some("padana-b")), "padana-b", turn);
        assert_eq!(found.len(), 7);
        assert!(found.iter().all(|m| m.failure_domain != "padana-b"));
        let gone = [MemberState::Leaving, MemberState::Dead];
        assert!(found.iter().all(|m| !gone.contains(&m.state)));
    }
}

/// Serves a fixed instance list over HTTP.
async fn serve_instances(list: Instances) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("an address");
    let body = serde_json::to_string(&list).expect("JSON");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = format!("{head}{body}");
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(1..) = stream.read(&mut buf).await {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn free_udp_addr() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.local_addr().expect("an address")
}

fn instance(index: usize, address: SocketAddr) -> Instance {
    Instance {
        name: format!("m{index}").into(),
        role: Role::Entry,
        failure_domain: DOMAINS[index].into(),
        address,
        state: InstanceState::Live,
    }
}

fn core(index: usize, peers: SocketAddr, instances: SocketAddr) -> Arc<Core> {
    let settings = serde_json::json!({
        "name": format!("m{index}"),
        "failure_domain": DOMAINS[index],
        "callers": peers,
        "peers": peers,
        "operators": peers,
        "platform": {"table": instances, "objects": instances, "instances": instances},
        "fleet_key": "6b6579",
    });
    let settings: Settings = serde_json::from_value(settings).expect("settings");
    Arc::new(Core::new(
        settings,
        Arc::new(SystemClock),
        100 + index as u64,
    ))
}

async fn wait_for(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn state(core: &Core, name: &str) -> Option<MemberState> {
    core.members()
        .iter()
        .find(|m| m.name == name)
        .map(|m| m.state)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn membership_over_sockets() {
    let addrs: Vec<SocketAddr> = (0..3).map(|_| free_udp_addr()).collect();
    let mut list: Vec<Instance> = addrs
        .iter()
        .enumerate()
        .map(|(i, a)| instance(i, *a))
        .collect();
    list.push(instance(3, free_udp_addr()));
    let instances = serve_instances(Instances { instances: list }).await;
    let cores: Vec<Arc<Core>> = addrs
        .iter()
        .enumerate()
        .map(|(i, a)| core(i, *a, instances))
        .collect();
    let mut running = Vec::new();
    for core in &cores {
        running.push(Membership::spawn(core.clone()).await.expect("spawn"));
    }
    let limit = Duration::from_secs(10);
    wait_for("discovery of all daemons", limit, || {
        cores.iter().all(|c| c.reachable_peers().len() == 2)
    })
    .await;
    assert!(running[0].last_contact().is_some());
    wait_for("a majority", limit, || {
        running.iter().all(|m| m.quorum_status().majority)
    })
    .await;

    cores[1]
        .snapshot
        .send_replace(Arc::new(Snapshot::new(7, Objects::default())));
    let generation = |c: &Core| {
        c.members()
            .iter()
            .find(|m| m.name == "m1")
            .map(|m| m.generation)
    };
    wait_for("generation update", limit, || {
        generation(&cores[0]) == Some(7)
    })
    .await;

    let answer = Locator::default().find_daemons(&cores[0], &LocateQuery::default(), None);
    assert_eq!(answer.addresses.len(), 3);
    assert_eq!(answer.addresses[0], addrs[0]);
    assert_eq!(answer.keep_seconds, cores[0].settings.keep_seconds);

    running[2].leave().await;
    let leaving = Some(MemberState::Leaving);
    wait_for("leaving state", limit, || {
        cores.iter().all(|c| state(c, "m2") == leaving)
    })
    .await;
    running[2].depart().await;
    let dead = Some(MemberState::Dead);
    wait_for("departure", limit, || state(&cores[0], "m2") == dead).await;
    let answer = Locator::default().find_daemons(&cores[0], &LocateQuery::default(), None);
    assert_eq!(answer.addresses, [addrs[0], addrs[1]]);
}
