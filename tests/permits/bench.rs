//! Daemons that lease permits of model engines over a lossy exchange, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::{
    membership::{DaemonName, MemberState},
    ownership::{Ownership, View},
    permits::{
        Agreement, Ask, Bears, EngineIncarnation, Grant, Report, Want,
        leases::{Leases, Taken},
        ledger::Ledgers,
    },
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::fleet::{Fleet, Process};

const STEP: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const AGREE_INTERVAL: Duration = Duration::from_millis(500);

/// An engine that counts what runs in it.
pub(crate) struct Engine {
    pub(crate) bears: Bears,
    pub(crate) cold: bool,
    /// The most requests at once while cold, and ever.
    pub(crate) cold_peak: u32,
    pub(crate) peak: u32,
    pub(crate) answered: u32,
    incarnation: EngineIncarnation,
    warms_after: u32,
    completed: u32,
    running: Vec<Running>,
}

/// A request inside an engine.
struct Running {
    daemon: String,
    start: u64,
    ends: Instant,
    /// Whether the engine has to wait until the daemon reads.
    long: bool,
}

enum Letter {
    Ask {
        owner: String,
        ask: Ask,
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

struct Part {
    leases: Leases,
    ownership: Ownership,
    ledgers: Ledgers,
    next_agree: Instant,
    broken: BTreeSet<String>,
    /// The upstreams whose answers wait to be read.
    unread: Vec<(String, EngineIncarnation)>,
    inbox: Vec<Letter>,
    start: u64,
}

/// The daemons, engines and letters on their way.
pub(crate) struct Bench {
    pub(crate) fleet: Fleet,
    pub(crate) engines: BTreeMap<String, Engine>,
    /// Requests that each daemon tries to keep running at each engine.
    pub(crate) demand: u32,
    pub(crate) long_requests: bool,
    pub(crate) loss_percent: u32,
    pub(crate) max_delay_ms: u64,
    pub(crate) worst_sum: u32,
    parts: BTreeMap<String, Part>,
    letters: Vec<(Instant, String, Letter)>,
    rng: Xoshiro128PlusPlus,
    starts: u64,
}

impl Bench {
    pub(crate) fn new(seed: u64, daemons: usize, engines: usize, bears: Bears) -> Self {
        let mut fleet = Fleet::new(seed);
        fleet.start_all(daemons);
        let engines = (0..engines).map(|i| (format!("u{i}"), Engine::new(bears)));
        let mut bench = Self {
            fleet,
            engines: engines.collect(),
            demand: 0,
            long_requests: false,
            loss_percent: 0,
            max_delay_ms: 2,
            worst_sum: 0,
            parts: BTreeMap::new(),
            letters: Vec::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(seed),
            starts: 0,
        };
        let names: Vec<String> = bench.fleet.daemons.keys().cloned().collect();
        for name in names {
            bench.add_part(&name);
        }
        bench
    }

    fn add_part(&mut self, name: &str) {
        self.starts += 1;
        let part = Part {
            leases: Leases::new(name.into(), self.starts),
            ownership: Ownership::new(name.into()),
            ledgers: Ledgers::default(),
            next_agree: self.fleet.now,
            broken: BTreeSet::new(),
            unread: Vec::new(),
            inbox: Vec::new(),
            start: self.starts,
        };
        self.parts.insert(name.into(), part);
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
        let inbox = std::mem::take(&mut self.part(name).inbox);
        for letter in inbox {
            self.take_in(name, letter);
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
        self.add_part(name);
    }

    /// Restarts an engine: its requests are lost and it is cold.
    pub(crate) fn restart_engine(&mut self, upstream: &str) {
        let engine = self.engine(upstream);
        engine.incarnation += 1;
        engine.cold = true;
        engine.completed = 0;
        let lost = std::mem::take(&mut engine.running);
        for part in self.parts.values_mut() {
            part.broken.insert(upstream.into());
        }
        for running in lost {
            self.give_back(&running, upstream);
        }
    }

    /// The daemon that `at` believes to own the upstream.
    pub(crate) fn owner(&self, at: &str, upstream: &str) -> Option<String> {
        self.view(at).owner(upstream).map(ToString::to_string)
    }

    /// The slots that a daemon may use now.
    pub(crate) fn slots(&self, at: &str, upstream: &str) -> u32 {
        self.parts[at].leases.slots(self.fleet.now, upstream)
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        self.finish_requests();
        self.deliver();
        let names: Vec<String> = self.fleet.daemons.keys().cloned().collect();
        for name in &names {
            if self.fleet.daemons[name].process == Process::Running {
                self.work(name);
            }
        }
        self.check();
    }

    /// What one running daemon does in a step.
    fn work(&mut self, name: &str) {
        let now = self.fleet.now;
        let view = self.view(name);
        let upstreams: Vec<String> = self.engines.keys().cloned().collect();
        for upstream in std::mem::take(&mut self.part(name).broken) {
            self.part(name).leases.crashed(&upstream);
        }
        self.read_answers(name);
        for upstream in &upstreams {
            self.dispatch(name, upstream);
        }
        self.confirm(name);
        self.probe(name);
        let part = self.part(name);
        part.ownership.refresh(now, &view);
        let asks = part.leases.asks_due(now, |u| view.owner(u));
        let mut letters: Vec<(String, Letter)> = Vec::new();
        for (owner, ask) in asks {
            let letter = Letter::Ask {
                owner: owner.to_string(),
                ask,
                sent: now,
            };
            letters.push((owner.to_string(), letter));
        }
        if now >= part.next_agree {
            part.next_agree = now + AGREE_INTERVAL;
            for (to, upstreams) in part.ownership.agreements_missing(now, &view) {
                let upstreams = upstreams.iter().map(ToString::to_string).collect();
                let letter = Letter::Agree {
                    owner: name.into(),
                    upstreams,
                    sent: now,
                };
                letters.push((to.to_string(), letter));
            }
        }
        for (to, letter) in letters {
            self.send(name, &to, letter);
        }
    }

    fn dispatch(&mut self, name: &str, upstream: &str) {
        let now = self.fleet.now;
        let start = self.parts[name].start;
        let own = |r: &&Running| r.daemon == name && r.start == start;
        let running = self.engines[upstream].running.iter().filter(own).count();
        let missing = self
            .demand
            .saturating_sub(u32::try_from(running).expect("few"));
        for _ in 0..missing {
            if self.part(name).leases.take(now, upstream) != Taken::Slot {
                return;
            }
            let long = self.long_requests && self.rng.random_range(0..20) == 0;
            let millis = self
                .rng
                .random_range(100..if long { 40_000 } else { 1_500 });
            let running = Running {
                daemon: name.into(),
                start,
                ends: now + Duration::from_millis(millis),
                long,
            };
            let engine = self.engine(upstream);
            engine.running.push(running);
            engine.note_peak();
        }
    }

    /// Ends requests; those of a frozen daemon too, if their answers fit into the socket's buffer.
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
                let part = self.parts.get_mut(&running.daemon).expect("a known daemon");
                if part.start == running.start {
                    part.unread.push((upstream.clone(), engine.incarnation));
                }
            }
        }
    }

    /// Reads the answers that have come to a daemon.
    fn read_answers(&mut self, name: &str) {
        for (upstream, incarnation) in std::mem::take(&mut self.part(name).unread) {
            let leases = &mut self.part(name).leases;
            leases.give_back(&upstream);
            leases.succeeded(&upstream);
            leases.saw(&upstream, incarnation);
        }
    }

    /// Confirms incarnations over a connection of the daemon's own.
    fn confirm(&mut self, name: &str) {
        let now = self.fleet.now;
        for upstream in self.part(name).leases.unconfirmed(now) {
            let incarnation = self.engines[upstream.as_str()].incarnation;
            self.part(name).leases.confirm(now, &upstream, incarnation);
        }
    }

    fn probe(&mut self, name: &str) {
        let now = self.fleet.now;
        for upstream in self.part(name).ledgers.probes_due(now) {
            let engine = &self.engines[upstream.as_str()];
            let report = Report {
                engine: engine.incarnation,
                cold: engine.cold,
                inside: u32::try_from(engine.running.len()).expect("few"),
            };
            self.part(name).ledgers.report(now, &upstream, report);
        }
    }

    fn deliver(&mut self) {
        let now = self.fleet.now;
        let letters = std::mem::take(&mut self.letters);
        let (due, later) = letters.into_iter().partition(|(at, ..)| *at <= now);
        self.letters = later;
        let due: Vec<(Instant, String, Letter)> = due;
        for (_, to, letter) in due {
            match self.fleet.daemons[&to].process {
                Process::Running => self.take_in(&to, letter),
                Process::Frozen => self.part(&to).inbox.push(letter),
                Process::Gone => {}
            }
        }
    }

    fn take_in(&mut self, name: &str, letter: Letter) {
        let now = self.fleet.now;
        let view = self.view(name);
        let bears: BTreeMap<String, Bears> = self
            .engines
            .iter()
            .map(|(n, e)| (n.clone(), e.bears))
            .collect();
        let part = self.part(name);
        part.ownership.refresh(now, &view);
        match letter {
            Letter::Ask { owner, ask, sent } => {
                let grant = |w: &Want| {
                    let upstream: &str = &w.upstream;
                    let office = part.ownership.office(now, &view, upstream);
                    part.ledgers
                        .grant(now, office, bears.get(upstream).copied(), &ask, w)
                };
                let grants = ask.wants.iter().map(grant).collect();
                let (to, seq) = (ask.from.to_string(), ask.seq);
                self.send(
                    name,
                    &to,
                    Letter::Grants {
                        owner,
                        seq,
                        sent,
                        grants,
                    },
                );
            }
            Letter::Grants {
                owner,
                seq,
                sent,
                grants,
            } => {
                if now - sent > CALL_TIMEOUT {
                    part.leases.unanswered(&owner, seq);
                } else {
                    part.leases.answered(now, &owner, seq, &grants);
                }
            }
            Letter::Agree {
                owner,
                upstreams,
                sent,
            } => {
                let agreed = upstreams
                    .iter()
                    .filter(|u| view.owner(u) == Some(&owner.as_str().into()));
                let mut agreements = Vec::new();
                for upstream in agreed {
                    let (held, in_use) = part.leases.state(now, upstream);
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
                    Letter::Agreed {
                        by,
                        agreements,
                        sent,
                    },
                );
            }
            Letter::Agreed {
                by,
                agreements,
                sent,
            } => {
                if now - sent > CALL_TIMEOUT {
                    return;
                }
                for agreement in agreements {
                    let upstream: &str = &agreement.upstream;
                    part.ledgers.adopt(now, bears[upstream], &by, 0, &agreement);
                    part.ownership.agreed(sent, upstream, &by);
                }
            }
        }
    }

    fn send(&mut self, from: &str, to: &str, letter: Letter) {
        let cut = &self.fleet.cut_off;
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
        self.letters.push((at, to.into(), letter));
    }

    fn give_back(&mut self, running: &Running, upstream: &str) {
        let part = self.part(&running.daemon);
        if part.start == running.start {
            part.leases.give_back(upstream);
        }
    }

    fn check(&mut self) {
        let names: Vec<&String> = self.parts.keys().collect();
        for (upstream, engine) in &self.engines {
            let sum: u32 = names.iter().map(|n| self.slots(n, upstream)).sum();
            if engine.cold {
                self.worst_sum = self.worst_sum.max(sum);
            }
        }
    }

    fn view(&self, at: &str) -> View {
        let swim = &self.fleet.daemons[at].swim;
        let members = swim.members();
        let of = |wanted: fn(MemberState) -> bool| {
            let members = members.iter().filter(move |m| wanted(m.state));
            members.map(|m| m.name.clone()).collect()
        };
        let reachable = of(|s| matches!(s, MemberState::Alive | MemberState::Suspect));
        let leaving = of(|s| s == MemberState::Leaving);
        let standing = swim.standing(self.fleet.now);
        let upstreams: Vec<_> = self.engines.keys().map(|u| u.as_str().into()).collect();
        View::new(reachable, leaving, standing, upstreams.iter())
    }

    fn part(&mut self, name: &str) -> &mut Part {
        self.parts.get_mut(name).expect("a known daemon")
    }

    fn engine(&mut self, upstream: &str) -> &mut Engine {
        self.engines.get_mut(upstream).expect("a known engine")
    }
}

impl Engine {
    fn new(bears: Bears) -> Self {
        Self {
            bears,
            cold: true,
            cold_peak: 0,
            peak: 0,
            answered: 0,
            incarnation: 1,
            warms_after: 40,
            completed: 0,
            running: Vec::new(),
        }
    }

    fn note_peak(&mut self) {
        let running = u32::try_from(self.running.len()).expect("few");
        self.peak = self.peak.max(running);
        if self.cold {
            self.cold_peak = self.cold_peak.max(running);
        }
    }

    fn complete(&mut self, count: usize) {
        let count = u32::try_from(count).expect("few");
        self.answered += count;
        self.completed += count;
        self.cold &= self.completed < self.warms_after;
    }
}
