//! A discrete-event simulation of a fleet that serves streamed responses and rates them afterwards.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::{
        rollout::{Ratings, Trial, TrustState, Verdict},
        routing::{Choice, Outcome},
    },
    state::objects::Objects,
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoroshiro128PlusPlus;

use super::{Daemon, request, subject};

/// Delay of a message between daemons.
const MESSAGE_DELAY: Duration = Duration::from_millis(20);

/// Number of daemons that receive the ratings of a version.
const RATING_OWNERS: usize = 8;

/// Time for which ratings of trusted versions are batched.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Time from the end of a response to its rating.
const RATING_DELAY: Duration = Duration::from_millis(20);

/// Number of responses of a version before and after it degrades.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    /// Responses started before the degradation.
    pub before: u32,
    /// Responses started after the degradation.
    pub after: u32,
}

/// The true pass rates of a version before and after it degrades.
#[derive(Clone, Copy, Debug)]
pub struct PassRates {
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
    RatingsReceived {
        daemon: usize,
        ratings: Ratings,
    },
    VerdictReceived {
        daemon: usize,
        verdict: Verdict,
    },
}

/// Ordered by time, then by sequence number, so that runs are reproducible.
struct ScheduledEvent(Duration, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    start: Instant,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    rng: Xoroshiro128PlusPlus,
    answer_time: Duration,
    arrival_interval: Duration,
}

impl Fleet {
    /// Creates a fleet with `rate` streamed requests per second, each completed after
    /// `answer_time`.
    pub fn new(
        size: usize,
        objects: &Objects,
        rate: u32,
        answer_time: Duration,
        seed: u64,
    ) -> Self {
        let daemons = (0..size)
            .map(|i| Daemon::new(i, size, objects.clone(), seed))
            .collect();
        Self {
            daemons,
            start: Instant::now(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
            answer_time,
            arrival_interval: Duration::from_secs(1) / rate,
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse(ScheduledEvent(at, self.sequence, event)));
    }

    /// Runs until `end` and measures `watched`, which passes as given by `pass_rates`; others keep
    /// the good rate.
    pub fn run(&mut self, watched: &str, pass_rates: PassRates, end: Duration) -> Exposure {
        let mut exposure = Exposure::default();
        self.push(Duration::ZERO, Event::Arrive);
        while let Some(Reverse(ScheduledEvent(at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            let now = self.start + at;
            match event {
                Event::Arrive => {
                    self.push(at + self.arrival_interval, Event::Arrive);
                    let daemon = self.rng.random_range(0..self.daemons.len());
                    let mut req = request(&format!("r-{}", self.sequence));
                    req.streamed = true;
                    let Ok(choice) = self.daemons[daemon].choose(now, &req) else {
                        continue;
                    };
                    let own = &mut self.daemons[daemon];
                    own.router.started(now, &choice);
                    own.trials.started(&choice.version);
                    let watched = choice.version == watched;
                    let bad = watched && at >= pass_rates.turns_bad_at;
                    exposure.before += u32::from(watched && !bad);
                    exposure.after += u32::from(bad);
                    let pass = if bad { pass_rates.bad } else { pass_rates.good };
                    let passes = self.rng.random_bool(pass);
                    let ends = at + self.answer_time;
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
                    let completion_time = self.answer_time;
                    let outcome = Outcome::Answered {
                        first_token: completion_time / 10,
                        completion_time,
                    };
                    let version = choice.version.to_string();
                    self.daemons[daemon].router.finished(now, &choice, outcome);
                    self.push(
                        at + RATING_DELAY,
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
                Event::RatingsReceived { daemon, ratings } => self.apply(at, daemon, &ratings),
                Event::VerdictReceived { daemon, verdict } => {
                    self.daemons[daemon].trials.apply_verdict(now, &verdict);
                }
            }
        }
        exposure
    }

    fn rated(&mut self, at: Duration, daemon: usize, version: &str, passed: bool) {
        let ratings = Ratings::one(subject(version), passed);
        self.daemons[daemon].trials.settled(version);
        self.apply(at, daemon, &ratings);
        let own = &mut self.daemons[daemon];
        own.quality.rated(&ratings.subject, passed);
        let urgent = own.trials.on_trial(version);
        let delay = if urgent {
            MESSAGE_DELAY
        } else {
            MESSAGE_DELAY + BATCH_DELAY
        };
        for other in (0..self.daemons.len().min(RATING_OWNERS)).filter(|o| *o != daemon) {
            let ratings = ratings.clone();
            self.push(
                at + delay,
                Event::RatingsReceived {
                    daemon: other,
                    ratings,
                },
            );
        }
    }

    fn apply(&mut self, at: Duration, daemon: usize, ratings: &Ratings) {
        let own = &mut self.daemons[daemon];
        let objects = &own.snapshot.objects;
        let now = self.start + at;
        let verdict = own
            .trials
            .rated(now, objects, &own.quality, ratings, &own.name);
        let Some(verdict) = verdict else {
            return;
        };
        for other in (0..self.daemons.len()).filter(|o| *o != daemon) {
            let verdict = verdict.clone();
            self.push(
                at + MESSAGE_DELAY,
                Event::VerdictReceived {
                    daemon: other,
                    verdict,
                },
            );
        }
    }

    /// Number of daemons on which a version is in the given trust state.
    pub fn count_in_state(&self, version: &str, trust_state: TrustState) -> usize {
        let of = |d: &Daemon| d.trials.of(version).map(Trial::trust_state);
        self.daemons
            .iter()
            .filter(|d| of(d) == Some(trust_state))
            .count()
    }
}
