//! Estimates the probability that a version's response is good enough, by rule and request class.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use derive_more::Display;
use platform_api::engine::ChatRequest;
use serde::{Deserialize, Serialize};

use crate::state::objects::{RuleName, VersionName};

/// Weight of the prior, in ratings.
const PRIOR_WEIGHT: f64 = 6.0;

/// Slope of the prior pass probability over the gap between prior and target quality.
const PRIOR_SLOPE: f64 = 10.0;

/// Number of ratings above which old ones lose weight as new ones arrive.
const WINDOW_RATINGS: f64 = 300.0;

/// Half-life of a rating's weight.
const HALF_LIFE: Duration = Duration::from_secs(600);

/// Maximum number of (rule, version) pairs tracked.
const MAX_PAIRS: usize = 1_024;

/// Maximum number of deltas in one message.
pub const MAX_DELTAS: usize = 10;

/// Classes of requests by prompt length, with a separate pass probability for each.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RequestClass {
    /// A prompt of one or two lines.
    Brief,
    /// A prompt of a paragraph.
    Short,
    /// A prompt of a page.
    Long,
    /// A longer prompt.
    Huge,
}

impl RequestClass {
    /// The number of classes.
    pub const COUNT: usize = 4;

    const BRIEF_BYTES: usize = 200;
    const SHORT_BYTES: usize = 1_000;
    const LONG_BYTES: usize = 4_000;

    /// Returns the class of a request.
    pub fn of(req: &ChatRequest) -> Self {
        Self::of_length(req.messages.iter().map(|m| m.content.len()).sum())
    }

    /// Returns the class of a prompt of this length.
    pub fn of_length(prompt_bytes: usize) -> Self {
        if prompt_bytes <= Self::BRIEF_BYTES {
            Self::Brief
        } else if prompt_bytes <= Self::SHORT_BYTES {
            Self::Short
        } else if prompt_bytes <= Self::LONG_BYTES {
            Self::Long
        } else {
            Self::Huge
        }
    }

    /// Returns the class's index in an array over all classes.
    pub fn index(self) -> usize {
        match self {
            Self::Brief => 0,
            Self::Short => 1,
            Self::Long => 2,
            Self::Huge => 3,
        }
    }
}

/// The rule, version and request class of a pass probability.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The rule, which sets the target quality.
    pub rule: RuleName,
    /// The version.
    pub version: VersionName,
    /// The request class.
    pub class: RequestClass,
}

/// Ratings counted since the last message to peers, for one subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// What was rated.
    pub subject: Subject,
    /// Number of responses that were good enough.
    pub passed: u32,
    /// Number of responses rated.
    pub rated: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    passed: f64,
    rated: f64,
}

impl Counts {
    fn add(&mut self, passed: f64, rated: f64) {
        self.passed += passed;
        self.rated += rated;
        if self.rated > WINDOW_RATINGS {
            self.scale(WINDOW_RATINGS / self.rated);
        }
    }

    fn scale(&mut self, by: f64) {
        self.passed *= by;
        self.rated *= by;
    }
}

type ByVersion = HashMap<VersionName, [Counts; RequestClass::COUNT]>;

/// The rating counts of one daemon: its own ratings and those received from peers.
#[derive(Debug, Default)]
pub struct Quality {
    rules: HashMap<RuleName, ByVersion>,
    pairs: usize,
    unsent: BTreeMap<Subject, UnsentCounts>,
    decayed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct UnsentCounts {
    passed: u32,
    rated: u32,
}

/// A pass probability with its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The expected pass probability.
    pub mean: f64,
    /// Two standard deviations below it.
    pub low: f64,
    /// One standard deviation above it.
    pub high: f64,
    /// Total weight of the ratings, after decay.
    pub ratings: f64,
}

impl Estimate {
    /// The estimate for a version that is expected to fail.
    pub const ZERO: Self = Self {
        mean: 0.0,
        low: 0.0,
        high: 0.0,
        ratings: 0.0,
    };

    /// Returns the estimate with halved probabilities, for a version under suspicion.
    pub fn halved(self) -> Self {
        Self {
            mean: self.mean / 2.0,
            low: self.low / 2.0,
            high: self.high / 2.0,
            ratings: self.ratings,
        }
    }
}

/// The rating counts of one rule.
#[derive(Clone, Copy, Debug)]
pub struct RuleEstimates<'a>(Option<&'a ByVersion>);

impl RuleEstimates<'_> {
    /// Estimates the pass probability of a version for a request class.
    pub fn estimate(
        &self,
        version: &str,
        class: RequestClass,
        prior_quality: f64,
        target_quality: f64,
    ) -> Estimate {
        let counts = self.counts(version, class);
        let prior = prior_pass_probability(prior_quality, target_quality);
        let weight = PRIOR_WEIGHT + counts.rated;
        let mean = (PRIOR_WEIGHT * prior + counts.passed) / weight;
        let deviation = (mean * (1.0 - mean) / (weight + 1.0)).sqrt();
        Estimate {
            mean,
            low: mean - 2.0 * deviation,
            high: (mean + deviation).min(1.0),
            ratings: counts.rated,
        }
    }

    fn counts(&self, version: &str, class: RequestClass) -> Counts {
        let by_class = self.0.and_then(|versions| versions.get(version));
        by_class.map_or_else(Counts::default, |counts| counts[class.index()])
    }
}

impl Quality {
    /// The rating counts of one rule.
    pub fn of(&self, rule: &str) -> RuleEstimates<'_> {
        RuleEstimates(self.rules.get(rule))
    }

    /// Records a rating of one of this daemon's responses.
    pub fn rated(&mut self, subject: &Subject, passed: bool) {
        self.add(subject, f64::from(u8::from(passed)), 1.0);
        let full = self.unsent.len() >= MAX_PAIRS;
        if full && !self.unsent.contains_key(subject) {
            return;
        }
        let unsent = self.unsent.entry(subject.clone()).or_default();
        unsent.passed = unsent.passed.saturating_add(u32::from(passed));
        unsent.rated = unsent.rated.saturating_add(1);
    }

    /// Adds the counts of a peer; implausible counts are clamped.
    pub fn merge(&mut self, deltas: &[Delta]) {
        for delta in deltas.iter().take(MAX_DELTAS) {
            let rated = f64::from(delta.rated).min(WINDOW_RATINGS);
            let share = f64::from(delta.passed.min(delta.rated)) / f64::from(delta.rated.max(1));
            self.add(&delta.subject, rated * share, rated);
        }
    }

    /// Removes and returns up to [`MAX_DELTAS`] unsent counts, largest first.
    pub fn take_deltas(&mut self) -> Vec<Delta> {
        let mut deltas: Vec<_> = self
            .unsent
            .iter()
            .map(|(subject, counts)| Delta {
                subject: subject.clone(),
                passed: counts.passed,
                rated: counts.rated,
            })
            .collect();
        deltas.sort_by_key(|delta| std::cmp::Reverse(delta.rated));
        deltas.truncate(MAX_DELTAS);
        for delta in &deltas {
            self.unsent.remove(&delta.subject);
        }
        deltas
    }

    /// Decays the weight of old ratings.
    pub fn tick(&mut self, now: Instant) {
        let Some(at) = self.decayed_at.replace(now) else {
            return;
        };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        for counts in self.rules.values_mut().flat_map(HashMap::values_mut) {
            counts.iter_mut().for_each(|c| c.scale(factor));
        }
    }

    /// Evicts rules and versions that are no longer in the configuration.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&str, &str) -> bool) {
        for (rule, versions) in &mut self.rules {
            versions.retain(|version, _| is_configured(rule, version));
        }
        self.rules.retain(|_, versions| !versions.is_empty());
        self.pairs = self.rules.values().map(HashMap::len).sum();
        self.unsent
            .retain(|s, _| is_configured(&s.rule, &s.version));
    }

    fn add(&mut self, subject: &Subject, passed: f64, rated: f64) {
        let known = self
            .rules
            .get(&subject.rule)
            .is_some_and(|versions| versions.contains_key(&subject.version));
        if !known {
            if self.pairs >= MAX_PAIRS {
                return;
            }
            self.pairs += 1;
        }
        let versions = self.rules.entry(subject.rule.clone()).or_default();
        let counts = versions.entry(subject.version.clone()).or_default();
        counts[subject.class.index()].add(passed, rated);
    }
}

/// Returns the pass probability assumed for a version before any rating.
pub fn prior_pass_probability(prior_quality: f64, target_quality: f64) -> f64 {
    1.0 / (1.0 + (-PRIOR_SLOPE * (prior_quality - target_quality)).exp())
}
