//! Why upstreams cannot take a request, and what its caller is told if none can.

use std::time::Duration;

use derive_more::Display;

use crate::coordination::dispatch::{NoSlotReason, Placement};

/// Maximum time that a request waits for a cold upstream's rate limit before it is refused.
const MAX_COLD_WAIT: Duration = Duration::from_millis(800);
/// Retry-After if no usable upstream is known.
pub(super) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After if all upstreams are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry-After if other daemons may send to a limited upstream, as the caller may reach one of them.
const OTHER_DAEMON_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why an upstream cannot take a request.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
pub(super) enum Unusable {
    /// The request has already been sent there.
    Tried,
    /// It refuses requests or fails.
    Unhealthy,
    /// This daemon cannot connect to it.
    Unreachable,
    /// It has asked for a pause that ends after this time.
    #[display("paused")]
    Paused(Duration),
    /// All its slots are in use.
    Full,
    /// It is cold and may get a request after this time, if any from this daemon.
    #[display("cold")]
    Cold(Option<Duration>),
    /// It has named a limit and may get a request after this time, if any from this daemon.
    #[display("limited")]
    Limited(Option<Duration>),
}

/// Why all upstreams of a request were passed over.
#[derive(Debug, Default)]
pub(super) struct PassedOver {
    cold_wait: Option<Duration>,
    pause_left: Option<Duration>,
    limit_wait: Option<Duration>,
    full: bool,
    unreachable: bool,
}

impl PassedOver {
    /// Records why an upstream was passed over.
    pub(super) fn record(&mut self, reason: Unusable) {
        let earlier = |known: Option<Duration>, time: Duration| {
            Some(known.map_or(time, |known| known.min(time)))
        };
        match reason {
            Unusable::Tried | Unusable::Unhealthy | Unusable::Cold(None) => {}
            Unusable::Limited(wait) => {
                let wait = wait.unwrap_or(OTHER_DAEMON_RETRY_AFTER);
                self.limit_wait = earlier(self.limit_wait, wait);
            }
            Unusable::Paused(left) => self.pause_left = earlier(self.pause_left, left),
            Unusable::Full => self.full = true,
            Unusable::Unreachable => self.unreachable = true,
            Unusable::Cold(Some(wait)) => self.cold_wait = earlier(self.cold_wait, wait),
        }
    }

    /// Returns the result for the request: the shortest known time after which it can be placed.
    pub(super) fn placement(&self) -> Placement {
        if let Some(wait) = self.cold_wait {
            return match wait <= MAX_COLD_WAIT {
                true => Placement::Wait(wait),
                false => Placement::Refuse(NoSlotReason::AllCold, wait),
            };
        }
        if self.full {
            return Placement::Refuse(NoSlotReason::AllFull, FULL_RETRY_AFTER);
        }
        if let Some(wait) = self.limit_wait {
            return Placement::Refuse(NoSlotReason::AllLimited, wait);
        }
        match self.pause_left {
            Some(left) => Placement::Refuse(NoSlotReason::AllPaused, left),
            None if self.unreachable => {
                Placement::Refuse(NoSlotReason::Unreachable, NO_UPSTREAM_RETRY_AFTER)
            }
            None => Placement::Refuse(NoSlotReason::NoneUsable, NO_UPSTREAM_RETRY_AFTER),
        }
    }
}
