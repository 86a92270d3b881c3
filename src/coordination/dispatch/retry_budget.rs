//! The retry budget, which keeps retries from multiplying failures.
//!
//! The limit is a ratio of a service's requests over a sliding window, summed over all daemons.
//! Each daemon applies the ratio to the requests that it counts, so that the sum stays within the limit
//! without messages, as long as one daemon counts each request.
//!
//! The slack is shared among all daemons. One that starts doesn't know what the process before it has taken, and
//! what the others have taken before they knew of it: it has no part of the slack for a window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use derive_more::Display;

/// Fraction of the limit that daemons use; the rest covers differences between the daemons'
/// windows.
const USED_FRACTION: f64 = 0.8;
/// Number of buckets per window.
const BUCKET_COUNT: u32 = 20;

/// Limit on retries, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
}

/// A daemon's part of the slack.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SlackShare {
    /// None, as the process has started less than a window ago, or doesn't know the other daemons.
    #[display("slack=withheld")]
    Withheld,
    /// That of one of this many daemons.
    #[display("daemons={_0}")]
    OneOf(usize),
}

impl SlackShare {
    /// Returns the part of a slack.
    fn of(self, slack: f64) -> f64 {
        match self {
            Self::Withheld => 0.0,
            Self::OneOf(daemons) => {
                slack / f64::from(u32::try_from(daemons.max(1)).unwrap_or(u32::MAX))
            }
        }
    }
}

/// What a daemon has counted in the window, and what it allows.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("requests={requests} repeats={retries} reserved={reserved} allowed={allowed:.1} {share}")]
pub struct RetryUsage {
    /// Requests counted by this daemon.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Retries that were granted and not sent yet.
    pub reserved: u32,
    /// Retries that this daemon allows.
    pub allowed: f64,
    /// This daemon's part of the slack.
    pub share: SlackShare,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
    /// When the last of its retries was sent.
    last_retry: Instant,
}

impl Bucket {
    /// Returns its requests if they were sent within a window. The oldest one decides.
    fn recent_requests(&self, window: Duration, now: Instant) -> u32 {
        let is_recent = now.saturating_duration_since(self.start) < window;
        if is_recent { self.requests } else { 0 }
    }

    /// Returns its retries if they were sent within a window. The newest one decides.
    fn recent_retries(&self, window: Duration, now: Instant) -> u32 {
        let is_recent = now.saturating_duration_since(self.last_retry) < window;
        if is_recent { self.retries } else { 0 }
    }
}

/// Requests and retries of one service on one daemon.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    /// Retries that were granted and not sent yet.
    reserved: u32,
}

impl RetryBudget {
    /// Counts a caller's request as of a time.
    pub fn record_request(&mut self, limit: &RetryLimit, at: Instant) {
        self.bucket(limit, at).requests += 1;
    }

    /// Takes back a request that was counted as of a time.
    pub fn withdraw_request(&mut self, limit: &RetryLimit, at: Instant) {
        if let Some(bucket) = self.bucket_of(limit, at) {
            bucket.requests = bucket.requests.saturating_sub(1);
        }
    }

    /// Reserves a retry and returns whether one was left. It counts until it is spent or returned, however long that
    /// takes: requests may wait for an upstream with room.
    pub fn try_reserve(&mut self, limit: &RetryLimit, share: SlackShare, now: Instant) -> bool {
        let usage = self.usage(limit, share, now);
        let is_left = f64::from(usage.retries + usage.reserved) + 1.0 <= usage.allowed;
        self.reserved += u32::from(is_left);
        is_left
    }

    /// Returns a reserved retry that isn't sent.
    pub fn return_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Charges a reserved retry to the window in which it is sent.
    pub fn spend_reserved(&mut self, limit: &RetryLimit, now: Instant) {
        self.return_reserved();
        let bucket = self.bucket(limit, now);
        bucket.retries += 1;
        bucket.last_retry = now;
    }

    /// Returns what was counted in the window, and what is allowed.
    pub fn usage(&self, limit: &RetryLimit, share: SlackShare, now: Instant) -> RetryUsage {
        let slack = share.of(limit.slack);
        let buckets = self.buckets.iter();
        let requests: u32 = buckets.map(|b| b.recent_requests(limit.window, now)).sum();
        let buckets = self.buckets.iter();
        RetryUsage {
            requests,
            retries: buckets.map(|b| b.recent_retries(limit.window, now)).sum(),
            reserved: self.reserved,
            allowed: USED_FRACTION * (limit.ratio * f64::from(requests) + slack),
            share,
        }
    }

    /// Returns the bucket of a time, and drops those of which nothing counts any more.
    fn bucket(&mut self, limit: &RetryLimit, at: Instant) -> &mut Bucket {
        let length = limit.window / BUCKET_COUNT;
        let is_old =
            |bucket: &Bucket| at.saturating_duration_since(bucket.start) >= limit.window + length;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        let next = self.buckets.partition_point(|bucket| bucket.start <= at);
        let index = match self.bucket_of(limit, at) {
            Some(_) => next - 1,
            None => {
                let bucket = Bucket {
                    start: at,
                    requests: 0,
                    retries: 0,
                    last_retry: at,
                };
                self.buckets.insert(next, bucket);
                next
            }
        };
        &mut self.buckets[index]
    }

    /// Returns the bucket of a time, if there is one.
    fn bucket_of(&mut self, limit: &RetryLimit, at: Instant) -> Option<&mut Bucket> {
        let next = self.buckets.partition_point(|bucket| bucket.start <= at);
        let bucket = self.buckets.get_mut(next.checked_sub(1)?)?;
        let length = limit.window / BUCKET_COUNT;
        (at.saturating_duration_since(bucket.start) < length).then_some(bucket)
    }
}
