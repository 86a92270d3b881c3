//! Simulates daemons that lease engine permits over a lossy network, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::{
    membership::{DaemonName, MemberState},
    ownership::{FleetView, Ownership},
    permits::{
        Agreement, ConcurrencyLimits, Demand, EngineIncarnation, EngineReport, Grant, LeaseRequest,
        leases::{Leases, Reservation},
        ledger::Ledgers,
    },
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::fleet::{Process, SimulatedFleet};

const STEP: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const AGREE_INTERVAL: Duration = Duration::from_millis(500);

/// A simulated engine that counts its concurrent requests.
pub(crate) struct Engine {
    pub(crate) limits: ConcurrencyLimits,
    pub(crate) cold: bool,
    /// Maximum number of concurrent requests while cold, and overall.
    pub(crate) cold_peak: u32,
    pub(crate) peak: u32,
    pub(crate) answered: u32,
    incarnation: EngineIncarnation,
    warmup_requests: u32,
    completed: u32,
    running: Vec<Running>,
}

/// A request in flight in an engine.
struct Running {
    daemon: String,
    daemon_incarnation: u64,
    ends: Instant,
    /// Whether the response exceeds the socket buffer, so that the request ends only when the
    /// daemon reads it.
    long: bool,
}

enum Message {
    LeaseRequest {
        owner: String,
        request: LeaseRequest,
        sent: Instant,
    },
    Grants {
        owner: String,
        seq: u64,
        sent: Instant,
        grants: Vec<Grant>,
    },
    Agree {
        owner: String,
        upstreams: Vec<String>,
        sent: Instant,
    },
    Agreed {
        by: DaemonName,
        agreements: Vec<Agreement>,
        sent: Instant,
    },
}

struct Node {
    leases: Leases,
    ownership: Ownership,
    ledgers: Ledgers,
    next_agree: Instant,
    broken: BTreeSet<String>,
    /// Responses not read yet: the upstream and the engine incarnation that sent each.
    unread: Vec<(String, EngineIncarnation)>,
    inbox: Vec<Message>,
    daemon_incarnation: u64,
}

/// The daemons, the engines and the messages in transit.
pub(crate) struct Simulation {
    pub(crate) fleet: SimulatedFleet,
    pub(crate) engines: BTreeMap<String, Engine>,
    /// Number of requests that each daemon tries to keep in flight to each engine.
    pub(crate) demand: u32,
    pub(crate) long_requests: bool,
    pub(crate) loss_percent: u32,
    pub(crate) max_delay_ms: u64,
    pub(crate) max_cold_slots: u32,
    nodes: BTreeMap<String, Node>,
    messages: Vec<(Instant, String, Message)>,
    rng: Xoshiro128PlusPlus,
    starts: u64,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        daemons: usize,
        engines: usize,
        limits: ConcurrencyLimits,
    ) -> Self {
        let mut fleet = SimulatedFleet::new(seed);
        fleet.start_all(daemons);
        let engines = (0..engines).map(|i| (format!("u{i}"), Engine::new(limits)));
        let mut simulation = Self {
            fleet,
            engines: engines.collect(),
            demand: 0,
            long_requests: false,
            loss_percent: 0,
            max_delay_ms: 2,
            max_cold_slots: 0,
            nodes: BTreeMap::new(),
            messages: Vec::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(seed),
            starts: 0,
        };
        let names: Vec<String> = simulation.fleet.daemons.keys().cloned().collect();
        for name in names {
            simulation.add_node(&name);
        }
        simulation
    }

    fn add_node(&mut self, name: &str) {
        self.starts += 1;
        let node = Node {
            leases: Leases::new(name.into(), self.starts),
            ownership: Ownership::new(name.into()),
            ledgers: Ledgers::default(),
            next_agree: self.fleet.now,
            broken: BTreeSet::new(),
            unread: Vec::new(),
            inbox: Vec::new(),
            daemon_incarnation: self.starts,
        };
        self.nodes.insert(name.into(), node);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.step();
        }
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.fleet.freeze(name);
    }

    pub(crate) fn wake(&mut self, name: &str) {
        self.fleet.wake(name);
        let inbox = std::mem::take(&mut self.node(name).inbox);
        for message in inbox {
            self.handle_message(name, message);
        }
    }

    pub(crate) fn crash(&mut self, name: &str) {
        self.fleet.crash(name);
        for engine in self.engines.values_mut() {
            engine.running.retain(|r| r.daemon != name);
        }
    }

    pub(crate) fn start(&mut self, name: &str) {
        self.crash(name);
        self.fleet.start(name);
        self.fleet.list_instances(&[]);
        self.add_node(name);
    }

    /// Restarts an engine, which drops its requests and makes it cold.
    pub(crate) fn restart_engine(&mut self, upstream: &str) {
        let engine = self.engine(upstream);
        engine.incarnation += 1;
        engine.cold = true;
        engine.completed = 0;
        let lost = std::mem::take(&mut engine.running);
        for node in self.nodes.values_mut() {
            node.broken.insert(upstream.into());
        }
        for running in lost {
            self.release_slot(&running, upstream);
        }
    }

    /// Returns the owner of the upstream in the view of `at`.
    pub(crate) fn owner(&self, at: &str, upstream: &str) -> Option<String> {
        self.view(at).owner(upstream).map(ToString::to_string)
    }

    /// Returns how many slots a daemon may use now.
    pub(crate) fn slots(&self, at: &str, upstream: &str) -> u32 {
        self.nodes[at].leases.slots(self.fleet.now, upstream)
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        self.finish_requests();
        self.deliver();
        let names: Vec<String> = self.fleet.daemons.keys().cloned().collect();
        for name in &names {
            if self.fleet.daemons[name].process == Process::Running {
                self.run_daemon(name);
            }
        }
        self.record_cold_slots();
    }

    /// Runs one step of a daemon.
    fn run_daemon(&mut self, name: &str) {
        let now = self.fleet.now;
        let view = self.view(name);
        let upstreams: Vec<String> = self.engines.keys().cloned().collect();
        for upstream in std::mem::take(&mut self.node(name).broken) {
            self.node(name).leases.mark_crashed(&upstream);
        }
        self.read_answers(name);
        for upstream in &upstreams {
            self.dispatch(name, upstream);
        }
        self.confirm(name);
        self.probe(name);
        let node = self.node(name);
        node.ownership.refresh(now, &view);
        let requests = node.leases.requests_due(now, |u| view.owner(u));
        let mut messages: Vec<(String, Message)> = Vec::new();
        for (owner, request) in requests {
            let message = Message::LeaseRequest {
                owner: owner.to_string(),
                request,
                sent: now,
            };
            messages.push((owner.to_string(), message));
        }
        if now >= node.next_agree {
            node.next_agree = now + AGREE_INTERVAL;
            for (to, upstreams) in node.ownership.missing_agreements(now, &view) {
                let upstreams = upstreams.iter().map(ToString::to_string).collect();
                let message = Message::Agree {
                    owner: name.into(),
                    upstreams,
                    sent: now,
                };
                messages.push((to.to_string(), message));
            }
        }
        for (to, message) in messages {
            self.send(name, &to, message);
        }
    }

    fn dispatch(&mut self, name: &str, upstream: &str) {
        let now = self.fleet.now;
        let daemon_incarnation = self.nodes[name].daemon_incarnation;
        let own = |r: &&Running| r.daemon == name && r.daemon_incarnation == daemon_incarnation;
        let running = self.engines[upstream].running.iter().filter(own).count();
        let missing = self
            .demand
            .saturating_sub(u32::try_from(running).expect("count fits in u32"));
        for _ in 0..missing {
            if self.node(name).leases.reserve_slot(now, upstream) != Reservation::Reserved {
                return;
            }
            let long = self.long_requests && self.rng.random_range(0..20) == 0;
            let millis = self
                .rng
                .random_range(100..if long { 40_000 } else { 1_500 });
            let running = Running {
                daemon: name.into(),
                daemon_incarnation,
                ends: now + Duration::from_millis(millis),
                long,
            };
            let engine = self.engine(upstream);
            engine.running.push(running);
            engine.update_peak();
        }
    }

    /// Completes requests, including those of a frozen daemon if their responses fit into the
    /// socket buffer.
    fn finish_requests(&mut self) {
        let now = self.fleet.now;
        let fleet = &self.fleet;
        let reads = |r: &Running| fleet.daemons[&r.daemon].process == Process::Running;
        for (upstream, engine) in &mut self.engines {
            let ends = |r: &Running| r.ends <= now && (reads(r) || !r.long);
            let running = std::mem::take(&mut engine.running);
            let (ended, running): (Vec<Running>, _) = running.into_iter().partition(ends);
            engine.running = running;
            engine.complete(ended.len());
            for running in ended {
                let node = self.nodes.get_mut(&running.daemon).expect("a known daemon");
                if node.daemon_incarnation == running.daemon_incarnation {
                    node.unread.push((upstream.clone(), engine.incarnation));
                }
            }
        }
    }

    /// Reads the responses that a daemon has received.
    fn read_answers(&mut self, name: &str) {
        for (upstream, incarnation) in std::mem::take(&mut self.node(name).unread) {
            let leases = &mut self.node(name).leases;
            leases.release_slot(&upstream);
            leases.record_success(&upstream);
            leases.observe_incarnation(&upstream, incarnation);
        }
    }

    /// Confirms engine incarnations as over a new connection of the daemon.
    fn confirm(&mut self, name: &str) {
        let now = self.fleet.now;
        for upstream in self.node(name).leases.unconfirmed(now) {
            let incarnation = self.engines[upstream.as_str()].incarnation;
            self.node(name)
                .leases
                .confirm_incarnation(now, &upstream, incarnation);
        }
    }

    fn probe(&mut self, name: &str) {
        let now = self.fleet.now;
        for upstream in self.node(name).ledgers.probes_due(now) {
            let engine = &self.engines[upstream.as_str()];
            let report = EngineReport {
                engine: engine.incarnation,
                cold: engine.cold,
                outstanding: u32::try_from(engine.running.len()).expect("count fits in u32"),
            };
            self.node(name).ledgers.report(now, &upstream, report);
        }
    }

    fn deliver(&mut self) {
        let now = self.fleet.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<(Instant, String, Message)> = due;
        for (_, to, message) in due {
            match self.fleet.daemons[&to].process {
                Process::Running => self.handle_message(&to, message),
                Process::Frozen => self.node(&to).inbox.push(message),
                Process::Crashed => {}
            }
        }
    }

    fn handle_message(&mut self, name: &str, message: Message) {
        let now = self.fleet.now;
        let view = self.view(name);
        let limits: BTreeMap<String, ConcurrencyLimits> = self
            .engines
            .iter()
            .map(|(n, e)| (n.clone(), e.limits))
            .collect();
        let node = self.node(name);
        node.ownership.refresh(now, &view);
        match message {
            Message::LeaseRequest {
                owner,
                request,
                sent,
            } => {
                let grant = |w: &Demand| {
                    let upstream: &str = &w.upstream;
                    let authority = node.ownership.authority(now, &view, upstream);
                    node.ledgers
                        .grant(now, authority, limits.get(upstream).copied(), &request, w)
                };
                let grants = request.demands.iter().map(grant).collect();
                let (to, seq) = (request.from.to_string(), request.seq);
                self.send(
                    name,
                    &to,
                    Message::Grants {
                        owner,
                        seq,
                        sent,
                        grants,
                    },
                );
            }
            Message::Grants {
                owner,
                seq,
                sent,
                grants,
            } => {
                if now - sent > CALL_TIMEOUT {
                    node.leases.request_failed(&owner, seq);
                } else {
                    node.leases.apply_grants(now, &owner, seq, &grants);
                }
            }
            Message::Agree {
                owner,
                upstreams,
                sent,
            } => {
                let agreed = upstreams
                    .iter()
                    .filter(|u| view.owner(u) == Some(&owner.as_str().into()));
                let mut agreements = Vec::new();
                for upstream in agreed {
                    let (held, in_use) = node.leases.held_and_in_use(now, upstream);
                    agreements.push(Agreement {
                        upstream: upstream.as_str().into(),
                        held,
                        in_use,
                    });
                }
                let by = name.into();
                self.send(
                    name,
                    &owner,
                    Message::Agreed {
                        by,
                        agreements,
                        sent,
                    },
                );
            }
            Message::Agreed {
                by,
                agreements,
                sent,
            } => {
                if now - sent > CALL_TIMEOUT {
                    return;
                }
                for agreement in agreements {
                    let upstream: &str = &agreement.upstream;
                    node.ledgers
                        .adopt(now, limits[upstream], &by, 0, &agreement);
                    node.ownership.record_agreement(sent, upstream, &by);
                }
            }
        }
    }

    fn send(&mut self, from: &str, to: &str, message: Message) {
        let cut = &self.fleet.isolated;
        if cut.contains(from) != cut.contains(to) {
            return;
        }
        if from != to && self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
        let at = if from == to {
            self.fleet.now
        } else {
            self.fleet.now + delay
        };
        self.messages.push((at, to.into(), message));
    }

    fn release_slot(&mut self, running: &Running, upstream: &str) {
        let node = self.node(&running.daemon);
        if node.daemon_incarnation == running.daemon_incarnation {
            node.leases.release_slot(upstream);
        }
    }

    fn record_cold_slots(&mut self) {
        let names: Vec<&String> = self.nodes.keys().collect();
        for (upstream, engine) in &self.engines {
            let sum: u32 = names.iter().map(|n| self.slots(n, upstream)).sum();
            if engine.cold {
                self.max_cold_slots = self.max_cold_slots.max(sum);
            }
        }
    }

    fn view(&self, at: &str) -> FleetView {
        let swim = &self.fleet.daemons[at].swim;
        let members = swim.members();
        let names_in_state = |wanted: fn(MemberState) -> bool| {
            let members = members.iter().filter(move |m| wanted(m.state));
            members.map(|m| m.name.clone()).collect()
        };
        let reachable = names_in_state(|s| matches!(s, MemberState::Alive | MemberState::Suspect));
        let leaving = names_in_state(|s| s == MemberState::Leaving);
        let quorum_status = swim.quorum_status(self.fleet.now);
        let upstreams: Vec<_> = self.engines.keys().map(|u| u.as_str().into()).collect();
        FleetView::new(reachable, leaving, quorum_status, upstreams.iter())
    }

    fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("a known daemon")
    }

    fn engine(&mut self, upstream: &str) -> &mut Engine {
        self.engines.get_mut(upstream).expect("a known engine")
    }
}

impl Engine {
    fn new(limits: ConcurrencyLimits) -> Self {
        Self {
            limits,
            cold: true,
            cold_peak: 0,
            peak: 0,
            answered: 0,
            incarnation: 1,
            warmup_requests: 40,
            completed: 0,
            running: Vec::new(),
        }
    }

    fn update_peak(&mut self) {
        let running = u32::try_from(self.running.len()).expect("count fits in u32");
        self.peak = self.peak.max(running);
        if self.cold {
            self.cold_peak = self.cold_peak.max(running);
        }
    }

    fn complete(&mut self, count: usize) {
        let count = u32::try_from(count).expect("count fits in u32");
        self.answered += count;
        self.completed += count;
        self.cold &= self.completed < self.warmup_requests;
    }
}
