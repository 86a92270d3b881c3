//! Tracks the health of an upstream from recent attempts.
//!
//! An upstream that refuses connections is skipped with an increasing backoff. One that fails some
//! of its requests stays in use, but at a cost that sends most work elsewhere.

use std::time::{Duration, Instant};

use crate::coordination::dispatch::reachability::Loss;

/// Weight of the latest attempt in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate without new attempts.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Backoff after the first failed connection attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Outcome of an attempt on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream responded successfully.
    Served,
    /// It returned an error or broke the connection.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// A connection was not answered in time.
    Unanswered,
    /// It refused the request without running it.
    Refused,
    /// The attempt gives no information about the upstream.
    Abandoned,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt whose connection could not be opened.
    pub fn not_connected(loss: Loss) -> Self {
        match loss {
            Loss::Unanswered => Self::Unanswered,
            Loss::Refused | Loss::Broken | Loss::Silent => Self::Unreachable,
        }
    }

    /// Returns whether no connection could be opened.
    pub fn is_lost_connection(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unanswered)
    }
}

/// The health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated: Option<Instant>,
    unreachable: u32,
    backoff_until: Option<Instant>,
    /// End of the pause that the upstream asked for.
    paused_until: Option<Instant>,
    trial: Trial,
}

/// Whether an upstream gets a single request before it gets others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    #[default]
    None,
    /// It has asked for a pause and has not accepted a request since.
    Due,
    /// The single request is outstanding.
    Sent,
}

impl Health {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now: Instant) {
        match outcome {
            AttemptOutcome::Served => self.record_answer(0.0, now),
            AttemptOutcome::Failed => self.record_answer(1.0, now),
            AttemptOutcome::Unreachable | AttemptOutcome::Unanswered => self.unreachable(now),
            AttemptOutcome::Refused => self.backoff_until = Some(now + INITIAL_BACKOFF),
            AttemptOutcome::Abandoned => {}
        }
    }

    /// Returns whether it may get work; after a pause it gets a single request first.
    pub fn is_usable(&self, now: Instant) -> bool {
        let in_backoff = self.backoff_until.is_some_and(|until| now < until);
        !in_backoff && !self.is_paused(now) && self.trial != Trial::Sent
    }

    /// Records that it wants no requests until a time.
    pub fn pause_until(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
        self.trial = Trial::Due;
    }

    /// Records that a request is sent; returns whether it is the single one after a pause.
    pub fn request_sent(&mut self) -> bool {
        if self.trial == Trial::None {
            return false;
        }
        self.trial = Trial::Sent;
        true
    }

    /// Records whether the single request after a pause was accepted.
    pub fn trial_ended(&mut self, accepted: bool, now: Instant) {
        self.trial = match accepted && !self.is_paused(now) {
            true => Trial::None,
            false => Trial::Due,
        };
    }

    /// Returns whether it has asked for a pause that has not ended.
    pub fn is_paused(&self, now: Instant) -> bool {
        !self.pause_left(now).is_zero()
    }

    /// Returns the time until its pause ends; zero if there is none.
    pub fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Forgets failed connections, which this daemon's own links caused.
    pub fn forget_unreachable(&mut self) {
        if std::mem::take(&mut self.unreachable) > 0 {
            self.backoff_until = None;
        }
    }

    /// Returns whether the last connection attempt failed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable > 0
    }

    /// Returns the fraction of recent attempts that failed, decayed over time.
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
