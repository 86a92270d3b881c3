//! How much a cold upstream gets: the load pattern of upstreams that come back together.
//!
//! What a cold upstream bears is a sum over all daemons. Each daemon takes an equal part, and where
//! the parts would be too small to send anything, only some of the daemons use the upstream.

use std::time::{Duration, Instant};

/// The least rate, in requests a second, that is worth a daemon's part.
const MIN_SHARE_PER_SECOND: f64 = 2.0;
/// The part of the tolerated rate that the daemons share out.
const USED_RATE_FRACTION: f64 = 0.9;

/// One daemon's part of what a cold upstream bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateShare {
    /// Other daemons use it.
    None,
    /// Requests a second.
    Rate(f64),
}

/// The part of the daemon with `rank` among `daemons` (0 first) in the tolerated `rate`.
pub fn rate_share(rate: f64, rank: usize, daemons: usize) -> RateShare {
    let is_usable = rate * USED_RATE_FRACTION;
    let sharers = max_sharers(is_usable).clamp(1, daemons.max(1));
    if rank >= sharers {
        return RateShare::None;
    }
    RateShare::Rate(is_usable / count(sharers))
}

/// Spaces requests evenly: one at once, then one each interval of the rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestPacer {
    next: Option<Instant>,
}

impl RequestPacer {
    /// How long until the next request may be sent.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next
            .map_or(Duration::ZERO, |next| next.saturating_duration_since(now))
    }

    /// Notes that a request is sent now, at `rate` requests a second.
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
fn count(n: usize) -> f64 {
    n as f64
}
