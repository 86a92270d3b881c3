//! The sequential test of a version's ratings against what is expected of it.

/// The evidence at which a version is judged bad, as a logarithm of odds.
const DECISION_THRESHOLD: f64 = 9.0;

/// The part of the expected pass probability that a plainly bad version keeps.
const SEVERE_DEGRADATION_FACTOR: f64 = 0.5;

/// How far below the expected pass probability a slightly bad version lies.
const MILD_DEGRADATION_GAP: f64 = 0.12;

/// The bounds of the expected pass probability within which the test works.
const MIN_EXPECTED: f64 = 0.2;
const MAX_EXPECTED: f64 = 0.9;

/// What is expected of an answer, had the version not turned bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// The pass probability, on the low side of what is known.
    pub pass_probability: f64,
}

/// Cumulative sums of log-likelihood ratios, for a plainly and for a slightly worse version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    severe: f64,
    mild: f64,
}

impl Evidence {
    /// Takes in one rating.
    pub fn add(&mut self, passed: bool, baseline: Baseline) {
        let expected = baseline.pass_probability.clamp(MIN_EXPECTED, MAX_EXPECTED);
        let severe = log_likelihood_ratio(passed, expected, expected * SEVERE_DEGRADATION_FACTOR);
        let mild = log_likelihood_ratio(
            passed,
            expected,
            (expected - MILD_DEGRADATION_GAP).max(0.01),
        );
        self.severe = (self.severe + severe).clamp(0.0, DECISION_THRESHOLD);
        self.mild = (self.mild + mild).clamp(0.0, DECISION_THRESHOLD);
    }

    /// Whether the version is judged plainly bad.
    pub fn severely_degraded(&self) -> bool {
        self.severe >= DECISION_THRESHOLD
    }

    /// Whether the version is judged worse than expected, plainly or slightly.
    pub fn degraded(&self) -> bool {
        self.severely_degraded() || self.mild >= DECISION_THRESHOLD
    }

    /// How near the version is to being judged plainly bad, from 0 to 1.
    pub fn suspicion(&self) -> f64 {
        self.severe / DECISION_THRESHOLD
    }
}

fn log_likelihood_ratio(passed: bool, expected: f64, degraded: f64) -> f64 {
    if passed {
        (degraded / expected).ln()
    } else {
        ((1.0 - degraded) / (1.0 - expected)).ln()
    }
}
