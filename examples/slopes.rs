//! Prints how state, messages and processor time grow with the size of the fleet.
//!
//! Run with `cargo run --release --example slopes`. Membership and permits run in virtual time with
//! the real state machines and codecs; links between daemons run over loopback.

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
/// After the start of a whole fleet its records are spread for a while; this waits until that is over.
const QUIET: Duration = Duration::from_secs(900);
const UDP_IP_HEADER_BYTES: usize = 28;
const PAGE_BYTES: usize = 4_096;

fn main() {
    // Memory first: what other parts free would be taken again and not be counted.
    println!("membership: members, bytes of one daemon's state by resident memory");
    for members in SIZES {
        membership_memory(members);
    }
    println!("snapshot: upstreams, versions, bytes by resident memory, microseconds to index");
    for (upstreams, versions) in [(20, 4), (200, 14), (1_800, 14), (1_800, 140)] {
        snapshot(upstreams, versions);
    }
    println!(
        "membership: members, datagrams/s, bytes/s with headers, microseconds of processor per period"
    );
    for members in SIZES {
        membership(members);
    }
    datagrams();
    println!("ownership: members, microseconds to find the owners of 1800 upstreams, and of one");
    for members in SIZES {
        ownership(members);
    }
    println!("permits: upstreams in one ask, bytes of ask, bytes of grants");
    for wants in [1, 2, 5, 20] {
        ask_bytes(wants);
    }
    println!("permits: askers of one upstream, microseconds to grant one want");
    for askers in [3, 8, 40, 340] {
        grant_time(askers);
    }
    println!("peer link: bytes on the stream per call of one want, both ways, handshake aside");
    link();
}

fn membership(members: usize) {
    const SECONDS: u32 = 30;
    let mut fleet = SimulatedFleet::new(1);
    fleet.start_all(members);
    let settled = fleet.run_while(Duration::from_secs(120), |f| !f.converged());
    fleet.run(QUIET);
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
        "  {members:4}  {:6.2}  {:7.1}  {:6.1}  (all met after {settled:?})",
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

/// The lengths of datagrams and the time to write and read one.
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
        let sealed = gossip::seal(&key, &message).expect("it fits");
        let begun = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(gossip::seal(&key, &message).expect("it fits"));
            std::hint::black_box(gossip::open(&key, &sealed).expect("it opens"));
        }
        let each = begun.elapsed() / ROUNDS;
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
    let grown = resident_bytes().saturating_sub(before) / COPIES;
    println!("  {members:4}  {grown} ({} a member)", grown / members);
    // Freed memory would be taken again by the next size and not be counted there.
    std::mem::forget(swims);
}

fn ownership(members: usize) {
    let names: std::collections::BTreeSet<_> = (0..members).map(|i| member(i).name).collect();
    let upstreams: Vec<_> = (0..1_800).map(upstream_name).collect();
    let standing = Swim::new(Instant::now(), record(0), 1).quorum_status(Instant::now());
    let begun = Instant::now();
    let view = FleetView::new(names.clone(), [].into(), standing, upstreams.iter());
    let all = begun.elapsed();
    std::hint::black_box(&view);
    let begun = Instant::now();
    for upstream in &upstreams {
        std::hint::black_box(owner_of(upstream, names.iter()));
    }
    let one = begun.elapsed() / 1_800;
    println!(
        "  {members:4}  {}  {:.1}",
        all.as_micros(),
        one.as_secs_f64() * 1e6
    );
}

fn upstream_name(index: usize) -> compact_str::CompactString {
    format!("padana-a-engine-{index:04}").into()
}

fn want(index: usize) -> Demand {
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

fn ask(from: usize, wants: usize, seq: u64) -> LeaseRequest {
    LeaseRequest {
        from: member(from).name,
        incarnation: u64::MAX / 5,
        seq,
        demands: (0..wants).map(want).collect(),
    }
}

fn grants(wants: usize) -> Vec<Grant> {
    let outcome = Outcome::Lease {
        slots: 4,
        cold_slots: 1,
        engine: Some(u64::MAX / 3),
    };
    (0..wants)
        .map(|i| Grant {
            upstream: upstream_name(i),
            outcome,
        })
        .collect()
}

fn ask_bytes(wants: usize) {
    let req = PeerRequest::Permits(permits::Request::AcquireLeases(ask(1, wants, 1_000)));
    let res = PeerResponse::Permits(permits::Response::Grants(grants(wants)));
    let len = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |b: Vec<u8>| b.len());
    println!(
        "  {wants:4}  {}  {}",
        len(codec::encode(&req)),
        len(codec::encode(&res))
    );
}

fn grant_time(askers: usize) {
    const ROUNDS: u64 = 50;
    let mut ledgers = Ledgers::default();
    let now = Instant::now();
    let office = GrantAuthority {
        share: CapacityShare::Whole,
        adopting: false,
    };
    let bears = ConcurrencyLimits {
        cold: 40,
        warm: 400,
    };
    let mut spent = Duration::ZERO;
    for round in 0..ROUNDS {
        for asker in 0..askers {
            let ask = ask(asker, 1, round + 1);
            let begun = Instant::now();
            std::hint::black_box(ledgers.grant(
                now,
                Some(office),
                Some(bears),
                &ask,
                &ask.demands[0],
            ));
            spent += begun.elapsed();
        }
    }
    let each = spent.as_secs_f64() * 1e6 / (ROUNDS as f64 * askers as f64);
    println!("  {askers:4}  {each:.2}");
}

fn link() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        const CALLS: usize = 1_000;
        let handler: Handler = Arc::new(|_| {
            async { PeerResponse::Permits(permits::Response::Grants(grants(1))) }.boxed()
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PeerServer::bind(any, "key", handler)
            .await
            .expect("a server");
        let (addr, counted) = count_bytes(server.local_addr()).await;
        let mut to = member(1);
        to.peers = addr;
        let peers = PeerClient::new("a".into(), "key");
        let call = |seq| {
            let req = PeerRequest::Permits(permits::Request::AcquireLeases(ask(1, 1, seq)));
            peers.call(&to, req, Duration::from_secs(5))
        };
        call(1).await.expect("an answer");
        let before = counted.load(Ordering::SeqCst);
        let begun = Instant::now();
        for seq in 0..CALLS {
            call(seq as u64).await.expect("an answer");
        }
        let each = begun.elapsed() / CALLS as u32;
        let bytes = (counted.load(Ordering::SeqCst) - before) / CALLS;
        println!(
            "  {bytes} bytes a call; {each:?} round trip through a relay; handshake {before} bytes"
        );
    });
}

/// Relays one connection to `to` and counts the bytes both ways.
async fn count_bytes(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("an address");
    let counted = Arc::new(AtomicUsize::new(0));
    let counter = counted.clone();
    tokio::spawn(async move {
        let (from, _) = listener.accept().await.expect("a connection");
        let onward = TcpStream::connect(to).await.expect("a connection");
        from.set_nodelay(true).expect("nodelay");
        onward.set_nodelay(true).expect("nodelay");
        let (from_read, from_write) = from.into_split();
        let (to_read, to_write) = onward.into_split();
        tokio::spawn(pump(from_read, to_write, counter.clone()));
        pump(to_read, from_write, counter).await;
    });
    (addr, counted)
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
    let kept: Vec<Snapshot> = (0..COPIES).map(|_| Snapshot::new(1, build())).collect();
    let grown = resident_bytes().saturating_sub(before) / COPIES;
    let sets: Vec<Objects> = (0..COPIES).map(|_| build()).collect();
    let begun = Instant::now();
    let indexed: Vec<Snapshot> = sets.into_iter().map(|o| Snapshot::new(1, o)).collect();
    let time = begun.elapsed() / COPIES as u32;
    std::mem::forget(indexed);
    println!(
        "  {upstreams:5}  {versions:4}  {grown}  {}",
        time.as_micros()
    );
    std::mem::forget(kept);
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}
