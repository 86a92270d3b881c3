//! Simulates membership state machines that exchange datagrams in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::membership::{
        Member, MemberState, Message, Outgoing, QuorumStatus, Record, Seed, swim::Swim,
    },
    protocol::{fleet_key::FleetKey, gossip},
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

const LATENCY: Duration = Duration::from_millis(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const SOCKET_BUFFER_DATAGRAMS: usize = 256;

/// The state of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Process {
    Running,
    Frozen,
    Crashed,
}

pub(crate) struct Daemon {
    pub(crate) swim: Swim,
    pub(crate) process: Process,
    pub(crate) sent_bytes: usize,
    pub(crate) sent_datagrams: usize,
    addr: SocketAddr,
    inbox: Vec<(SocketAddr, Message)>,
}

/// The simulated daemons and the datagrams in transit.
pub(crate) struct SimulatedFleet {
    pub(crate) daemons: BTreeMap<String, Daemon>,
    pub(crate) now: Instant,
    pub(crate) loss_percent: u32,
    /// Processor time spent in the state machines and on sealing datagrams.
    pub(crate) cpu_time: Duration,
    /// Daemons that can reach only each other, if any.
    pub(crate) isolated: BTreeSet<String>,
    rng: Xoshiro128PlusPlus,
    key: FleetKey,
    queue: BTreeMap<(Instant, u64), (SocketAddr, SocketAddr, Message)>,
    sequence: u64,
    starts: u64,
}

impl SimulatedFleet {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            daemons: BTreeMap::new(),
            now: Instant::now(),
            loss_percent: 0,
            cpu_time: Duration::ZERO,
            isolated: BTreeSet::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(seed),
            key: FleetKey::new("key"),
            queue: BTreeMap::new(),
            sequence: 0,
            starts: 0,
        }
    }

    /// Starts `m0` to `m(count-1)`, which discover each other through the instance list.
    pub(crate) fn start_all(&mut self, count: usize) {
        for index in 0..count {
            self.start(&format!("m{index}"));
        }
        self.list_instances(&[]);
    }

    /// Starts a daemon, or restarts it as a new incarnation.
    pub(crate) fn start(&mut self, name: &str) {
        self.starts += 1;
        let index = name[1..].parse::<u16>().expect("names are m0, m1, ...");
        let [high, low] = index.to_be_bytes();
        let addr = SocketAddr::from(([127, 1, high, low], 7000));
        let member = Member {
            name: name.into(),
            incarnation: self.rng.random(),
            failure_domain: "padana-a".into(),
            callers: addr,
            peers: addr,
            state: MemberState::Alive,
            generation: 0,
        };
        let own = Record {
            member,
            started_ms: 1_800_000_000_000 + self.starts,
            revision: 0,
        };
        let daemon = Daemon {
            swim: Swim::new(self.now, own, self.rng.random()),
            process: Process::Running,
            sent_bytes: 0,
            sent_datagrams: 0,
            addr,
            inbox: Vec::new(),
        };
        self.daemons.insert(name.into(), daemon);
    }

    /// Gives all daemons an instance list of all daemons and some dead names.
    pub(crate) fn list_instances(&mut self, dead: &[u16]) {
        let live = self.daemons.iter().map(|(n, d)| (n.clone(), d.addr));
        let dead = dead.iter().map(|index| {
            let [high, low] = index.to_be_bytes();
            let addr = SocketAddr::from(([127, 2, high, low], 7000));
            (format!("dead{index}"), addr)
        });
        let seeds: Vec<Seed> = live
            .chain(dead)
            .map(|(name, peers)| Seed {
                name: name.into(),
                peers,
            })
            .collect();
        for daemon in self.daemons.values_mut() {
            daemon.swim.set_seeds(seeds.clone());
        }
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.daemon(name).process = Process::Frozen;
    }

    pub(crate) fn wake(&mut self, name: &str) {
        self.daemon(name).process = Process::Running;
        for (src, message) in std::mem::take(&mut self.daemon(name).inbox) {
            let now = self.now;
            let out = self.daemon(name).swim.handle_message(now, src, &message);
            self.send(name, out);
        }
    }

    pub(crate) fn crash(&mut self, name: &str) {
        self.daemon(name).process = Process::Crashed;
    }

    pub(crate) fn leave(&mut self, name: &str) {
        let now = self.now;
        let out = self.daemon(name).swim.leave(now);
        self.send(name, out);
    }

    pub(crate) fn depart(&mut self, name: &str) {
        let now = self.now;
        let out = self.daemon(name).swim.depart(now);
        self.send(name, out);
        self.crash(name);
    }

    /// Advances the virtual time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Advances the virtual time while the condition holds, at most by `limit`. Returns the elapsed
    /// time, or `None` if the condition still holds.
    pub(crate) fn run_while(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        let end = started + limit;
        self.run_until(end, |fleet| !condition(fleet));
        (!condition(self)).then(|| self.now - started)
    }

    fn run_until(&mut self, end: Instant, stop: impl Fn(&Self) -> bool) {
        let mut next_check = self.now;
        loop {
            if self.now >= next_check {
                if stop(self) {
                    return;
                }
                next_check = self.now + CHECK_INTERVAL;
            }
            let running = self.daemons.iter();
            let running = running.filter(|(_, d)| d.process == Process::Running);
            let timer = running
                .map(|(n, d)| (d.swim.next_wakeup(), n))
                .min()
                .map(|(at, name)| (at, name.clone()));
            let arrival = self.queue.keys().next().map(|(at, _)| *at);
            let timer_at = timer.as_ref().map_or(end, |(at, _)| *at);
            let next = timer_at.min(arrival.unwrap_or(end)).max(self.now);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
            if arrival.is_some_and(|at| at <= timer_at) {
                self.deliver();
            } else if let Some((_, name)) = timer {
                let now = self.now;
                let started = Instant::now();
                let out = self.daemon(&name).swim.tick(now);
                self.cpu_time += started.elapsed();
                self.send(&name, out);
            }
        }
    }

    fn deliver(&mut self) {
        let Some((_, (src, to, message))) = self.queue.pop_first() else {
            return;
        };
        let Some(name) = self.name_at(to) else { return };
        let now = self.now;
        let daemon = self.daemon(&name);
        match daemon.process {
            Process::Running => {
                let started = Instant::now();
                let out = daemon.swim.handle_message(now, src, &message);
                self.cpu_time += started.elapsed();
                self.send(&name, out);
            }
            Process::Frozen if daemon.inbox.len() < SOCKET_BUFFER_DATAGRAMS => {
                daemon.inbox.push((src, message));
            }
            Process::Frozen | Process::Crashed => {}
        }
    }

    fn send(&mut self, from: &str, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let started = Instant::now();
            let sealed = gossip::seal(&self.key, &message).expect("datagram fits");
            self.cpu_time += started.elapsed();
            let daemon = self.daemon(from);
            daemon.sent_bytes += sealed.len();
            daemon.sent_datagrams += 1;
            let src = daemon.addr;
            let blocked = self
                .name_at(to)
                .is_some_and(|name| self.isolated.contains(from) != self.isolated.contains(&name));
            if blocked || self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            self.sequence += 1;
            let at = (self.now + LATENCY, self.sequence);
            self.queue.insert(at, (src, to, message));
        }
    }

    fn name_at(&self, addr: SocketAddr) -> Option<String> {
        let SocketAddr::V4(v4) = addr else {
            return None;
        };
        let [_, net, high, low] = v4.ip().octets();
        let name = format!("m{}", u16::from_be_bytes([high, low]));
        (net == 1 && self.daemons.contains_key(&name)).then_some(name)
    }

    pub(crate) fn daemon(&mut self, name: &str) -> &mut Daemon {
        self.daemons.get_mut(name).expect("a known daemon")
    }

    /// Returns the state of `subject` in the member list of `at`.
    pub(crate) fn state(&self, at: &str, subject: &str) -> Option<MemberState> {
        self.daemons[at].swim.member(subject).map(|m| m.state)
    }

    pub(crate) fn quorum_status(&self, at: &str) -> QuorumStatus {
        self.daemons[at].swim.quorum_status(self.now)
    }

    /// Returns the number of running daemons other than `subject` that have it in `state`.
    pub(crate) fn observers_with_state(&self, subject: &str, state: MemberState) -> usize {
        self.observers(subject)
            .filter(|at| self.state(at, subject) == Some(state))
            .count()
    }

    pub(crate) fn observers(&self, except: &str) -> impl Iterator<Item = &str> {
        self.daemons
            .iter()
            .filter(move |(n, d)| n.as_str() != except && d.process == Process::Running)
            .map(|(n, _)| n.as_str())
    }

    /// Whether every running daemon considers exactly the running daemons alive.
    pub(crate) fn converged(&self) -> bool {
        let running: Vec<&str> = self.observers("").collect();
        running.iter().all(|at| {
            let members = self.daemons[*at].swim.members();
            let alive = members.iter().filter(|m| m.state == MemberState::Alive);
            alive.map(|m| m.name.as_str()).collect::<BTreeSet<_>>()
                == running.iter().copied().collect()
        })
    }
}
