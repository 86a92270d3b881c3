//! How long admitted requests take, from which waits are predicted.

use std::time::Duration;

/// The weight of the newest time in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

/// How many mean deviations above the mean most requests end.
const DEVIATIONS: f64 = 3.0;

/// The time assumed before any is known.
const INITIAL_MEAN: Duration = Duration::from_millis(100);

/// The moving average of the time for which a request holds its place.
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

    /// A time within which most requests end.
    pub(super) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }

    /// The time in which `places` let `ahead` requests pass, of which a `share` is one's own.
    pub(super) fn wait(&self, ahead: usize, max_running: u32, share: f64) -> Duration {
        let rate = f64::from(max_running.max(1)) * share / self.mean_s.max(1e-4);
        Duration::from_secs_f64((ahead as f64 / rate).min(3_600.0))
    }
}
