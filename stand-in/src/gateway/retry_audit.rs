//! Checks the operators' limit on retries against what callers sent and upstreams received.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use super::upstream::Arrival;

/// The operators' limit on retries, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Retries and their limit in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowUse {
    /// Arrivals beyond the first one of each request.
    pub retries: usize,
    /// Retries allowed.
    pub allowed: f64,
}

impl WindowUse {
    /// Returns the retries as a fraction of those allowed.
    pub fn fraction(&self) -> f64 {
        match self.retries {
            0 => 0.0,
            retries => retries as f64 / self.allowed,
        }
    }
}

/// Returns the use in the window that comes closest to the limit, or exceeds it most. `sent` are the times at
/// which callers sent requests for a service, `arrivals` what its upstreams received.
///
/// The requests are counted in the window, in the one before it or in the one half a window before it, whichever
/// has most.
pub fn worst_window(
    mut sent: Vec<Instant>,
    mut arrivals: Vec<Arrival>,
    bound: &RetryBound,
) -> WindowUse {
    sent.sort_unstable();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut known = HashSet::new();
    let retries: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| !known.insert(arrival.id.as_str()))
        .map(|arrival| arrival.at)
        .collect();
    let ends = retries.iter().map(|at| *at + Duration::from_nanos(1));
    let ends = ends.chain(retries.iter().map(|at| *at + bound.window));
    let uses = ends.map(|end| window_use(&sent, &retries, end, bound));
    let worse = |a: &WindowUse, b: &WindowUse| a.fraction().total_cmp(&b.fraction());
    uses.max_by(worse).unwrap_or_default()
}

fn window_use(
    sent: &[Instant],
    retries: &[Instant],
    end: Instant,
    bound: &RetryBound,
) -> WindowUse {
    let window = bound.window;
    let offsets = [Duration::ZERO, window / 2, window];
    let requests = offsets.map(|offset| count(sent, end - offset, window));
    let requests = requests.into_iter().max().unwrap_or_default();
    WindowUse {
        retries: count(retries, end, window),
        allowed: bound.ratio * requests as f64 + bound.slack,
    }
}

/// Returns how many of the sorted times lie in the window that ends before `end`.
fn count(times: &[Instant], end: Instant, window: Duration) -> usize {
    let before = |limit: Instant| times.partition_point(|at| *at < limit);
    before(end) - before(end - window)
}
