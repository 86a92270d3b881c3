//! Simulates the heartbeats of a fleet in several failure domains.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher,
    heartbeat::{Heartbeat, Readiness, TableState},
};

use crate::{
    fleet::peer_address,
    support::{self, LIMITS, address, daemon},
};

/// Failure domains of the fleet.
const DOMAINS: usize = 5;
/// Maximum time until all daemons know that one has crashed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);

/// The network is observed after the heartbeats of each daemon with a multiple of this number.
const OBSERVED: usize = 10;

/// A datagram that one daemon sends to another.
struct Datagram {
    from: usize,
    to: usize,
    /// The daemon whose heartbeat it is.
    origin: usize,
    heartbeat: Heartbeat,
    to_forward: bool,
}

/// Daemons that exchange heartbeats without delay.
struct Network {
    daemons: Vec<Dispatcher>,
    crashed: Vec<bool>,
    /// Domains that cannot reach each other.
    cut: Option<(usize, usize)>,
    now: Instant,
    sends: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Datagrams sent by each daemon.
    datagrams: Vec<u32>,
    /// Those of them to other domains.
    crossings: Vec<u32>,
}

impl Network {
    /// Starts daemons that have all heard of each other.
    fn new(daemons: usize) -> Self {
        let now = Instant::now();
        let mut network = Self {
            daemons: (0..daemons).map(new_daemon).collect(),
            crashed: vec![false; daemons],
            cut: None,
            now,
            sends: BinaryHeap::new(),
            datagrams: vec![0; daemons],
            crossings: vec![0; daemons],
        };
        for n in 0..daemons {
            let heartbeat = network.heartbeat(n);
            for receiver in (0..daemons).filter(|receiver| *receiver != n) {
                network.receive(receiver, n, heartbeat.clone());
            }
        }
        for n in 0..daemons {
            let interval = network.daemons[n].peers.part_interval();
            let offset = interval.mul_f64(n as f64 / daemons as f64);
            network.sends.push(Reverse((now + offset, n)));
        }
        network
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let now = self.now;
        self.daemons[n].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now)
    }

    fn receive(&mut self, receiver: usize, origin: usize, heartbeat: Heartbeat) {
        let from = peer_address(origin);
        self.daemons[receiver].receive_heartbeat(heartbeat, from, self.now);
    }

    /// Sends heartbeats for a time; `observe` sees the network after some of them.
    fn run(&mut self, duration: Duration, mut observe: impl FnMut(&Self)) {
        let end = self.now + duration;
        while let Some(Reverse((at, n))) = self.sends.pop() {
            if at > end {
                self.sends.push(Reverse((at, n)));
                break;
            }
            self.now = at;
            if !self.crashed[n] {
                self.send_periodic(n);
                let interval = self.daemons[n].peers.part_interval();
                self.sends.push(Reverse((at + interval, n)));
                if n % OBSERVED == 0 {
                    observe(self);
                }
            }
        }
        self.now = end;
    }

    fn send_periodic(&mut self, n: usize) {
        let fanout = self.daemons[n].next_fanout(self.now);
        let heartbeat = self.heartbeat(n);
        let direct = fanout.direct.iter().map(|receiver| (receiver, false));
        let forwarders = fanout.forwarders.iter().map(|receiver| (receiver, true));
        for (receiver, to_forward) in direct.chain(forwarders) {
            self.deliver(Datagram {
                from: n,
                to: daemon_at(*receiver),
                origin: n,
                heartbeat: heartbeat.clone(),
                to_forward,
            });
        }
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Datagram { from, to, .. } = datagram;
        let domains = (domain(from), domain(to));
        self.datagrams[from] += 1;
        self.crossings[from] += u32::from(domains.0 != domains.1);
        let is_cut = |(a, b)| domains == (a, b) || domains == (b, a);
        if self.crashed[to] || self.cut.is_some_and(is_cut) {
            return;
        }
        if datagram.to_forward {
            for receiver in self.daemons[to].forward_receivers() {
                self.deliver(Datagram {
                    from: to,
                    to: daemon_at(receiver),
                    origin: datagram.origin,
                    heartbeat: datagram.heartbeat.clone(),
                    to_forward: false,
                });
            }
        }
        self.receive(to, datagram.origin, datagram.heartbeat);
    }

    /// Returns how many other daemons one of them takes for live.
    fn live_count(&self, n: usize) -> usize {
        self.daemons[n].peers.live(self.now).count()
    }

    fn survivors(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|n| !self.crashed[*n])
            .collect()
    }
}

fn new_daemon(n: usize) -> Dispatcher {
    let domain = format!("domain-{}", domain(n)).into();
    Dispatcher::new(daemon(&format!("front-{n}")), domain, LIMITS, n as u64)
}

fn domain(daemon: usize) -> usize {
    daemon % DOMAINS
}

fn daemon_at(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - peer_address(0).port())
}

/// Returns the datagrams that a daemon sends per second on average, and those to other domains.
fn datagrams_per_second(daemons: usize) -> (f64, f64) {
    const SECONDS: u32 = 4;
    let mut network = Network::new(daemons);
    network.run(Duration::from_secs(SECONDS.into()), |_| {});
    let average = |counts: &[u32]| {
        f64::from(counts.iter().sum::<u32>()) / (counts.len() as f64 * f64::from(SECONDS))
    };
    (average(&network.datagrams), average(&network.crossings))
}

#[test]
fn heartbeat_traffic_of_a_daemon_does_not_grow_with_the_fleet() {
    let (datagrams, crossings) = datagrams_per_second(30);
    for daemons in [100, 300] {
        let larger = datagrams_per_second(daemons);
        assert!(
            larger.0 < 1.1 * datagrams && larger.1 < crossings,
            "{daemons} daemons: {larger:?} instead of {:?}",
            (datagrams, crossings)
        );
    }
}

/// More than half of the daemons crash at once, also most of those that forward heartbeats.
#[test]
fn crash_of_many_daemons_is_noticed_in_time_and_survivors_stay_live() {
    for daemons in [8, 85, 195, 340] {
        let mut network = Network::new(daemons);
        network.run(Duration::from_secs(3), |_| {});
        for n in 0..daemons {
            network.crashed[n] = n * 7 % 20 < 11;
        }
        let survivors = network.survivors();
        network.run(MAX_DETECTION_TIME, |network| {
            for n in survivors.iter().step_by(5) {
                let live = network.live_count(*n);
                assert!(
                    live + 1 >= survivors.len(),
                    "{daemons} daemons: {live} live"
                );
            }
        });
        for n in &survivors {
            assert_eq!(
                network.live_count(*n) + 1,
                survivors.len(),
                "{daemons} daemons"
            );
        }
    }
}

/// Two domains cannot reach each other, but the others reach both.
#[test]
fn daemons_of_a_cut_domain_stay_live_but_do_not_report() {
    let mut network = Network::new(85);
    network.run(Duration::from_secs(2), |_| {});
    network.cut = Some((0, 1));
    network.run(Duration::from_secs(8), |_| {});
    let reporting = network.daemons[0].peers.reporting(network.now).count();
    assert_eq!((network.live_count(0), reporting), (84, 84 - 17));
    network.cut = None;
    network.run(Duration::from_secs(3), |_| {});
    assert_eq!(network.daemons[0].peers.reporting(network.now).count(), 84);
}

/// A daemon that was frozen forwards a heartbeat long after it was sent.
#[test]
fn outdated_heartbeat_does_not_revive_its_sender() {
    let now = Instant::now();
    let mut dispatcher = support::dispatcher();
    let mut heartbeats: Vec<Heartbeat> = (1..=3)
        .map(|sequence| Heartbeat {
            sequence,
            ..support::heartbeat("front-2", TableState::NotPolled)
        })
        .collect();
    let newest = heartbeats.pop().expect("a heartbeat");
    dispatcher.receive_heartbeat(newest, address(2), now);
    let later = now + Duration::from_secs(20);
    for heartbeat in heartbeats {
        dispatcher.receive_heartbeat(heartbeat, address(2), later);
    }
    assert_eq!(dispatcher.peers.live(later).count(), 0);
}
