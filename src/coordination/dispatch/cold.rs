//! The rate limit of cold upstreams, which matters most when several restart together.
//!
//! The limit of a cold upstream applies to the sum over all daemons. Each daemon gets an equal
//! share. Where the shares would be too small to be useful, only some of the daemons use the
//! upstream.

use std::time::{Duration, Instant};

/// Minimum share of a daemon, in requests per second.
const MIN_SHARE_PER_SECOND: f64 = 2.0;
/// Fraction of the cold rate limit that is shared among the daemons.
const USED_RATE_FRACTION: f64 = 0.9;

/// One daemon's share of a cold upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateShare {
    /// The daemon does not use the upstream; others do.
    None,
    /// Requests per second.
    Rate(f64),
}

/// Returns the share of the daemon with `rank` among `daemons` (starting at 0) in the cold rate
/// limit `rate`.
pub fn rate_share(rate: f64, rank: usize, daemons: usize) -> RateShare {
    let usable_rate = rate * USED_RATE_FRACTION;
    let sharers = max_sharers(usable_rate).clamp(1, daemons.max(1));
    if rank >= sharers {
        return RateShare::None;
    }
    RateShare::Rate(usable_rate / count(sharers))
}

/// Spaces requests evenly: the first is sent at once, each further one after an interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestPacer {
    next: Option<Instant>,
}

impl RequestPacer {
    /// Returns the time until the next request may be sent.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next
            .map_or(Duration::ZERO, |next| next.saturating_duration_since(now))
    }

    /// Records that a request is sent now, at `rate` requests per second.
    pub fn sent(&mut self, rate: f64, now: Instant) {
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX / 4);
        self.next = now.checked_add(interval);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn max_sharers(rate: f64) -> usize {
    (rate / MIN_SHARE_PER_SECOND).floor().max(0.0) as usize
}

#[expect(clippy::cast_precision_loss, reason = "a count of daemons")]
pub(super) fn count(n: usize) -> f64 {
    n as f64
}
