//! The table's monotonic clock, as far as this daemon knows it.

use std::time::{Duration, Instant};

/// The last reading of the table's clock.
#[derive(Clone, Copy, Debug)]
pub struct TableClock {
    reading: Duration,
    read_at: Instant,
}

impl TableClock {
    /// Creates the clock from a reading that arrived at `read_at`.
    pub fn new(reading: Duration, read_at: Instant) -> Self {
        Self { reading, read_at }
    }

    /// Estimates the table's time at `now`.
    pub fn at(&self, now: Instant) -> Duration {
        self.reading + now.saturating_duration_since(self.read_at)
    }
}
