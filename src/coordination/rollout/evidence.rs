//! The sequential test of a version's ratings against what is expected of it.

/// The evidence at which a version is judged bad, as a logarithm of odds.
const THRESHOLD: f64 = 9.0;

/// The part of the expected pass probability that a plainly bad version keeps.
const PLAINLY_BAD_FACTOR: f64 = 0.5;

/// How far below the expected pass probability a slightly bad version lies.
const SLIGHTLY_BAD_GAP: f64 = 0.12;

/// The bounds of the expected pass probability within which the test works.
const MIN_EXPECTED: f64 = 0.2;
const MAX_EXPECTED: f64 = 0.9;

/// What is expected of an answer, had the version not turned bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// The pass probability, on the low side of what is known.
    pub pass: f64,
}

/// Cumulative sums of log-likelihood ratios, for a plainly and for a slightly worse version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    plain: f64,
    slight: f64,
}

impl Evidence {
    /// Takes in one rating.
    pub fn add(&mut self, passed: bool, baseline: Baseline) {
        let expected = baseline.pass.clamp(MIN_EXPECTED, MAX_EXPECTED);
        let plain = ratio(passed, expected, expected * PLAINLY_BAD_FACTOR);
        let slight = ratio(passed, expected, (expected - SLIGHTLY_BAD_GAP).max(0.01));
        self.plain = (self.plain + plain).clamp(0.0, THRESHOLD);
        self.slight = (self.slight + slight).clamp(0.0, THRESHOLD);
    }

    /// Whether the version is judged plainly bad.
    pub fn plainly_bad(&self) -> bool {
        self.plain >= THRESHOLD
    }

    /// Whether the version is judged worse than expected, plainly or slightly.
    pub fn worse(&self) -> bool {
        self.plainly_bad() || self.slight >= THRESHOLD
    }

    /// How near the version is to being judged plainly bad, from 0 to 1.
    pub fn suspicion(&self) -> f64 {
        self.plain / THRESHOLD
    }
}

fn ratio(passed: bool, expected: f64, worse: f64) -> f64 {
    if passed {
        (worse / expected).ln()
    } else {
        ((1.0 - worse) / (1.0 - expected)).ln()
    }
}
