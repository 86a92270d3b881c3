//! A sequential test of a version's ratings against its expected pass probability.

/// Log-likelihood ratio from which a version is classified as degraded.
const DECISION_THRESHOLD: f64 = 9.0;

/// Pass probability of a severely degraded version as a fraction of the expected one.
const SEVERE_DEGRADATION_FACTOR: f64 = 0.5;

/// Gap between the expected pass probability and that of a mildly degraded version.
const MILD_DEGRADATION_GAP: f64 = 0.12;

/// Bounds to which the expected pass probability is clamped, as the test needs values between.
const MIN_EXPECTED: f64 = 0.2;
const MAX_EXPECTED: f64 = 0.9;

/// The expectation for a version that has not degraded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// A conservative (low) estimate of the pass probability.
    pub pass_probability: f64,
}

/// Cumulative sums of log-likelihood ratios for a severe and a mild degradation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    severe: f64,
    mild: f64,
}

impl Evidence {
    /// Adds one rating.
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

    /// Whether the version is classified as severely degraded.
    pub fn severely_degraded(&self) -> bool {
        self.severe >= DECISION_THRESHOLD
    }

    /// Whether the version is classified as degraded, severely or mildly.
    pub fn degraded(&self) -> bool {
        self.severely_degraded() || self.mild >= DECISION_THRESHOLD
    }

    /// Progress towards the threshold for severe degradation, from 0 to 1.
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
