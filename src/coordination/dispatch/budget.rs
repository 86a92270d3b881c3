//! How often requests are sent again: the load pattern of failures that repeats would multiply.
//!
//! The limit is a ratio of a service's requests over a window, summed over all daemons. Each daemon
//! keeps the ratio on the requests that it took itself, so that the sum holds without messages.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The part of the limit that daemons use, for requests counted a little apart.
const USED_PART: f64 = 0.8;
/// The spans into which a window is divided.
const SPANS: u32 = 20;

/// The limit on repeats, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimit {
    /// Repeats allowed for each request in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
    /// Repeats allowed beside the ratio.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// One daemon's requests and repeats of one service.
#[derive(Clone, Debug, Default)]
pub struct RepeatBudget {
    spans: VecDeque<Span>,
}

impl RepeatBudget {
    /// Notes a request of a caller.
    pub fn request(&mut self, limit: &RepeatLimit, now: Instant) {
        self.span(limit, now).requests += 1;
    }

    /// Takes a repeat out of the budget, if it holds one; `daemons` share the slack.
    pub fn take(&mut self, limit: &RepeatLimit, daemons: usize, now: Instant) -> bool {
        let slack = limit.slack / f64::from(u32::try_from(daemons.max(1)).unwrap_or(u32::MAX));
        self.span(limit, now);
        let requests: u32 = self.spans.iter().map(|span| span.requests).sum();
        let repeats: u32 = self.spans.iter().map(|span| span.repeats).sum();
        let allowed = USED_PART * (limit.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.span(limit, now).repeats += 1;
        true
    }

    fn span(&mut self, limit: &RepeatLimit, now: Instant) -> &mut Span {
        while self
            .spans
            .front()
            .is_some_and(|span| now.saturating_duration_since(span.start) >= limit.window)
        {
            self.spans.pop_front();
        }
        let length = limit.window / SPANS;
        let current = self
            .spans
            .back()
            .is_some_and(|span| now.saturating_duration_since(span.start) < length);
        if !current {
            self.spans.push_back(Span {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.spans.back_mut().expect("a span was just made sure of")
    }
}
