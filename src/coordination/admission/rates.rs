//! How long admitted requests take, from which waits are predicted.

use std::time::Duration;

/// The weight of the newest time in the moving average.
const WEIGHT: f64 = 0.05;

/// How many mean deviations above the mean most requests end.
const DEVIATIONS: f64 = 3.0;

/// The time assumed before any is known.
const PRIOR: Duration = Duration::from_millis(100);

/// The moving average of the time for which a request holds its place.
#[derive(Clone, Copy, Debug)]
pub(super) struct HoldTime {
    mean_s: f64,
    deviation_s: f64,
    known: bool,
}

impl Default for HoldTime {
    fn default() -> Self {
        Self {
            mean_s: PRIOR.as_secs_f64(),
            deviation_s: 0.0,
            known: false,
        }
    }
}

impl HoldTime {
    pub(super) fn add(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        if self.known {
            let off = held - self.mean_s;
            self.mean_s += WEIGHT * off;
            self.deviation_s += WEIGHT * (off.abs() - self.deviation_s);
        } else {
            self.mean_s = held;
            self.known = true;
        }
    }

    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// A time within which most requests end.
    pub(super) fn high(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }

    /// The time in which `places` let `ahead` requests pass, of which a `share` is one's own.
    pub(super) fn wait(&self, ahead: usize, places: u32, share: f64) -> Duration {
        let rate = f64::from(places.max(1)) * share / self.mean_s.max(1e-4);
        Duration::from_secs_f64((ahead as f64 / rate).min(3_600.0))
    }
}
