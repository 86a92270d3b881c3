//! All daemons of a fleet restart at once: each knows the addresses of the others from the table, and
//! they must hear of each other soon, although their first heartbeats arrive in bursts.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher,
    fanout::Fanout,
    heartbeat::{Heartbeat, Readiness},
};

use crate::{
    control_network::DOMAINS,
    fleet::peer_address,
    support::{LIMITS, address, daemon},
};

/// Time after the restart in which all daemons must know each other.
const MAX_RESTART_TIME: Duration = Duration::from_secs(2);
/// Time over which the daemons read the list of their peers.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Times after that at which a starting daemon sends to all: at once, when it has the two tables, and when
/// it has joined.
const URGENT_AFTER: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(250),
];
/// Time that a daemon needs for one datagram while its instance is busy with the start.
const TIME_PER_DATAGRAM: Duration = Duration::from_micros(200);
/// Datagrams that wait in a socket's buffer; the others are lost.
const SOCKET_BUFFER: u32 = 256;

/// A step of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Urgent(usize),
    Periodic(usize),
    /// Answers a daemon that was heard of for the first time.
    Answer(usize, SocketAddr),
}

struct Restart {
    daemons: Vec<Dispatcher>,
    started_at: Vec<Instant>,
    /// When each daemon has processed all datagrams that wait for it.
    free_at: Vec<Instant>,
    steps: BinaryHeap<Reverse<(Instant, Step)>>,
    sent: usize,
    lost: usize,
}

impl Restart {
    fn new(size: usize, start: Instant) -> Self {
        let new = |n: usize| {
            let domain = format!("domain-{}", n % DOMAINS).into();
            Dispatcher::new(daemon(&format!("front-{n}")), domain, LIMITS, n as u64)
        };
        let offset = |n: usize| START_SPREAD.mul_f64((n * 37 % size) as f64 / size as f64);
        Self {
            daemons: (0..size).map(new).collect(),
            started_at: (0..size).map(|n| start + offset(n)).collect(),
            free_at: vec![start; size],
            steps: BinaryHeap::new(),
            sent: 0,
            lost: 0,
        }
    }

    /// Plays the restart; returns the time until all daemons know each other.
    fn play(&mut self, start: Instant) -> Option<Duration> {
        let size = self.daemons.len();
        for n in 0..size {
            let at = self.started_at[n];
            for other in (0..size).filter(|other| *other != n) {
                let name = format!("front-{other}").into();
                let peers = &mut self.daemons[n].peers;
                peers.expect_peer(name, peer_address(other), at);
            }
            let steps = &mut self.steps;
            steps.extend(URGENT_AFTER.map(|after| Reverse((at + after, Step::Urgent(n)))));
            steps.push(Reverse((at, Step::Periodic(n))));
        }
        while let Some(Reverse((now, step))) = self.steps.pop() {
            if now > start + MAX_RESTART_TIME {
                return None;
            }
            let (n, fanout) = match step {
                Step::Urgent(n) => (n, self.daemons[n].full_fanout(now)),
                Step::Periodic(n) => {
                    let interval = self.daemons[n].peers.part_interval();
                    self.steps.push(Reverse((now + interval, step)));
                    (n, self.daemons[n].next_fanout(now))
                }
                Step::Answer(n, to) => {
                    let (direct, forwarders) = (vec![to], Vec::new());
                    (n, Fanout { direct, forwarders })
                }
            };
            let message = self.heartbeat(n, now);
            for to in fanout.direct {
                self.deliver(n, to, &message, now);
            }
            for forwarder in fanout.forwarders {
                if self.deliver(n, forwarder, &message, now) {
                    for to in self.daemons[index(forwarder)].forward_receivers() {
                        self.deliver(n, to, &message, now);
                    }
                }
            }
            let knows_all = |d: &Dispatcher| d.peers.live(now).count() + 1 == size;
            if self.daemons[n].peers.known().count() + 1 == size
                && self.daemons.iter().all(knows_all)
            {
                return Some(now - start);
            }
        }
        None
    }

    fn heartbeat(&mut self, n: usize, now: Instant) -> Heartbeat {
        self.daemons[n].heartbeat(address(1), Readiness::Starting, Duration::ZERO, now)
    }

    /// Returns whether a datagram of a daemon's heartbeat is received; a new daemon gets a reply.
    fn deliver(
        &mut self,
        origin: usize,
        to: SocketAddr,
        message: &Heartbeat,
        now: Instant,
    ) -> bool {
        let to = index(to);
        self.sent += 1;
        let free_at = self.free_at[to].max(now);
        let is_up = now >= self.started_at[to];
        if !is_up || free_at - now > TIME_PER_DATAGRAM * SOCKET_BUFFER {
            self.lost += 1;
            return false;
        }
        self.free_at[to] = free_at + TIME_PER_DATAGRAM;
        let from = peer_address(origin);
        if self.daemons[to].receive_heartbeat(message.clone(), from, now) {
            let at = now + self.daemons[to].introduction_delay();
            self.steps.push(Reverse((at, Step::Answer(to, from))));
        }
        true
    }
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - peer_address(0).port())
}

/// The periodic heartbeats of a large fleet reach each daemon only every few seconds, so the daemons must
/// hear of each other by what they send when they start.
#[test]
fn restarted_fleet_knows_itself_within_two_seconds() {
    for size in [100, 300] {
        let start = Instant::now();
        let mut restart = Restart::new(size, start);
        let took = restart.play(start);
        let per_daemon = restart.sent / size;
        println!(
            "{size} daemons: {took:?}, {per_daemon} datagrams a daemon, {} lost",
            restart.lost
        );
        assert!(took.is_some(), "{size} daemons need longer");
    }
}
