//! What speaks for and against a version that is brought in, beside the version before it.
//!
//! Answers the load pattern of a version that fails, is slow, or is bad on one route only: each kind
//! of evidence is compared with the old version's in the same time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{pace::PaceHistogram, rollout::Arm};

/// The failures that are needed to judge a version on all routes.
const MIN_FAILURES: u32 = 4;
/// The failures that are needed to judge a version on one route.
const MIN_FAILURES_ON_ROUTE: u32 = 3;
/// How much greater the failure rate of a bad version is than that of the old one.
const FAILURE_MARGIN: f64 = 0.08;
/// The same on one route.
const FAILURE_MARGIN_ON_ROUTE: f64 = 0.2;
/// The slow answers that are needed to judge a version.
const MIN_SLOW: u32 = 5;
/// How much greater the part of slow answers of a bad version is than that of the old one.
const SLOW_MARGIN: f64 = 0.12;
/// The streams of each version that are needed to judge the new one by its pace.
const MIN_PACED_STREAMS: u32 = 8;
/// How many times slower a slow version's fastest streams are than the old version's.
const SLOW_PACE_FACTOR: f64 = 2.2;

/// Answers of one arm on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers, good or bad.
    pub answers: u32,
    /// Failures.
    pub bad: u32,
    /// Answers that began.
    pub begun: u32,
    /// Answers that began late for what they were.
    pub slow: u32,
}

impl Tally {
    fn failure_ratio(self) -> BadRatio {
        BadRatio {
            bad: self.bad,
            all: self.answers,
        }
    }

    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.begun += other.begun;
        self.slow += other.slow;
    }

    fn slow_ratio(self) -> BadRatio {
        BadRatio {
            bad: self.slow,
            all: self.begun,
        }
    }
}

/// The bad ones among a number of answers.
#[derive(Clone, Copy, Debug)]
struct BadRatio {
    bad: u32,
    all: u32,
}

impl BadRatio {
    fn rate(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }
}

/// One daemon's answers of both arms by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The old version's, by the hash of the route's name.
    pub old: BTreeMap<u32, Tally>,
    /// The new version's.
    pub new: BTreeMap<u32, Tally>,
    /// The pace of the old version's streams.
    pub old_pace: PaceHistogram,
    /// The pace of the new version's streams.
    pub new_pace: PaceHistogram,
    /// Requests that run on the old version now.
    pub running_old: u32,
}

impl Evidence {
    /// The answers of an arm on a route.
    pub fn tally(&mut self, arm: Arm, route: u32) -> &mut Tally {
        let tallies = match arm {
            Arm::Old => &mut self.old,
            Arm::New => &mut self.new,
        };
        tallies.entry(route).or_default()
    }

    /// Adds what another daemon has seen.
    pub fn add(&mut self, other: &Self) {
        for (arm, tallies) in [(Arm::Old, &other.old), (Arm::New, &other.new)] {
            for (route, tally) in tallies {
                self.tally(arm, *route).add(*tally);
            }
        }
        self.old_pace.add(&other.old_pace);
        self.new_pace.add(&other.new_pace);
        self.running_old += other.running_old;
    }

    /// Whether it condemns the new version.
    pub fn is_new_version_faulty(&self) -> bool {
        let (old, new) = (total(&self.old), total(&self.new));
        is_significantly_worse(
            old.failure_ratio(),
            new.failure_ratio(),
            MIN_FAILURES,
            FAILURE_MARGIN,
        ) || is_significantly_worse(old.slow_ratio(), new.slow_ratio(), MIN_SLOW, SLOW_MARGIN)
            || self.is_slow_paced()
            || self.is_bad_on_any_route()
    }

    /// By route, for the log: failures of answers, late ones of those that began, and the paces of
    /// streams.
    pub fn summary(&self) -> String {
        let (old, new) = (format_tallies(&self.old), format_tallies(&self.new));
        let (old_pace, new_pace) = (format_pace(&self.old_pace), format_pace(&self.new_pace));
        format!("old={old} new={new} old_event_ms={old_pace} new_event_ms={new_pace}")
    }

    fn is_slow_paced(&self) -> bool {
        if self.old_pace.total().min(self.new_pace.total()) < MIN_PACED_STREAMS {
            return false;
        }
        match (self.old_pace.fastest(), self.new_pace.fastest()) {
            (Some(old), Some(new)) => new >= old.mul_f64(SLOW_PACE_FACTOR),
            _ => false,
        }
    }

    fn is_bad_on_any_route(&self) -> bool {
        self.new.iter().any(|(route, tally)| {
            let before = self.old.get(route).copied().unwrap_or_default();
            is_significantly_worse(
                before.failure_ratio(),
                tally.failure_ratio(),
                MIN_FAILURES_ON_ROUTE,
                FAILURE_MARGIN_ON_ROUTE,
            )
        })
    }
}

fn total(tallies: &BTreeMap<u32, Tally>) -> Tally {
    let mut sum = Tally::default();
    for tally in tallies.values() {
        sum.add(*tally);
    }
    sum
}

fn format_tallies(tallies: &BTreeMap<u32, Tally>) -> String {
    let entries: Vec<String> = tallies
        .iter()
        .map(|(route, tally)| {
            format!(
                "{route:08x}:{}/{}+{}/{}",
                tally.bad, tally.answers, tally.slow, tally.begun
            )
        })
        .collect();
    entries.join(",")
}

fn format_pace(histogram: &PaceHistogram) -> String {
    let fastest = histogram.fastest().unwrap_or_default().as_millis();
    format!("{fastest}/{}", histogram.total())
}

/// Whether a new version has enough bad cases, and a much greater part of them than the old one.
fn is_significantly_worse(old: BadRatio, new: BadRatio, min_bad: u32, margin: f64) -> bool {
    new.bad >= min_bad && new.rate() >= old.rate() + margin
}
