//! Prints how memory, messages and CPU time grow with the size of the fleet.
//!
//! Run with `cargo run --release --example slopes`. Membership and permits run in simulated time
//! with the production state machines and codecs; the link between daemons runs over loopback.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::FutureExt;
use hibiscusyoke::{
    coordination::{
        membership::{Body, Member, MemberState, Message, Record, Seed, swim::Swim},
        ownership::{CapacityShare, FleetView, GrantAuthority, owner_of},
        permits::{
            ConcurrencyLimits, Demand, Grant, HeldLease, LeaseRequest, Outcome, ledger::Ledgers,
        },
    },
    protocol::{
        codec,
        fleet_key::FleetKey,
        gossip,
        peer::{PeerRequest, PeerResponse, permits},
    },
    state::{
        objects::{Objects, Offer, ServiceState, Upstream, Version, VersionState},
        snapshot::Snapshot,
    },
    transport::peers::{Handler, PeerClient, PeerServer},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

#[path = "../tests/membership/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::SimulatedFleet;

const SIZES: [usize; 4] = [8, 40, 100, 340];
/// Time until gossip about the simultaneous start of all daemons has died down.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_secs(900);
const UDP_IP_HEADER_BYTES: usize = 28;
const PAGE_BYTES: usize = 4_096;

fn main() {
    // Memory is measured first: memory freed by other measurements would be reused and not counted.
    println!("membership: members, bytes of one daemon's state by resident memory");
    for members in SIZES {
        membership_memory(members);
    }
    println!("snapshot: upstreams, versions, bytes by resident memory, microseconds to index");
    for (upstreams, versions) in [(20, 4), (200, 14), (1_800, 14), (1_800, 140)] {
        snapshot(upstreams, versions);
    }
    println!("membership: members, datagrams/s, bytes/s with headers, CPU microseconds per period");
    for members in SIZES {
        membership(members);
    }
    datagrams();
    println!("ownership: members, microseconds to find the owners of 1800 upstreams, and of one");
    for members in SIZES {
        ownership(members);
    }
    println!("permits: upstreams in one lease request, bytes of request, bytes of grants");
    for demand_count in [1, 2, 5, 20] {
        lease_request_bytes(demand_count);
    }
    println!("permits: daemons requesting one upstream, microseconds to process one demand");
    for requesters in [3, 8, 40, 340] {
        grant_time(requesters);
    }
    println!(
        "peer link: bytes on the stream per call of one demand, both directions, without handshake"
    );
    peer_link();
}

fn membership(members: usize) {
    const SECONDS: u32 = 30;
    let mut fleet = SimulatedFleet::new(1);
    fleet.start_all(members);
    let convergence_time = fleet.run_while(Duration::from_secs(120), |f| !f.converged());
    fleet.run(GOSSIP_SETTLE_TIME);
    let sent = |f: &SimulatedFleet| {
        let daemons = f.daemons.values();
        daemons.fold((0, 0), |(n, b), d| (n + d.sent_datagrams, b + d.sent_bytes))
    };
    let (datagrams, bytes) = sent(&fleet);
    fleet.cpu_time = Duration::ZERO;
    fleet.run(Duration::from_secs(SECONDS.into()));
    let (datagrams, bytes) = (sent(&fleet).0 - datagrams, sent(&fleet).1 - bytes);
    let per_member = members as f64 * f64::from(SECONDS);
    println!(
        "  {members:4}  {:6.2}  {:7.1}  {:6.1}  (converged after {convergence_time:?})",
        datagrams as f64 / per_member,
        (bytes + datagrams * UDP_IP_HEADER_BYTES) as f64 / per_member,
        fleet.cpu_time.as_secs_f64() * 1e6 / per_member,
    );
}

fn member(index: usize) -> Member {
    let [high, low] = u16::try_from(index).unwrap_or(0).to_be_bytes();
    let addr = SocketAddr::from(([10, 0, high, low], 7000));
    Member {
        name: format!("padana-a-entry-{index:03}").into(),
        incarnation: u64::MAX - index as u64,
        failure_domain: "padana-a".into(),
        callers: addr,
        peers: addr,
        state: MemberState::Alive,
        generation: 1_000,
    }
}

fn record(index: usize) -> Record {
    Record {
        member: member(index),
        started_ms: 1_800_000_000_000,
        revision: 3,
    }
}

/// Measures the length of datagrams and the time to encode and decode one.
fn datagrams() {
    const ROUNDS: u32 = 20_000;
    let key = FleetKey::new("00112233445566778899aabbccddeeff");
    for records in [0, 1, 10] {
        let message = Message {
            from: member(1).name,
            incarnation: 7 << 50,
            generation: 1_000,
            digest: u32::MAX,
            body: Body::Ping(1_000),
            records: (0..records).map(record).collect(),
        };
        let sealed = gossip::seal(&key, &message).expect("message fits into a datagram");
        let started = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(
                gossip::seal(&key, &message).expect("message fits into a datagram"),
            );
            std::hint::black_box(gossip::open(&key, &sealed).expect("datagram is authentic"));
        }
        let each = started.elapsed() / ROUNDS;
        println!(
            "  datagram with {records} records: {} bytes, {each:?} to write and read",
            sealed.len()
        );
    }
}

fn membership_memory(members: usize) {
    const COPIES: usize = 100;
    let now = Instant::now();
    let seeds: Vec<Seed> = (0..members)
        .map(member)
        .map(|m| Seed {
            name: m.name,
            peers: m.peers,
        })
        .collect();
    let message = |index| Message {
        from: member(1).name,
        incarnation: member(1).incarnation,
        generation: 1,
        digest: 0,
        body: Body::Gossip,
        records: vec![record(index)],
    };
    let messages: Vec<Message> = (1..members).map(message).collect();
    let before = resident_bytes();
    let swims: Vec<Swim> = (0..COPIES)
        .map(|copy| {
            let mut swim = Swim::new(now, record(0), copy as u64);
            swim.set_seeds(seeds.clone());
            for message in &messages {
                swim.handle_message(now, member(1).peers, message);
            }
            swim
        })
        .collect();
    let growth = resident_bytes().saturating_sub(before) / COPIES;
    println!("  {members:4}  {growth} ({} a member)", growth / members);
    // Freed memory would be reused by the measurement of the next size and not counted there.
    std::mem::forget(swims);
}

fn ownership(members: usize) {
    let names: std::collections::BTreeSet<_> = (0..members).map(|i| member(i).name).collect();
    let upstreams: Vec<_> = (0..1_800).map(upstream_name).collect();
    let quorum = Swim::new(Instant::now(), record(0), 1).quorum_status(Instant::now());
    let started = Instant::now();
    let view = FleetView::new(names.clone(), [].into(), quorum, upstreams.iter());
    let all = started.elapsed();
    std::hint::black_box(&view);
    let started = Instant::now();
    for upstream in &upstreams {
        std::hint::black_box(owner_of(upstream, names.iter()));
    }
    let one = started.elapsed() / 1_800;
    println!(
        "  {members:4}  {}  {:.1}",
        all.as_micros(),
        one.as_secs_f64() * 1e6
    );
}

fn upstream_name(index: usize) -> compact_str::CompactString {
    format!("padana-a-engine-{index:04}").into()
}

fn demand(index: usize) -> Demand {
    Demand {
        upstream: upstream_name(index),
        wanted: 5,
        in_use: 4,
        idle: false,
        held: HeldLease {
            slots: 4,
            cold_slots: 1,
            remaining_ms: 6_000,
        },
        answered: 40,
        seen_engine: Some(u64::MAX / 3),
        crashed: false,
    }
}

fn lease_request(from: usize, demand_count: usize, seq: u64) -> LeaseRequest {
    LeaseRequest {
        from: member(from).name,
        incarnation: u64::MAX / 5,
        seq,
        demands: (0..demand_count).map(demand).collect(),
    }
}

fn grants(demand_count: usize) -> Vec<Grant> {
    let outcome = Outcome::Lease {
        slots: 4,
        cold_slots: 1,
        engine: Some(u64::MAX / 3),
    };
    (0..demand_count)
        .map(|i| Grant {
            upstream: upstream_name(i),
            outcome,
        })
        .collect()
}

fn lease_request_bytes(demand_count: usize) {
    let req = PeerRequest::Permits(permits::Request::AcquireLeases(lease_request(
        1,
        demand_count,
        1_000,
    )));
    let res = PeerResponse::Permits(permits::Response::Grants(grants(demand_count)));
    let len = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |b: Vec<u8>| b.len());
    println!(
        "  {demand_count:4}  {}  {}",
        len(codec::encode(&req)),
        len(codec::encode(&res))
    );
}

fn grant_time(requesters: usize) {
    const ROUNDS: u64 = 50;
    let mut ledgers = Ledgers::default();
    let now = Instant::now();
    let authority = GrantAuthority {
        share: CapacityShare::Whole,
        adopting: false,
    };
    let limits = ConcurrencyLimits {
        cold: 40,
        warm: 400,
    };
    let mut total_time = Duration::ZERO;
    for round in 0..ROUNDS {
        for requester in 0..requesters {
            let lease_request = lease_request(requester, 1, round + 1);
            let started = Instant::now();
            std::hint::black_box(ledgers.grant(
                now,
                Some(authority),
                Some(limits),
                &lease_request,
                &lease_request.demands[0],
            ));
            total_time += started.elapsed();
        }
    }
    let each = total_time.as_secs_f64() * 1e6 / (ROUNDS as f64 * requesters as f64);
    println!("  {requesters:4}  {each:.2}");
}

fn peer_link() {
    let runtime = tokio::runtime::Runtime::new().expect("create the runtime");
    runtime.block_on(async {
        const CALLS: usize = 1_000;
        let handler: Handler = Arc::new(|_| {
            async { PeerResponse::Permits(permits::Response::Grants(grants(1))) }.boxed()
        });
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PeerServer::bind(any_address, "key", handler)
            .await
            .expect("bind the peer server");
        let (addr, byte_count) = count_bytes(server.local_addr()).await;
        let mut to = member(1);
        to.peers = addr;
        let peers = PeerClient::new("a".into(), "key");
        let call = |seq| {
            let req =
                PeerRequest::Permits(permits::Request::AcquireLeases(lease_request(1, 1, seq)));
            peers.call(&to, req, Duration::from_secs(5))
        };
        call(1).await.expect("a response");
        let before = byte_count.load(Ordering::SeqCst);
        let started = Instant::now();
        for seq in 0..CALLS {
            call(seq as u64).await.expect("a response");
        }
        let each = started.elapsed() / CALLS as u32;
        let bytes = (byte_count.load(Ordering::SeqCst) - before) / CALLS;
        println!(
            "  {bytes} bytes a call; {each:?} round trip through a relay; handshake {before} bytes"
        );
    });
}

/// Relays one connection to `to` and counts the bytes in both directions.
async fn count_bytes(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("local address");
    let byte_count = Arc::new(AtomicUsize::new(0));
    let counter = byte_count.clone();
    tokio::spawn(async move {
        let (from, _) = listener.accept().await.expect("accept a connection");
        let outbound = TcpStream::connect(to)
            .await
            .expect("connect to the peer server");
        from.set_nodelay(true).expect("nodelay");
        outbound.set_nodelay(true).expect("nodelay");
        let (from_read, from_write) = from.into_split();
        let (to_read, to_write) = outbound.into_split();
        tokio::spawn(pump(from_read, to_write, counter.clone()));
        pump(to_read, from_write, counter).await;
    });
    (addr, byte_count)
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    counter: Arc<AtomicUsize>,
) {
    let mut buf = vec![0; 65_536];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        counter.fetch_add(len, Ordering::SeqCst);
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

fn snapshot(upstreams: usize, versions: usize) {
    const COPIES: usize = 20;
    let version_name = |i: usize| format!("bale-report-{:03}", i % versions);
    let build = || {
        let mut objects = Objects::default();
        for index in 0..versions {
            let version = Version {
                model: "bale-report".into(),
                state: VersionState::Enabled,
                cost: 900,
                prior_quality: 0.8,
                rollout: None,
            };
            objects.versions.insert(version_name(index).into(), version);
        }
        for index in 0..upstreams {
            let upstream = Upstream {
                address: member(index).peers,
                failure_domain: "padana-a".into(),
                state: ServiceState::In,
                offer: Offer::Engine {
                    versions: vec![version_name(index).into(), version_name(index + 1).into()],
                    warm: 16,
                    cold: 2,
                    fenced: true,
                },
            };
            objects.upstreams.insert(upstream_name(index), upstream);
        }
        objects
    };
    let before = resident_bytes();
    let snapshots: Vec<Snapshot> = (0..COPIES).map(|_| Snapshot::new(1, build())).collect();
    let growth = resident_bytes().saturating_sub(before) / COPIES;
    let object_sets: Vec<Objects> = (0..COPIES).map(|_| build()).collect();
    let started = Instant::now();
    let indexed: Vec<Snapshot> = object_sets
        .into_iter()
        .map(|o| Snapshot::new(1, o))
        .collect();
    let time = started.elapsed() / COPIES as u32;
    std::mem::forget(indexed);
    println!(
        "  {upstreams:5}  {versions:4}  {growth}  {}",
        time.as_micros()
    );
    std::mem::forget(snapshots);
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}
