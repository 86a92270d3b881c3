//! Measures how long prompts wait for an engine before their prefill begins.
//!
//! Estimates of single engines add up what daemons were told and err on the high side under load.
//! The delay of recent responses is what requests really experienced.

use std::time::Duration;

use crate::coordination::dispatch::prefill_speed::FIRST_EVENT_OVERHEAD;

/// Weight of the latest response.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Moving average of the delay of recent prompts of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillDelay {
    average: Option<Duration>,
}

impl PrefillDelay {
    /// Records that the first event of a prompt with this prefill time arrived after `took`.
    pub fn record(&mut self, prefill_time: Duration, took: Duration) {
        let delay = took.saturating_sub(prefill_time + FIRST_EVENT_OVERHEAD);
        let average = self.average.unwrap_or(delay);
        self.average = Some(average.mul_f64(1.0 - SAMPLE_WEIGHT) + delay.mul_f64(SAMPLE_WEIGHT));
    }

    /// Returns the average delay; absent before the first response.
    pub fn average(&self) -> Option<Duration> {
        self.average
    }
}
