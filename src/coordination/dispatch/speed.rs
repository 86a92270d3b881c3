//! How fast models read prompts, learnt from the times to the first event.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;

/// The part of the time to the first event that does not depend on the prompt.
pub(super) const FIRST_EVENT_TIME: Duration = Duration::from_millis(60);
/// The time to read a token before anything was learnt.
const FIRST_GUESS: Duration = Duration::from_micros(15);
/// The weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.05;
/// The least and the greatest factor that one observation may suggest.
const FACTORS: (f64, f64) = (0.25, 4.0);

/// The time to read a token, by model.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    per_token: HashMap<CompactString, Duration>,
}

impl Speeds {
    /// The time in which a model reads `tokens`.
    pub fn reading(&self, model: &str, tokens: u32) -> Duration {
        self.per_token.get(model).copied().unwrap_or(FIRST_GUESS) * tokens
    }

    /// Notes that a wait expected to take `expected` took `took`.
    pub fn note(&mut self, model: &str, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let took = took.saturating_sub(FIRST_EVENT_TIME);
        let factor = took.as_secs_f64() / expected.as_secs_f64();
        let factor = factor.clamp(FACTORS.0, FACTORS.1);
        let per_token = self.per_token.entry(model.into()).or_insert(FIRST_GUESS);
        *per_token = per_token.mul_f64(1.0 + (factor - 1.0) * NEWEST_WEIGHT);
    }
}
