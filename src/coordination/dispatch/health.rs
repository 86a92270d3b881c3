//! What recent attempts say of an upstream: a load pattern in which a few upstreams fail.
//!
//! An upstream that refuses connections is left out for a growing pause. One that fails part of
//! its requests stays in use, but at a price that sends most work elsewhere.

use std::time::{Duration, Instant};

/// The weight of the newest attempt in the failure rate.
const NEWEST_WEIGHT: f64 = 0.15;
/// The time in which a failure rate halves without new attempts.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The first pause after a connection could not be opened.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// The longest pause between attempts to connect.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How an attempt on an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
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
    paused_until: Option<Instant>,
}

impl Health {
    /// Notes the end of an attempt.
    pub fn note(&mut self, ended: Ended, now: Instant) {
        match ended {
            Ended::Served => self.answered(0.0, now),
            Ended::Failed => self.answered(1.0, now),
            Ended::Unreachable => self.unreachable(now),
            Ended::Refused => self.paused_until = Some(now + FIRST_PAUSE),
            Ended::Abandoned => {}
        }
    }

    /// Whether it may be sent work.
    pub fn usable(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| until <= now)
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

    fn answered(&mut self, failure: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failure - rate) * NEWEST_WEIGHT;
        self.updated = Some(now);
        self.unreachable = 0;
        self.paused_until = None;
    }

    fn unreachable(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * (1 << self.unreachable.min(4));
        self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
        self.unreachable += 1;
    }
}
