//! Estimates the prefill speed of models from the time to first event.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;

/// Part of the time to first event that does not depend on the prompt.
pub(super) const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(60);
/// Prefill time per token until a measurement exists.
const DEFAULT_TIME_PER_TOKEN: Duration = Duration::from_micros(15);
/// Minimum weight of the latest sample in the moving average; the first samples weigh more, as a daemon
/// of a large fleet sees few.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Minimum and maximum correction factor of a single sample.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);

/// Prefill time per token, by model.
#[derive(Clone, Debug, Default)]
pub struct PrefillSpeeds {
    models: HashMap<CompactString, ModelSpeed>,
}

#[derive(Clone, Copy, Debug)]
struct ModelSpeed {
    per_token: Duration,
    samples: u32,
}

impl PrefillSpeeds {
    /// Returns the prefill time of `tokens` for a model.
    pub fn prefill_time(&self, model: &str, tokens: u32) -> Duration {
        self.models
            .get(model)
            .map_or(DEFAULT_TIME_PER_TOKEN, |speed| speed.per_token)
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
        let speed = self.models.entry(model.into()).or_insert(ModelSpeed {
            per_token: DEFAULT_TIME_PER_TOKEN,
            samples: 0,
        });
        speed.samples = speed.samples.saturating_add(1);
        let weight = (1.0 / f64::from(speed.samples)).max(MIN_SAMPLE_WEIGHT);
        speed.per_token = speed.per_token.mul_f64(1.0 + (factor - 1.0) * weight);
    }
}
