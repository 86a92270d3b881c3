//! How often requests are sent again: the load pattern of failures that repeats would multiply.
//!
//! The limit is a ratio of a service's requests over a window, summed over all daemons. Each daemon
//! keeps the ratio on the requests that it took itself, so that the sum holds without messages.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The part of the limit that daemons use, for requests counted a little apart.
const USED_FRACTION: f64 = 0.8;
/// The spans into which a window is divided.
const BUCKET_COUNT: u32 = 20;

/// The limit on repeats, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats allowed for each request in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
    /// Repeats allowed beside the ratio.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// One daemon's requests and repeats of one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Notes a request of a caller.
    pub fn record_request(&mut self, limit: &RetryLimit, now: Instant) {
        self.bucket(limit, now).requests += 1;
    }

    /// Takes a repeat out of the budget, if it holds one; `daemons` share the slack.
    pub fn try_take(&mut self, limit: &RetryLimit, daemons: usize, now: Instant) -> bool {
        let slack = limit.slack / f64::from(u32::try_from(daemons.max(1)).unwrap_or(u32::MAX));
        self.bucket(limit, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = USED_FRACTION * (limit.ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(limit, now).retries += 1;
        true
    }

    fn bucket(&mut self, limit: &RetryLimit, now: Instant) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) >= limit.window)
        {
            self.buckets.pop_front();
        }
        let length = limit.window / BUCKET_COUNT;
        let current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) < length);
        if !current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a span was just made sure of")
    }
}
