//! Slots that this daemon has just released on an upstream of a full service.
//!
//! Load pattern: what daemons know of one another's requests is up to a second old, about as long as many
//! requests run. If each went by that, all would send to the same upstreams. A daemon that reuses its own
//! slots keeps to upstreams that have room for it.

use std::time::{Duration, Instant};

/// Time after which a slot that was not reused is left to other daemons.
const REUSE_TIME: Duration = Duration::from_millis(500);

/// The number of released slots and how long they may be reused.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReleasedSlots {
    count: u32,
    until: Option<Instant>,
}

impl ReleasedSlots {
    /// Records that a slot was released.
    pub(super) fn release(&mut self, now: Instant) {
        if !self.has_any(now) {
            self.count = 0;
        }
        self.count += 1;
        self.until = Some(now + REUSE_TIME);
    }

    /// Returns whether a slot can be reused.
    pub(super) fn has_any(&self, now: Instant) -> bool {
        self.count > 0 && self.until.is_some_and(|until| now < until)
    }

    /// Records that a request is sent, which uses a slot if there is one.
    pub(super) fn take(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}
