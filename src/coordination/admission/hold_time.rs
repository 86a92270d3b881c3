//! Time for which requests hold their slots, used to predict queueing delays.

use std::time::Duration;

/// Weight of the newest sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Distance of the upper bound from the mean, in mean deviations.
const DEVIATIONS: f64 = 3.0;

/// Hold time assumed before the first sample.
const INITIAL_MEAN: Duration = Duration::from_millis(100);

/// Moving average of the time for which a request holds its slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct HoldTime {
    mean_s: f64,
    deviation_s: f64,
    initialized: bool,
}

impl Default for HoldTime {
    fn default() -> Self {
        Self {
            mean_s: INITIAL_MEAN.as_secs_f64(),
            deviation_s: 0.0,
            initialized: false,
        }
    }
}

impl HoldTime {
    pub(super) fn add(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        if self.initialized {
            let difference = held - self.mean_s;
            self.mean_s += SMOOTHING_FACTOR * difference;
            self.deviation_s += SMOOTHING_FACTOR * (difference.abs() - self.deviation_s);
        } else {
            self.mean_s = held;
            self.initialized = true;
        }
    }

    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns a time within which most requests release their slots.
    pub(super) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }

    /// Returns the expected time to serve `ahead` requests with a `share` of `max_running` slots.
    pub(super) fn wait(&self, ahead: usize, max_running: u32, share: f64) -> Duration {
        let rate = f64::from(max_running.max(1)) * share / self.mean_s.max(1e-4);
        Duration::from_secs_f64((ahead as f64 / rate).min(3_600.0))
    }
}
