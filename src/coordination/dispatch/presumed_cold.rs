//! Upstreams that are treated as cold because they could not be connected to, as they may have restarted.

use std::time::{Duration, Instant};

use derive_more::Display;
use platform::UpstreamId;

use crate::coordination::dispatch::{Dispatcher, poison::StopSource, registry::Upstream};

/// Shortest time from the stop of an upstream until it runs again.
pub(super) const MIN_RESTART_TIME: Duration = Duration::from_millis(1_500);

/// An upstream that is treated as cold from now on, although its entry does not say so.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("upstream={upstream} source={source}")]
pub struct ColdPresumption {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Who could not connect to it.
    pub source: StopSource,
}

impl ColdPresumption {
    pub(super) fn new(upstream: &Upstream, source: StopSource) -> Self {
        Self {
            upstream: upstream.id.clone(),
            source,
        }
    }
}

impl Dispatcher {
    /// Removes and returns the upstreams that were presumed to be cold since the last call.
    pub fn take_presumed_cold(&mut self) -> Vec<ColdPresumption> {
        std::mem::take(&mut self.presumed_cold)
    }
}

/// Why an upstream is treated as cold although its entry does not say so.
#[derive(Clone, Copy, Debug)]
pub(super) struct PresumedCold {
    lost_at: Instant,
    pub(super) until: Instant,
}

impl Upstream {
    /// Treats it as cold, as it may have restarted since a connection to it was lost.
    pub(super) fn presume_cold(&mut self, lost_at: Instant, until: Instant, now: Instant) {
        let known = self.presumed_cold.filter(|known| now < known.until);
        self.presumed_cold = Some(PresumedCold {
            lost_at: known.map_or(lost_at, |known| known.lost_at),
            until: known.map_or(until, |known| known.until.max(until)),
        });
    }

    /// Records that it answered an attempt that began at `sent_at`. If that was soon after a lost
    /// connection, it was silent for a moment and has not restarted.
    pub(super) fn record_reached(&mut self, sent_at: Instant) {
        self.reached_at = self.reached_at.max(Some(sent_at));
        let restarted = |presumed: &PresumedCold| {
            sent_at < presumed.lost_at || sent_at - presumed.lost_at >= MIN_RESTART_TIME
        };
        self.presumed_cold = self.presumed_cold.filter(restarted);
    }

    /// Returns whether it has answered an attempt that began within `time` before now.
    pub(super) fn was_reached_within(&self, time: Duration, now: Instant) -> bool {
        self.reached_at
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Marks it cold until a time, unless it is cold for longer already.
    pub fn mark_cold_until(&mut self, until: Instant) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }
}
