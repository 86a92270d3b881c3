//! Tests of poison requests: at most two crashes, other requests are served, and scenario files.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use datadriven::{TestCase, walk};
use hibiscusyoke::coordination::{
    poison::{
        Fingerprint, PoisonDetector, QuarantineCause, SuspectEvent, SuspectUpdate, Treatment,
    },
    routing::{Choice, Outcome, Reservation, Reserved},
};
use policy_support::{Daemon, request, small_objects};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

mod policy_support;

const MESSAGE_DELAY: Duration = Duration::from_millis(3);
const ANSWER_TIME: Duration = Duration::from_millis(200);
const RESTART_TIME: Duration = Duration::from_millis(300);
const RETRY_DELAY: Duration = Duration::from_millis(50);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
const RESERVATION_TTL: Duration = Duration::from_secs(30);
const POISON: &str = "poison";

/// Target: maximum number of crashes caused by one body, with any keys and through any daemons.
const MAX_CRASHES: usize = 2;

#[derive(Clone, Debug)]
enum SimEvent {
    /// A request arrives at a daemon or is retried there.
    Try {
        daemon: usize,
        body: CompactString,
        tries: u32,
    },
    /// An upstream has finished a request.
    End { daemon: usize, run: u64 },
    /// A daemon receives an update from a peer.
    SuspectUpdate {
        daemon: usize,
        update: SuspectUpdate,
    },
    /// All daemons are asked to reserve an upstream for a suspect.
    Poll { run: u64, until: Duration },
    /// The responses to the reservation have arrived.
    Polled {
        run: u64,
        until: Duration,
        poll: Poll,
    },
    /// A daemon is notified that a solo run has ended.
    Release {
        daemon: usize,
        upstream: CompactString,
        holder: u64,
    },
}

/// The combined responses of all daemons to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Poll {
    Free,
    Running,
    Contended,
}

#[derive(Clone, Debug)]
struct Run {
    daemon: usize,
    body: CompactString,
    choice: Choice,
}

#[derive(Debug, Default)]
struct Outcomes {
    crashes: usize,
    served: BTreeSet<CompactString>,
    refused: BTreeSet<CompactString>,
    last_refusal: Option<QuarantineCause>,
}

/// Simulates daemons and upstreams; one body crashes each upstream that runs it.
struct Simulation {
    daemons: Vec<Daemon>,
    poisons: Vec<PoisonDetector>,
    start: Instant,
    events: BTreeMap<(Duration, u64), SimEvent>,
    sequence: u64,
    runs: BTreeMap<u64, Run>,
    started: BTreeSet<u64>,
    isolating: bool,
    down_until: BTreeMap<CompactString, Duration>,
    outcomes: Outcomes,
}

impl Simulation {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            daemons: (0..size)
                .map(|i| Daemon::new(i, size, small_objects(), seed))
                .collect(),
            poisons: (0..size)
                .map(|i| PoisonDetector::new(seed * 100 + i as u64))
                .collect(),
            start: Instant::now(),
            events: BTreeMap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
            started: BTreeSet::new(),
            isolating: true,
            down_until: BTreeMap::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn push(&mut self, at: Duration, what: SimEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), what);
    }

    fn broadcast(&mut self, at: Duration, from: usize, what: impl Fn(usize) -> SimEvent) {
        for daemon in (0..self.daemons.len()).filter(|d| *d != from) {
            self.push(at + MESSAGE_DELAY, what(daemon));
        }
    }

    fn run(mut self, end: Duration) -> Outcomes {
        while let Some(((at, _), what)) = self.events.pop_first() {
            if at > end {
                break;
            }
            match what {
                SimEvent::Try {
                    daemon,
                    body,
                    tries,
                } => self.attempt(at, daemon, body, tries),
                SimEvent::End { daemon, run } => self.end(at, daemon, run),
                SimEvent::SuspectUpdate { daemon, update } => {
                    self.poisons[daemon].update(self.start + at, &update);
                }
                SimEvent::Poll { run, until } => self.poll(at, run, until),
                SimEvent::Polled { run, until, poll } => self.polled(at, run, until, poll),
                SimEvent::Release {
                    daemon,
                    upstream,
                    holder,
                } => {
                    self.daemons[daemon].router.release(&upstream, holder);
                }
            }
        }
        self.outcomes
    }

    fn attempt(&mut self, at: Duration, daemon: usize, body: CompactString, tries: u32) {
        let now = self.start + at;
        let fingerprint = Fingerprint::of("gate", &body);
        let solo = match self.poisons[daemon].treatment(now, fingerprint) {
            Treatment::Normal => false,
            Treatment::Solo => true,
            Treatment::Refuse(refusal) => {
                self.outcomes.last_refusal = Some(refusal.cause);
                if refusal.cause == QuarantineCause::Crashes {
                    self.outcomes.refused.insert(body.clone());
                }
                return self.resend(at, body);
            }
        };
        let mut req = request(&format!("{body}-{tries}"));
        req.solo = solo;
        req.excluded = self.poisons[daemon].crashed_on(fingerprint);
        let Ok(choice) = self.daemons[daemon].choose(now, &req) else {
            let tries = tries + 1;
            return self.push(
                at + RETRY_DELAY / 5,
                SimEvent::Try {
                    daemon,
                    body,
                    tries,
                },
            );
        };
        self.sequence += 1;
        let run = self.sequence;
        self.runs.insert(
            run,
            Run {
                daemon,
                body,
                choice,
            },
        );
        if solo && self.isolating {
            let until = at + DRAIN_TIMEOUT;
            return self.push(at + MESSAGE_DELAY, SimEvent::Poll { run, until });
        }
        self.dispatch(at, run);
    }

    fn dispatch(&mut self, at: Duration, run: u64) {
        let now = self.start + at;
        let Run {
            daemon,
            body,
            choice,
        } = self.runs[&run].clone();
        let fingerprint = Fingerprint::of("gate", &body);
        self.daemons[daemon].router.started(now, &choice);
        let upstream = choice.upstream.clone();
        let update = self.poisons[daemon].started(now, fingerprint, &upstream, choice.solo);
        if let Some(update) = update {
            self.broadcast(at, daemon, |daemon| SimEvent::SuspectUpdate {
                daemon,
                update: update.clone(),
            });
        }
        self.started.insert(run);
        if self
            .down_until
            .get(&upstream)
            .is_some_and(|until| at < *until)
        {
            return self.finish(at, run, Outcome::Unreachable);
        }
        if body == POISON {
            return self.crash(at, &upstream);
        }
        self.push(at + ANSWER_TIME, SimEvent::End { daemon, run });
    }

    fn poll(&mut self, at: Duration, run: u64, until: Duration) {
        let now = self.start + at;
        let choice = self.runs[&run].choice.clone();
        let by = Reservation {
            holder: run,
            until: now + RESERVATION_TTL,
        };
        let mut poll = Poll::Free;
        for daemon in &mut self.daemons {
            match daemon.router.reserve(now, &choice.upstream, by) {
                Reserved::Contended => poll = Poll::Contended,
                Reserved::Granted { running } if running > 0 && poll == Poll::Free => {
                    poll = Poll::Running;
                }
                Reserved::Granted { .. } => {}
            }
        }
        self.push(at + MESSAGE_DELAY, SimEvent::Polled { run, until, poll });
    }

    fn polled(&mut self, at: Duration, run: u64, until: Duration, poll: Poll) {
        match poll {
            Poll::Free => self.dispatch(at, run),
            Poll::Running if at < until => {
                self.push(at + RETRY_DELAY / 2, SimEvent::Poll { run, until });
            }
            Poll::Running | Poll::Contended => {
                let Run {
                    daemon,
                    body,
                    choice,
                } = self.runs.remove(&run).expect("a run");
                self.release(at, daemon, &choice.upstream, run);
                self.push(
                    at + RETRY_DELAY / 5,
                    SimEvent::Try {
                        daemon,
                        body,
                        tries: 1,
                    },
                );
            }
        }
    }

    fn release(&mut self, at: Duration, daemon: usize, upstream: &CompactString, holder: u64) {
        self.daemons[daemon].router.release(upstream, holder);
        self.broadcast(at, daemon, |daemon| SimEvent::Release {
            daemon,
            upstream: upstream.clone(),
            holder,
        });
    }

    fn end(&mut self, at: Duration, daemon: usize, run: u64) {
        if self.runs.contains_key(&run) {
            let outcome = Outcome::Answered {
                first_token: ANSWER_TIME / 4,
                completion_time: ANSWER_TIME,
            };
            assert_eq!(self.runs[&run].daemon, daemon);
            self.finish(at, run, outcome);
        }
    }

    fn crash(&mut self, at: Duration, upstream: &CompactString) {
        self.outcomes.crashes += 1;
        self.down_until.insert(upstream.clone(), at + RESTART_TIME);
        let affected: Vec<_> = self
            .runs
            .iter()
            .filter(|(id, run)| self.started.contains(id) && run.choice.upstream == *upstream)
            .map(|(id, _)| *id)
            .collect();
        for run in affected {
            self.finish(at, run, Outcome::Crashed);
        }
    }

    fn finish(&mut self, at: Duration, run: u64, outcome: Outcome) {
        let Run {
            daemon,
            body,
            choice,
        } = self.runs.remove(&run).expect("running");
        let now = self.start + at;
        let fingerprint = Fingerprint::of("gate", &body);
        self.daemons[daemon].router.finished(now, &choice, outcome);
        let (upstream, solo) = (choice.upstream, choice.solo);
        let poison = &mut self.poisons[daemon];
        let mut updates = Vec::new();
        updates.extend(poison.finished(now, fingerprint, &upstream, solo, outcome));
        if outcome == Outcome::Crashed {
            updates.extend(poison.upstream_crashed(now, &upstream));
        }
        for update in updates {
            self.broadcast(at, daemon, |daemon| SimEvent::SuspectUpdate {
                daemon,
                update: update.clone(),
            });
        }
        if solo {
            self.release(at, daemon, &upstream, run);
        }
        if let Outcome::Answered { .. } = outcome {
            self.outcomes.served.insert(body);
        } else {
            self.push(
                at + MESSAGE_DELAY,
                SimEvent::Try {
                    daemon,
                    body,
                    tries: 1,
                },
            );
        }
    }

    /// Resends a refused request through another daemon.
    fn resend(&mut self, at: Duration, body: CompactString) {
        let daemon = (self.sequence % self.daemons.len() as u64) as usize;
        self.push(
            at + RETRY_DELAY,
            SimEvent::Try {
                daemon,
                body,
                tries: 0,
            },
        );
    }
}

#[test]
fn poison_request_crashes_at_most_two_upstreams() {
    for size in [1, 3, 8] {
        for seed in 0..40 {
            let mut simulation = Simulation::new(size, seed);
            let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
            let mut harmless = BTreeSet::new();
            for i in 0..400_u64 {
                let body = CompactString::from(format!("body-{i}"));
                let daemon = rng.random_range(0..size);
                harmless.insert(body.clone());
                simulation.push(
                    Duration::from_millis(i * 5),
                    SimEvent::Try {
                        daemon,
                        body,
                        tries: 0,
                    },
                );
            }
            let daemon = rng.random_range(0..size);
            let at = Duration::from_millis(500);
            simulation.push(
                at,
                SimEvent::Try {
                    daemon,
                    body: POISON.into(),
                    tries: 0,
                },
            );
            let outcomes = simulation.run(Duration::from_secs(20));
            let what = format!("{size} daemons, seed {seed}");
            assert_eq!(outcomes.crashes, MAX_CRASHES, "{what}");
            let missing: Vec<_> = harmless.difference(&outcomes.served).collect();
            assert!(
                missing.is_empty(),
                "{what}: requests not served: {missing:?}"
            );
            let poison = BTreeSet::from([CompactString::from(POISON)]);
            assert_eq!(outcomes.refused, poison, "{what}");
            assert_eq!(
                outcomes.last_refusal,
                Some(QuarantineCause::Crashes),
                "{what}"
            );
        }
    }
}

#[test]
fn suspect_count_is_bounded() {
    let now = Instant::now();
    let mut poison = PoisonDetector::new(1);
    for i in 0..10_000_u32 {
        let update = SuspectUpdate {
            fingerprint: Fingerprint::of("gate", i.to_string()),
            event: SuspectEvent::Crashed {
                upstream: "engine-0".into(),
                solo: false,
                id: u64::from(i),
            },
        };
        poison.update(now, &update);
    }
    assert!(poison.suspects() <= 4_096, "{}", poison.suspects());
}

/// Runs the directives of one scenario file.
struct Scenario {
    poison: PoisonDetector,
    start: Instant,
    now: Instant,
}

impl Scenario {
    fn run(&mut self, case: &mut TestCase) -> String {
        let body = case
            .try_take_arg::<String>("body")
            .expect("body")
            .unwrap_or_default();
        let on = case
            .try_take_arg::<String>("on")
            .expect("on")
            .unwrap_or_default();
        let on = CompactString::from(on);
        let solo = case.take_flag("solo").expect("solo");
        let fingerprint = Fingerprint::of("gate", &body);
        let mut out = String::new();
        match case.directive.as_str() {
            "at" => {
                let ms: u64 = case.take_arg("ms").expect("ms");
                self.now = self.start + Duration::from_millis(ms);
            }
            "ask" => {
                let result = match self.poison.treatment(self.now, fingerprint) {
                    Treatment::Normal => "normal".to_owned(),
                    Treatment::Solo => {
                        format!("solo, excluded {:?}", self.poison.crashed_on(fingerprint))
                    }
                    Treatment::Refuse(refusal) => refusal.to_string(),
                };
                writeln!(out, "{result}").expect("text");
            }
            "start" => {
                let update = self.poison.started(self.now, fingerprint, &on, solo);
                writeln!(out, "sent={}", update.is_some()).expect("text");
            }
            "crash" => {
                let outcome = Outcome::Crashed;
                let update = self
                    .poison
                    .finished(self.now, fingerprint, &on, solo, outcome);
                let others = self.poison.upstream_crashed(self.now, &on).len();
                writeln!(out, "sent={} others={others}", update.is_some()).expect("text");
            }
            "answer" => {
                let outcome = Outcome::Answered {
                    first_token: ANSWER_TIME,
                    completion_time: ANSWER_TIME,
                };
                let update = self
                    .poison
                    .finished(self.now, fingerprint, &on, solo, outcome);
                writeln!(out, "sent={}", update.is_some()).expect("text");
            }
            "cancel" => {
                let outcome = Outcome::Cancelled;
                let update = self
                    .poison
                    .finished(self.now, fingerprint, &on, solo, outcome);
                writeln!(out, "sent={}", update.is_some()).expect("text");
            }
            "hear" => {
                let id = case.take_arg("id").expect("id");
                let event = SuspectEvent::Crashed {
                    upstream: on,
                    solo,
                    id,
                };
                let changed = self
                    .poison
                    .update(self.now, &SuspectUpdate { fingerprint, event });
                writeln!(out, "changed={changed}").expect("text");
            }
            other => panic!("unknown directive {other}"),
        }
        case.expect_empty().expect("no unknown argument");
        out
    }
}

#[test]
fn scenarios_hold() {
    walk("tests/scenarios/poison", |file| {
        let start = Instant::now();
        let mut scenario = Scenario {
            poison: PoisonDetector::new(7),
            start,
            now: start,
        };
        file.run(|case| scenario.run(case));
    });
}

#[test]
fn quarantine_is_independent_of_update_order() {
    let now = Instant::now();
    let updates: Vec<_> = (0..4_u64)
        .map(|i| SuspectUpdate {
            fingerprint: Fingerprint::of("gate", "body"),
            event: SuspectEvent::Crashed {
                upstream: format!("engine-{}", i / 2).into(),
                solo: false,
                id: i,
            },
        })
        .collect();
    for seed in 0..24 {
        let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
        let mut order: Vec<_> = updates
            .iter()
            .map(|n| (Reverse(rng.random::<u64>()), n))
            .collect();
        order.sort_by_key(|(key, _)| *key);
        let mut poison = PoisonDetector::new(seed);
        for (_, update) in order.iter().chain(&order) {
            poison.update(now, update);
        }
        let treatment = poison.treatment(now, updates[0].fingerprint);
        assert!(
            matches!(treatment, Treatment::Refuse(_)),
            "seed {seed}: {treatment:?}"
        );
    }
}
