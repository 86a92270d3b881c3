//! What recent attempts say of an upstream: a load pattern in which a few upstreams fail.
//!
//! An upstream that refuses connections is left out for a growing pause. One that fails part of
//! its requests stays in use, but at a price that sends most work elsewhere.

use std::time::{Duration, Instant};

/// The weight of the newest attempt in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The time in which a failure rate halves without new attempts.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The first pause after a connection could not be opened.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// The longest pause between attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How an attempt on an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered well.
    Served,
    /// It answered with a failure, or broke off.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// It refused the request without running it.
    Refused,
    /// The attempt says nothing about the upstream.
    Abandoned,
}

/// The health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated: Option<Instant>,
    unreachable: u32,
    backoff_until: Option<Instant>,
}

impl Health {
    /// Notes the end of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now: Instant) {
        match outcome {
            AttemptOutcome::Served => self.record_answer(0.0, now),
            AttemptOutcome::Failed => self.record_answer(1.0, now),
            AttemptOutcome::Unreachable => self.unreachable(now),
            AttemptOutcome::Refused => self.backoff_until = Some(now + INITIAL_BACKOFF),
            AttemptOutcome::Abandoned => {}
        }
    }

    /// Whether it may be sent work.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| until <= now)
    }

    /// Whether the last attempt to connect failed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable > 0
    }

    /// The part of recent attempts that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn record_answer(&mut self, failure: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failure - rate) * SAMPLE_WEIGHT;
        self.updated = Some(now);
        self.unreachable = 0;
        self.backoff_until = None;
    }

    fn unreachable(&mut self, now: Instant) {
        let backoff = INITIAL_BACKOFF * (1 << self.unreachable.min(4));
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
        self.unreachable += 1;
    }
}
