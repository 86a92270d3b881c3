//! Poison requests: two crashes in all, innocents served, and scenarios.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use datadriven::{TestCase, walk};
use hibiscusyoke::coordination::{
    poison::{Event, Fingerprint, Note, Poison, QuarantinedWhy, Treatment},
    routing::{Choice, Outcome, Reservation, Reserved},
};
use policy_support::{Daemon, request, small};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

mod policy_support;

const MESSAGE: Duration = Duration::from_millis(3);
const ANSWER: Duration = Duration::from_millis(200);
const RESTART: Duration = Duration::from_millis(300);
const AGAIN: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(30);
const POISON: &str = "poison";

/// The target: crashes by one body, whatever its keys and the daemons that it is sent through.
const MAX_CRASHES: usize = 2;

#[derive(Clone, Debug)]
enum What {
    /// A request reaches a daemon, or is tried again there.
    Try {
        daemon: usize,
        body: CompactString,
        tries: u32,
    },
    /// An upstream has finished a request.
    End { daemon: usize, run: u64 },
    /// A daemon hears from a peer.
    Note { daemon: usize, note: Note },
    /// All peers are asked to keep an upstream free for a suspect.
    Poll { run: u64, until: Duration },
    /// Their answers have come.
    Polled {
        run: u64,
        until: Duration,
        poll: Poll,
    },
    /// A daemon hears that a solo run has ended.
    Release {
        daemon: usize,
        upstream: CompactString,
        holder: u64,
    },
}

/// What all daemons say of an upstream together.
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
    last_refusal: Option<QuarantinedWhy>,
}

/// Daemons and upstreams; one body crashes each upstream that runs it.
struct World {
    daemons: Vec<Daemon>,
    poisons: Vec<Poison>,
    start: Instant,
    events: BTreeMap<(Duration, u64), What>,
    numbers: u64,
    runs: BTreeMap<u64, Run>,
    started: BTreeSet<u64>,
    isolating: bool,
    down_until: BTreeMap<CompactString, Duration>,
    outcomes: Outcomes,
}

impl World {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            daemons: (0..size)
                .map(|i| Daemon::new(i, size, small(), seed))
                .collect(),
            poisons: (0..size)
                .map(|i| Poison::new(seed * 100 + i as u64))
                .collect(),
            start: Instant::now(),
            events: BTreeMap::new(),
            numbers: 0,
            runs: BTreeMap::new(),
            started: BTreeSet::new(),
            isolating: true,
            down_until: BTreeMap::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn push(&mut self, at: Duration, what: What) {
        self.numbers += 1;
        self.events.insert((at, self.numbers), what);
    }

    fn tell(&mut self, at: Duration, from: usize, what: impl Fn(usize) -> What) {
        for daemon in (0..self.daemons.len()).filter(|d| *d != from) {
            self.push(at + MESSAGE, what(daemon));
        }
    }

    fn run(mut self, end: Duration) -> Outcomes {
        while let Some(((at, _), what)) = self.events.pop_first() {
            if at > end {
                break;
            }
            match what {
                What::Try {
                    daemon,
                    body,
                    tries,
                } => self.attempt(at, daemon, body, tries),
                What::End { daemon, run } => self.end(at, daemon, run),
                What::Note { daemon, note } => {
                    self.poisons[daemon].note(self.start + at, &note);
                }
                What::Poll { run, until } => self.poll(at, run, until),
                What::Polled { run, until, poll } => self.polled(at, run, until, poll),
                What::Release {
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
            Treatment::Usual => false,
            Treatment::Solo => true,
            Treatment::Refuse(refusal) => {
                self.outcomes.last_refusal = Some(refusal.why);
                if refusal.why == QuarantinedWhy::Crashes {
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
                at + AGAIN / 5,
                What::Try {
                    daemon,
                    body,
                    tries,
                },
            );
        };
        self.numbers += 1;
        let run = self.numbers;
        self.runs.insert(
            run,
            Run {
                daemon,
                body,
                choice,
            },
        );
        if solo && self.isolating {
            let until = at + PATIENCE;
            return self.push(at + MESSAGE, What::Poll { run, until });
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
        let note = self.poisons[daemon].started(now, fingerprint, &upstream, choice.solo);
        if let Some(note) = note {
            self.tell(at, daemon, |daemon| What::Note {
                daemon,
                note: note.clone(),
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
        self.push(at + ANSWER, What::End { daemon, run });
    }

    fn poll(&mut self, at: Duration, run: u64, until: Duration) {
        let now = self.start + at;
        let choice = self.runs[&run].choice.clone();
        let by = Reservation {
            holder: run,
            until: now + LENGTH,
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
        self.push(at + MESSAGE, What::Polled { run, until, poll });
    }

    fn polled(&mut self, at: Duration, run: u64, until: Duration, poll: Poll) {
        match poll {
            Poll::Free => self.dispatch(at, run),
            Poll::Running if at < until => {
                self.push(at + AGAIN / 2, What::Poll { run, until });
            }
            Poll::Running | Poll::Contended => {
                let Run {
                    daemon,
                    body,
                    choice,
                } = self.runs.remove(&run).expect("a run");
                self.release(at, daemon, &choice.upstream, run);
                self.push(
                    at + AGAIN / 5,
                    What::Try {
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
        self.tell(at, daemon, |daemon| What::Release {
            daemon,
            upstream: upstream.clone(),
            holder,
        });
    }

    fn end(&mut self, at: Duration, daemon: usize, run: u64) {
        if self.runs.contains_key(&run) {
            let outcome = Outcome::Answered {
                first_token: ANSWER / 4,
                whole: ANSWER,
            };
            assert_eq!(self.runs[&run].daemon, daemon);
            self.finish(at, run, outcome);
        }
    }

    fn crash(&mut self, at: Duration, upstream: &CompactString) {
        self.outcomes.crashes += 1;
        self.down_until.insert(upstream.clone(), at + RESTART);
        let struck: Vec<_> = self
            .runs
            .iter()
            .filter(|(id, run)| self.started.contains(id) && run.choice.upstream == *upstream)
            .map(|(id, _)| *id)
            .collect();
        for run in struck {
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
        let mut notes = Vec::new();
        notes.extend(poison.finished(now, fingerprint, &upstream, solo, outcome));
        if outcome == Outcome::Crashed {
            notes.extend(poison.upstream_crashed(now, &upstream));
        }
        for note in notes {
            self.tell(at, daemon, |daemon| What::Note {
                daemon,
                note: note.clone(),
            });
        }
        if solo {
            self.release(at, daemon, &upstream, run);
        }
        if let Outcome::Answered { .. } = outcome {
            self.outcomes.served.insert(body);
        } else {
            self.push(
                at + MESSAGE,
                What::Try {
                    daemon,
                    body,
                    tries: 1,
                },
            );
        }
    }

    /// The caller of a refused request sends it again through the next daemon.
    fn resend(&mut self, at: Duration, body: CompactString) {
        let daemon = (self.numbers % self.daemons.len() as u64) as usize;
        self.push(
            at + AGAIN,
            What::Try {
                daemon,
                body,
                tries: 0,
            },
        );
    }
}

#[test]
fn poison_crashes_two_upstreams_and_innocents_are_served() {
    for size in [1, 3, 8] {
        for seed in 0..40 {
            let mut world = World::new(size, seed);
            let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
            let mut innocents = BTreeSet::new();
            for i in 0..400_u64 {
                let body = CompactString::from(format!("body-{i}"));
                let daemon = rng.random_range(0..size);
                innocents.insert(body.clone());
                world.push(
                    Duration::from_millis(i * 5),
                    What::Try {
                        daemon,
                        body,
                        tries: 0,
                    },
                );
            }
            let daemon = rng.random_range(0..size);
            let at = Duration::from_millis(500);
            world.push(
                at,
                What::Try {
                    daemon,
                    body: POISON.into(),
                    tries: 0,
                },
            );
            let outcomes = world.run(Duration::from_secs(20));
            let what = format!("{size} daemons, seed {seed}");
            assert_eq!(outcomes.crashes, MAX_CRASHES, "{what}");
            let missing: Vec<_> = innocents.difference(&outcomes.served).collect();
            assert!(missing.is_empty(), "{what}: not served {missing:?}");
            let poison = BTreeSet::from([CompactString::from(POISON)]);
            assert_eq!(outcomes.refused, poison, "{what}");
            assert_eq!(
                outcomes.last_refusal,
                Some(QuarantinedWhy::Crashes),
                "{what}"
            );
        }
    }
}

#[test]
fn suspects_are_bounded_in_number() {
    let now = Instant::now();
    let mut poison = Poison::new(1);
    for i in 0..10_000_u32 {
        let note = Note {
            fingerprint: Fingerprint::of("gate", i.to_string()),
            event: Event::Crashed {
                upstream: "engine-0".into(),
                solo: false,
                id: u64::from(i),
            },
        };
        poison.note(now, &note);
    }
    assert!(poison.suspects() <= 4_096, "{}", poison.suspects());
}

/// The state of one scenario file.
struct Scenario {
    poison: Poison,
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
                let told = match self.poison.treatment(self.now, fingerprint) {
                    Treatment::Usual => "usual".to_owned(),
                    Treatment::Solo => {
                        format!("solo, not on {:?}", self.poison.crashed_on(fingerprint))
                    }
                    Treatment::Refuse(refusal) => refusal.to_string(),
                };
                writeln!(out, "{told}").expect("text");
            }
            "start" => {
                let note = self.poison.started(self.now, fingerprint, &on, solo);
                writeln!(out, "told={}", note.is_some()).expect("text");
            }
            "crash" => {
                let outcome = Outcome::Crashed;
                let note = self
                    .poison
                    .finished(self.now, fingerprint, &on, solo, outcome);
                let others = self.poison.upstream_crashed(self.now, &on).len();
                writeln!(out, "told={} others={others}", note.is_some()).expect("text");
            }
            "answer" => {
                let outcome = Outcome::Answered {
                    first_token: ANSWER,
                    whole: ANSWER,
                };
                let note = self
                    .poison
                    .finished(self.now, fingerprint, &on, solo, outcome);
                writeln!(out, "told={}", note.is_some()).expect("text");
            }
            "cancel" => {
                let outcome = Outcome::Cancelled;
                let note = self
                    .poison
                    .finished(self.now, fingerprint, &on, solo, outcome);
                writeln!(out, "told={}", note.is_some()).expect("text");
            }
            "hear" => {
                let id = case.take_arg("id").expect("id");
                let event = Event::Crashed {
                    upstream: on,
                    solo,
                    id,
                };
                let news = self.poison.note(self.now, &Note { fingerprint, event });
                writeln!(out, "news={news}").expect("text");
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
            poison: Poison::new(7),
            start,
            now: start,
        };
        file.run(|case| scenario.run(case));
    });
}

#[test]
fn crash_of_every_order_of_the_same_notes_gives_the_same_treatment() {
    let now = Instant::now();
    let notes: Vec<_> = (0..4_u64)
        .map(|i| Note {
            fingerprint: Fingerprint::of("gate", "body"),
            event: Event::Crashed {
                upstream: format!("engine-{}", i / 2).into(),
                solo: false,
                id: i,
            },
        })
        .collect();
    for seed in 0..24 {
        let mut rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
        let mut order: Vec<_> = notes
            .iter()
            .map(|n| (Reverse(rng.random::<u64>()), n))
            .collect();
        order.sort_by_key(|(key, _)| *key);
        let mut poison = Poison::new(seed);
        for (_, note) in order.iter().chain(&order) {
            poison.note(now, note);
        }
        let treatment = poison.treatment(now, notes[0].fingerprint);
        assert!(
            matches!(treatment, Treatment::Refuse(_)),
            "seed {seed}: {treatment:?}"
        );
    }
}
