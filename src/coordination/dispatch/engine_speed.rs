//! Estimates how fast single engines are compared to the others of their service.
//!
//! Load pattern: engines of one service differ in speed by a factor of two or more, and some are
//! slow for a while. If all were expected to take the same time, the slow ones would collect a
//! backlog while the fast ones are idle. The time between two events of a stream shows the speed of
//! its engine, whatever the length of the prompts before it.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;

/// Assumed number of tokens in an event.
const TOKENS_PER_EVENT: u32 = 4;
/// Weight of the latest stream in the average pace of a model.
const MODEL_WEIGHT: f64 = 0.05;
/// Minimum weight of the latest stream in the slowness of an engine; the first streams weigh more.
const MIN_ENGINE_WEIGHT: f64 = 0.1;
/// Number of streams that the initial slowness of 1 counts for.
const PRIOR_STREAMS: u32 = 2;
/// Minimum and maximum slowness of an engine, so that a few streams have a bounded effect.
const SLOWNESS_RANGE: (f64, f64) = (0.4, 2.5);

/// Average time between events by model, over the engines that this daemon uses.
#[derive(Debug, Default)]
pub struct ModelPaces(HashMap<CompactString, Duration>);

impl ModelPaces {
    /// Returns the expected time to stream that many tokens.
    pub fn decode_time(&self, model: &str, tokens: u32) -> Duration {
        let per_event = self.0.get(model).copied().unwrap_or_default();
        per_event * tokens / TOKENS_PER_EVENT
    }

    /// Records the time between events of a stream; returns its ratio to the model's average.
    pub fn record(&mut self, model: &str, per_event: Duration) -> f64 {
        let average = self.0.entry(model.into()).or_insert(per_event);
        let ratio = per_event.as_secs_f64() / average.as_secs_f64().max(f64::EPSILON);
        *average = average.mul_f64(1.0 - MODEL_WEIGHT) + per_event.mul_f64(MODEL_WEIGHT);
        ratio
    }
}

/// How much longer than the average an engine takes for the same work.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    ratio: f64,
    streams: u32,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            streams: PRIOR_STREAMS,
        }
    }
}

impl Slowness {
    /// Returns the ratio to the average; above 1 for slow engines.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Records the ratio of one stream's time between events to the average of its model.
    pub fn record(&mut self, ratio: f64) {
        self.streams = self.streams.saturating_add(1);
        let weight = (1.0 / f64::from(self.streams)).max(MIN_ENGINE_WEIGHT);
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.ratio += (ratio - self.ratio) * weight;
    }
}
