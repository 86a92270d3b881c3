//! Evidence for and against a new version, in comparison with the old one.
//!
//! A version may fail, be slow, or be bad on a single route only. Each kind of evidence is compared
//! with that of the old version over the same time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{pace::PaceHistogram, rollout::Arm};

/// Minimum number of failures to classify a version as faulty over all routes.
const MIN_FAILURES: u32 = 4;
/// Minimum number of failures to classify a version as faulty on one route.
const MIN_FAILURES_ON_ROUTE: u32 = 3;
/// How much the failure rate of a faulty version exceeds that of the old version.
const FAILURE_MARGIN: f64 = 0.08;
/// The same on one route.
const FAILURE_MARGIN_ON_ROUTE: f64 = 0.2;
/// Minimum number of slow responses to classify a version as faulty.
const MIN_SLOW: u32 = 5;
/// How much the rate of slow responses of a faulty version exceeds that of the old version.
const SLOW_MARGIN: f64 = 0.12;
/// Minimum number of streams of each version for comparing their paces.
const MIN_PACED_STREAMS: u32 = 8;
/// Ratio between the fastest paces of a slow version and of the old version.
const SLOW_PACE_FACTOR: f64 = 2.2;

/// Responses of one arm on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Total number of responses.
    pub answers: u32,
    /// Number of failures.
    pub bad: u32,
    /// Number of responses with a known time to first event, including abandoned waits that were
    /// slow.
    pub begun: u32,
    /// Number of responses whose first event was late.
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
        // Another daemon chooses these numbers.
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
        self.begun = self.begun.saturating_add(other.begun);
        self.slow = self.slow.saturating_add(other.slow);
    }

    fn slow_ratio(self) -> BadRatio {
        BadRatio {
            bad: self.slow,
            all: self.begun,
        }
    }
}

/// Number of bad responses out of all responses.
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

/// Responses of both arms by route, as seen by one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Responses of the old version, by the hash of the route's name.
    pub old: BTreeMap<u32, Tally>,
    /// Responses of the new version, by the hash of the route's name.
    pub new: BTreeMap<u32, Tally>,
    /// Pace of the old version's streams.
    pub old_pace: PaceHistogram,
    /// Pace of the new version's streams.
    pub new_pace: PaceHistogram,
    /// Requests that currently run on the old version.
    pub running_old: u32,
}

impl Evidence {
    /// Returns the counts of an arm on a route.
    pub fn tally(&mut self, arm: Arm, route: u32) -> &mut Tally {
        let tallies = match arm {
            Arm::Old => &mut self.old,
            Arm::New => &mut self.new,
        };
        tallies.entry(route).or_default()
    }

    /// Adds the evidence of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (arm, tallies) in [(Arm::Old, &other.old), (Arm::New, &other.new)] {
            for (route, tally) in tallies {
                self.tally(arm, *route).add(*tally);
            }
        }
        self.old_pace.add(&other.old_pace);
        self.new_pace.add(&other.new_pace);
        self.running_old = self.running_old.saturating_add(other.running_old);
    }

    /// Returns whether the evidence shows that the new version is faulty.
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

    /// Formats the evidence for the log: by route, failures per response and slow responses per
    /// started response; then the fastest paces.
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

/// Returns whether the new version has enough bad responses, and a much higher rate of them than
/// the old version.
fn is_significantly_worse(old: BadRatio, new: BadRatio, min_bad: u32, margin: f64) -> bool {
    new.bad >= min_bad && new.rate() >= old.rate() + margin
}
