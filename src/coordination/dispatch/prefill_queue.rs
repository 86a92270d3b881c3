//! Estimates how long an engine needs for the prompts that were sent to it.
//!
//! With many daemons and few engines, each daemon notifies the others at once where it sends a
//! prompt. Otherwise all of them would send to the engine that looked idle a moment ago.

use std::time::{Duration, Instant};

use serde::{Deserialize, Deserializer, Serialize};

/// Fraction of the estimation error by which the end of the queue is corrected.
const CORRECTION_FACTOR: f64 = 0.5;

/// Maximum prefill time or backlog that another daemon reports; the longest deadlines are shorter.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(60);

/// How long after its expected time a prompt counts as overdue.
const OVERDUE_AFTER: Duration = Duration::from_millis(150);

/// Notifies the daemons that share an engine of a prompt that was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillNotice {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Prefill time for the part of the prompt that is not cached.
    #[serde(deserialize_with = "bounded_time")]
    pub prefill_time: Duration,
}

fn bounded_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let time = Duration::deserialize(deserializer)?;
    Ok(time.min(MAX_REPORTED_TIME))
}

/// A prompt of this daemon whose prefill has not completed.
#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    /// When it was expected to complete when it was added, which identifies it.
    initially_expected_at: Instant,
    /// When it is expected to complete.
    expected_at: Instant,
    prefill_time: Duration,
}

/// The outstanding prompts of all daemons on one engine, which processes them one after another.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    /// When all prompts are expected to be processed, if the engine keeps its usual speed.
    empty_at: Option<Instant>,
    /// The latest such time that another daemon reported.
    reported_empty_at: Option<Instant>,
    /// Outstanding prompts of this daemon.
    pending: Vec<PendingPrefill>,
}

impl PrefillQueue {
    /// Returns the time until all prompts are processed, as far as this daemon or another knows.
    pub fn wait(&self, now: Instant) -> Duration {
        let reported = self.reported_empty_at.unwrap_or(now);
        let reported = reported.saturating_duration_since(now);
        self.known_wait(now).max(reported)
    }

    /// Returns the time until all prompts that this daemon knows of are processed; at least the
    /// outstanding prefill time of this daemon, in case the engine is slow or stalled.
    pub fn known_wait(&self, now: Instant) -> Duration {
        let empty_at = self.empty_at.unwrap_or(now);
        let own: Duration = self
            .pending
            .iter()
            .map(|pending| pending.prefill_time)
            .sum();
        empty_at.saturating_duration_since(now).max(own)
    }

    /// Returns the prefill time of this daemon's overdue prompts, which indicates a slow or stalled
    /// engine.
    pub fn overdue(&self, now: Instant) -> Duration {
        self.pending
            .iter()
            .filter(|pending| now.saturating_duration_since(pending.expected_at) > OVERDUE_AFTER)
            .map(|pending| pending.prefill_time)
            .sum()
    }

    /// Records the backlog that another daemon reported. The daemons that are notified of an engine's
    /// prompts report it to the others.
    pub fn record_report(&mut self, backlog: Duration, now: Instant) {
        let empty_at = now + backlog.min(MAX_REPORTED_TIME);
        self.reported_empty_at = self.reported_empty_at.max(Some(empty_at));
    }

    /// Adds a prompt of another daemon.
    pub fn add(&mut self, prefill_time: Duration, now: Instant) {
        let empty_at = self.empty_at.map_or(now, |at| at.max(now));
        self.empty_at = Some(empty_at + prefill_time);
    }

    /// Adds a prompt of this daemon; returns when its prefill is expected to complete.
    pub fn enqueue(&mut self, prefill_time: Duration, now: Instant) -> Instant {
        self.add(prefill_time, now);
        let expected_at = self.empty_at.unwrap_or(now);
        self.pending.push(PendingPrefill {
            initially_expected_at: expected_at,
            expected_at,
            prefill_time,
        });
        expected_at
    }

    /// Records that a prefill that was initially expected to complete at `initially_expected_at` completed
    /// at `now`.
    ///
    /// The other outstanding prompts are expected earlier or later by the same time, so that a delay
    /// of the engine which makes all of them late is counted once.
    pub fn response_started(&mut self, initially_expected_at: Instant, now: Instant) {
        let Some(completed) = self.remove_pending(initially_expected_at) else {
            return;
        };
        let early = completed
            .expected_at
            .saturating_duration_since(now)
            .mul_f64(CORRECTION_FACTOR);
        let late = now
            .saturating_duration_since(completed.expected_at)
            .mul_f64(CORRECTION_FACTOR);
        let corrected = |at: Instant| (at + late).checked_sub(early).unwrap_or(at);
        self.empty_at = self.empty_at.map(corrected);
        for pending in &mut self.pending {
            pending.expected_at = corrected(pending.expected_at);
        }
    }

    /// Removes a prompt that will not be processed because its caller left or its connection broke.
    pub fn cancel(&mut self, initially_expected_at: Instant, now: Instant) {
        let Some(cancelled) = self.remove_pending(initially_expected_at) else {
            return;
        };
        let remaining = cancelled
            .expected_at
            .saturating_duration_since(now)
            .min(cancelled.prefill_time);
        self.empty_at = self.empty_at.and_then(|at| at.checked_sub(remaining));
    }

    fn remove_pending(&mut self, initially_expected_at: Instant) -> Option<PendingPrefill> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.initially_expected_at == initially_expected_at)?;
        Some(self.pending.swap_remove(index))
    }
}
