//! Estimates the prefill speed of models from the time to first event.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;

/// Part of the time to first event that does not depend on the prompt.
pub(super) const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(60);
/// Prefill time per token until a measurement exists.
const DEFAULT_TIME_PER_TOKEN: Duration = Duration::from_micros(15);
/// Weight of the latest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Minimum and maximum correction factor of a single sample.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);

/// Prefill time per token, by model.
#[derive(Clone, Debug, Default)]
pub struct PrefillSpeeds {
    per_token: HashMap<CompactString, Duration>,
}

impl PrefillSpeeds {
    /// Returns the prefill time of `tokens` for a model.
    pub fn prefill_time(&self, model: &str, tokens: u32) -> Duration {
        self.per_token
            .get(model)
            .copied()
            .unwrap_or(DEFAULT_TIME_PER_TOKEN)
            * tokens
    }

    /// Records that a prefill expected to take `expected` took `took`, including the overhead of
    /// the first event.
    pub fn record(&mut self, model: &str, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let took = took.saturating_sub(FIRST_EVENT_OVERHEAD);
        let factor = took.as_secs_f64() / expected.as_secs_f64();
        let factor = factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        let per_token = self
            .per_token
            .entry(model.into())
            .or_insert(DEFAULT_TIME_PER_TOKEN);
        *per_token = per_token.mul_f64(1.0 + (factor - 1.0) * SAMPLE_WEIGHT);
    }
}
