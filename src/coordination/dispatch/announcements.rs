//! What upstreams announce in their responses: that they leave, or that they want a pause.
//!
//! Load pattern: upstreams that are emptied or overloaded say so to each daemon that reaches them. A
//! daemon must act on its own knowledge at once and keep it until another incarnation registers,
//! whatever the table or its peers say. Pauses of many upstreams must not end at the same moment,
//! so each daemon resumes at a random time after the pause, with a single request.

use std::time::{Duration, Instant};

use derive_more::Display;
use platform::headers::{PauseRequest, ResponseHead};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{Dispatcher, assignment::Assignment, health::Health};

/// Longest pause that is respected; a longer one is shortened to it.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Fraction of a pause over which the daemons spread their first requests after it.
const RESUME_SPREAD: f64 = 0.2;

/// Tells other daemons that an incarnation of an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Startup time of the incarnation in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
}

/// A new announcement of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Announcement {
    /// It leaves and gets no more requests.
    #[display("leaving")]
    Leaving,
    /// It gets no requests for this time.
    #[display("pause ms={}", _0.as_millis())]
    Pause(Duration),
    /// It asked for a pause of an invalid length, which is ignored.
    #[display("invalid_pause")]
    InvalidPause,
}

impl Dispatcher {
    /// Records what the head of an upstream's response announces; returns what is new.
    pub fn record_announcements(
        &mut self,
        assignment: &Assignment,
        head: &ResponseHead,
        now: Instant,
    ) -> Vec<Announcement> {
        let spread = self.rng.random::<f64>() * RESUME_SPREAD;
        let mut new = Vec::new();
        if !head.leaving && head.pause.is_none() {
            return new;
        }
        let Some((leaving, health)) = self.announced_state(assignment, now) else {
            return new;
        };
        if head.leaving && !std::mem::replace(leaving, true) {
            new.push(Announcement::Leaving);
        }
        match head.pause {
            Some(PauseRequest::For(pause)) => {
                let pause = pause.min(MAX_PAUSE);
                let was_paused = health.is_paused(now);
                health.pause_until(now + pause.mul_f64(1.0 + spread));
                if !was_paused {
                    new.push(Announcement::Pause(pause));
                }
            }
            Some(PauseRequest::Invalid) => new.push(Announcement::InvalidPause),
            None => {}
        }
        new
    }

    /// Returns whether the incarnation that an assignment was sent to leaves, and its health. Its entry
    /// may have been removed; an entry of another incarnation is not affected.
    fn announced_state(
        &mut self,
        assignment: &Assignment,
        now: Instant,
    ) -> Option<(&mut bool, &mut Health)> {
        if self.registry.get(&assignment.upstream).is_none() {
            let departed = self.registry.departed.of_assignment(assignment, now)?;
            return Some((&mut departed.leaving, &mut departed.health));
        }
        let upstream = self.registry.get_mut(&assignment.upstream)?;
        let is_same = upstream.started_ms == assignment.started_ms;
        is_same.then_some((&mut upstream.leaving, &mut upstream.health))
    }

    /// Returns the upstreams that this daemon has heard are leaving.
    pub(super) fn leaving_reports(&self) -> Vec<LeavingReport> {
        let leaving = self.registry.all().filter(|upstream| upstream.leaving);
        leaving
            .map(|upstream| LeavingReport {
                upstream: upstream.hash,
                started_ms: upstream.started_ms,
            })
            .collect()
    }

    /// Records the upstreams that another daemon has heard are leaving.
    pub(super) fn record_leaving(&mut self, reports: &[LeavingReport]) {
        for report in reports {
            if let Some(upstream) = self.registry.by_hash_mut(report.upstream)
                && upstream.started_ms == report.started_ms
            {
                upstream.leaving = true;
            }
        }
    }
}
