//! Detects that this process did not run for a while, so that what it knows of the others is old.

use std::time::{Duration, Instant};

/// Time between two ticks after which the process was paused; it ticks several times a second.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which the other daemons are heard again, several heartbeats long.
const CATCH_UP_TIME: Duration = Duration::from_millis(750);

/// The pauses of this process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pauses {
    ticked_at: Option<Instant>,
    /// When the newest pause began: the last tick before it.
    began_at: Option<Instant>,
    resumed_at: Option<Instant>,
    /// Length of the newest pause until it is taken.
    newest: Option<Duration>,
}

impl Pauses {
    /// Records that the process runs.
    pub(super) fn tick(&mut self, now: Instant) {
        if self.is_paused(now) {
            self.began_at = self.ticked_at;
            self.resumed_at = Some(now);
            self.newest = self.ticked_at.map(|at| now.saturating_duration_since(at));
        }
        self.ticked_at = Some(now);
    }

    /// Returns the earliest time at which a request that is read now may have been sent: during a pause, requests
    /// wait in the sockets.
    pub(super) fn earliest_send(&self, now: Instant) -> Instant {
        let began_at = match self.is_paused(now) {
            true => self.ticked_at,
            false => self.began_at,
        };
        began_at.filter(|_| !self.is_over(now)).unwrap_or(now)
    }

    /// Returns the length of the newest pause, once.
    pub(super) fn take_newest(&mut self) -> Option<Duration> {
        self.newest.take()
    }

    /// Returns whether the process has run long enough since its last pause to know of the others.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CATCH_UP_TIME;
        !self.is_paused(now) && !self.resumed_at.is_some_and(is_recent)
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.ticked_at
            .is_some_and(|at| now.saturating_duration_since(at) >= MIN_PAUSE)
    }
}
