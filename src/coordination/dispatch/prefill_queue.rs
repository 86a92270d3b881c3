//! How long an engine needs to read the prompts that it was sent.
//!
//! Answers the load pattern of many daemons before few engines: each tells the others at once where
//! it sends a prompt, so that they don't all send to the engine that looked idle a moment ago.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The part of a wrong guess by which the end of the queue is corrected.
const CORRECTION_FACTOR: f64 = 0.5;

/// How long after its time a prompt counts as overdue.
const OVERDUE_AFTER: Duration = Duration::from_millis(150);

/// A prompt that a daemon has sent to an engine, told to the daemons that share the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillNotice {
    /// The hash of the upstream's id.
    pub upstream: u64,
    /// The time to read what is not in its memory.
    pub prefill_time: Duration,
}

/// A prompt of this daemon's that has not been read.
#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    expected_at: Instant,
    prefill_time: Duration,
}

/// The prompts of all daemons that an engine has to read, one after another.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    /// When all have been read, if the engine keeps its usual speed.
    empty_at: Option<Instant>,
    /// This daemon's own.
    pending: Vec<PendingPrefill>,
}

impl PrefillQueue {
    /// The time until all have been read; at least what this daemon still waits for, if the engine
    /// is slower than usual or stands still.
    pub fn wait(&self, now: Instant) -> Duration {
        let empty_at = self.empty_at.unwrap_or(now);
        let own: Duration = self
            .pending
            .iter()
            .map(|pending| pending.prefill_time)
            .sum();
        empty_at.saturating_duration_since(now).max(own)
    }

    /// The time to read this daemon's prompts that ought to have been read by now: the engine is
    /// slower than usual, or stands still.
    pub fn overdue(&self, now: Instant) -> Duration {
        self.pending
            .iter()
            .filter(|pending| now.saturating_duration_since(pending.expected_at) > OVERDUE_AFTER)
            .map(|pending| pending.prefill_time)
            .sum()
    }

    /// Adds a prompt of another daemon.
    pub fn add(&mut self, prefill_time: Duration, now: Instant) {
        let empty_at = self.empty_at.map_or(now, |at| at.max(now));
        self.empty_at = Some(empty_at + prefill_time);
    }

    /// Adds a prompt of this daemon; returns when it is expected to have been read.
    pub fn enqueue(&mut self, prefill_time: Duration, now: Instant) -> Instant {
        self.add(prefill_time, now);
        let expected_at = self.empty_at.unwrap_or(now);
        self.pending.push(PendingPrefill {
            expected_at,
            prefill_time,
        });
        expected_at
    }

    /// Learns that a prompt that was expected to be read at `due` was read at `now`.
    pub fn response_started(&mut self, expected_at: Instant, now: Instant) {
        self.remove_pending(expected_at);
        let Some(empty_at) = self.empty_at else {
            return;
        };
        let early = expected_at
            .saturating_duration_since(now)
            .mul_f64(CORRECTION_FACTOR);
        let late = now
            .saturating_duration_since(expected_at)
            .mul_f64(CORRECTION_FACTOR);
        self.empty_at = (empty_at + late).checked_sub(early);
    }

    /// Takes out a prompt that will not be read, since its caller or its connection has gone.
    pub fn cancel(&mut self, expected_at: Instant, prefill_time: Duration, now: Instant) {
        self.remove_pending(expected_at);
        let remaining = expected_at.saturating_duration_since(now).min(prefill_time);
        self.empty_at = self.empty_at.and_then(|at| at.checked_sub(remaining));
    }

    fn remove_pending(&mut self, expected_at: Instant) {
        if let Some(index) = self
            .pending
            .iter()
            .position(|pending| pending.expected_at == expected_at)
        {
            self.pending.swap_remove(index);
        }
    }
}
