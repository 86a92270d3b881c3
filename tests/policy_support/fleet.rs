//! A fleet of routers that serve streamed answers and rate them after, event by event.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::{
        rollout::{Ratings, Standing, Trial, Verdict},
        routing::{Choice, Outcome},
    },
    state::objects::Objects,
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

use super::{Daemon, request, subject};

/// The delay of a message between daemons.
const MESSAGE: Duration = Duration::from_millis(20);

/// The daemons that weigh the ratings of a version.
const WEIGHING: usize = 8;

/// The time for which ratings of trusted versions are gathered.
const BATCH: Duration = Duration::from_millis(100);

/// The time from an answer's end to its rating.
const RATING: Duration = Duration::from_millis(20);

/// What is measured of a version that turns bad.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    /// Its answers that began before it turned bad.
    pub before: u32,
    /// Its answers that began after it turned bad.
    pub after: u32,
}

/// How a version's answers fare.
#[derive(Clone, Copy, Debug)]
pub struct Truth {
    pub good: f64,
    pub bad: f64,
    pub turns_bad_at: Duration,
}

enum Event {
    Arrive,
    End {
        daemon: usize,
        choice: Choice,
        passes: bool,
    },
    Rated {
        daemon: usize,
        version: String,
        passes: bool,
    },
    Note {
        daemon: usize,
        note: Ratings,
    },
    Judged {
        daemon: usize,
        verdict: Verdict,
    },
}

/// Ordered by time, then by number, so that runs are equal.
struct At(Duration, u64, Event);

impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    start: Instant,
    events: BinaryHeap<Reverse<At>>,
    numbers: u64,
    rng: Xoroshiro128PlusPlus,
    answer: Duration,
    gap: Duration,
}

impl Fleet {
    /// `rate` streamed requests a second, each answered after `answer`.
    pub fn new(size: usize, objects: &Objects, rate: u32, answer: Duration, seed: u64) -> Self {
        let daemons = (0..size)
            .map(|i| Daemon::new(i, size, objects.clone(), seed))
            .collect();
        Self {
            daemons,
            start: Instant::now(),
            events: BinaryHeap::new(),
            numbers: 0,
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
            answer,
            gap: Duration::from_secs(1) / rate,
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse(At(at, self.numbers, event)));
    }

    /// Runs to `end`; `truth` says how the answers of `watched` fare, all others pass at its good rate.
    pub fn run(&mut self, watched: &str, truth: Truth, end: Duration) -> Exposure {
        let mut exposure = Exposure::default();
        self.push(Duration::ZERO, Event::Arrive);
        while let Some(Reverse(At(at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            let now = self.start + at;
            match event {
                Event::Arrive => {
                    self.push(at + self.gap, Event::Arrive);
                    let daemon = self.rng.random_range(0..self.daemons.len());
                    let mut req = request(&format!("r-{}", self.numbers));
                    req.streamed = true;
                    let Ok(choice) = self.daemons[daemon].choose(now, &req) else {
                        continue;
                    };
                    let own = &mut self.daemons[daemon];
                    own.router.started(now, &choice);
                    own.trials.started(&choice.version);
                    let watched = choice.version == watched;
                    let bad = watched && at >= truth.turns_bad_at;
                    exposure.before += u32::from(watched && !bad);
                    exposure.after += u32::from(bad);
                    let pass = if bad { truth.bad } else { truth.good };
                    let passes = self.rng.random_bool(pass);
                    let ends = at + self.answer;
                    self.push(
                        ends,
                        Event::End {
                            daemon,
                            choice,
                            passes,
                        },
                    );
                }
                Event::End {
                    daemon,
                    choice,
                    passes,
                } => {
                    let whole = self.answer;
                    let outcome = Outcome::Answered {
                        first_token: whole / 10,
                        whole,
                    };
                    let version = choice.version.to_string();
                    self.daemons[daemon].router.finished(now, &choice, outcome);
                    self.push(
                        at + RATING,
                        Event::Rated {
                            daemon,
                            version,
                            passes,
                        },
                    );
                }
                Event::Rated {
                    daemon,
                    version,
                    passes,
                } => self.rated(at, daemon, &version, passes),
                Event::Note { daemon, note } => self.weigh(at, daemon, &note),
                Event::Judged { daemon, verdict } => {
                    self.daemons[daemon].trials.judged(now, &verdict);
                }
            }
        }
        exposure
    }

    fn rated(&mut self, at: Duration, daemon: usize, version: &str, passed: bool) {
        let note = Ratings::one(subject(version), passed);
        self.daemons[daemon].trials.settled(version);
        self.weigh(at, daemon, &note);
        let own = &mut self.daemons[daemon];
        own.quality.rated(&note.subject, passed);
        let urgent = own.trials.on_trial(version);
        let delay = if urgent { MESSAGE } else { MESSAGE + BATCH };
        for other in (0..self.daemons.len().min(WEIGHING)).filter(|o| *o != daemon) {
            let note = note.clone();
            self.push(
                at + delay,
                Event::Note {
                    daemon: other,
                    note,
                },
            );
        }
    }

    fn weigh(&mut self, at: Duration, daemon: usize, note: &Ratings) {
        let own = &mut self.daemons[daemon];
        let objects = &own.snapshot.objects;
        let now = self.start + at;
        let verdict = own
            .trials
            .rated(now, objects, &own.quality, note, &own.name);
        let Some(verdict) = verdict else {
            return;
        };
        for other in (0..self.daemons.len()).filter(|o| *o != daemon) {
            let verdict = verdict.clone();
            self.push(
                at + MESSAGE,
                Event::Judged {
                    daemon: other,
                    verdict,
                },
            );
        }
    }

    /// The daemons that hold this standing of a version.
    pub fn holding(&self, version: &str, standing: Standing) -> usize {
        let of = |d: &Daemon| d.trials.of(version).map(Trial::standing);
        self.daemons
            .iter()
            .filter(|d| of(d) == Some(standing))
            .count()
    }
}
