//! What upstreams announce in their responses: that they leave, want a pause, or can take only so many
//! requests.
//!
//! Load pattern: upstreams that are emptied or overloaded say so to each daemon that reaches them. A
//! daemon must act on its own knowledge at once and keep it until another incarnation registers,
//! whatever the table or its peers say. Pauses of many upstreams must not end at the same moment,
//! so each daemon resumes at a random time after the pause, with a single request.

use std::time::{Duration, Instant};

use derive_more::Display;
use http::StatusCode;
use platform::headers::{PauseRequest, ResponseHead};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    Dispatcher,
    assignment::Assignment,
    health::Health,
    rate_limit::{AnnouncedLimit, LimitChange, LimitReport},
    registry::Upstream,
};

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
    /// It takes this many requests in 1,000 seconds from all daemons together.
    #[display("limit per_s={}", f64::from(*_0) / 1e3)]
    Limit(u32),
    /// It no longer names a limit.
    #[display("limit_ended")]
    LimitEnded,
    /// It named an invalid limit, which is ignored.
    #[display("invalid_limit")]
    InvalidLimit,
    /// It is brittle and may refuse this many requests in 1,000 seconds.
    #[display("brittle refusals_per_s={}", f64::from(*_0) / 1e3)]
    Brittle(u32),
    /// It is no longer brittle.
    #[display("brittle_ended")]
    BrittleEnded,
    /// It named an invalid number of refusals, which is ignored.
    #[display("invalid_brittle")]
    InvalidBrittle,
}

/// What this daemon keeps of an incarnation's announcements.
struct Announced<'a> {
    leaving: &'a mut bool,
    health: &'a mut Health,
    limit: &'a mut AnnouncedLimit,
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
        new.extend(self.record_brittle(assignment, head, now));
        let names_any = head.leaving || head.pause.is_some() || head.rate_limit.is_some();
        let may_end_limit = head.matches_request && self.names_limit(assignment, now);
        if !names_any && !may_end_limit {
            return new;
        }
        let Some(announced) = self.announced_state(assignment, now) else {
            return new;
        };
        let health = announced.health;
        if head.leaving && !std::mem::replace(announced.leaving, true) {
            new.push(Announcement::Leaving);
        }
        // Another incarnation may have refused a request that was not for it.
        let is_from_it = head.status != StatusCode::MISDIRECTED_REQUEST;
        if is_from_it && (head.rate_limit.is_some() || head.matches_request) {
            let sent_at = assignment.reserved_at;
            match announced.limit.record(head.rate_limit, sent_at, now) {
                LimitChange::Named(rate) => new.push(Announcement::Limit(rate)),
                LimitChange::Ended => new.push(Announcement::LimitEnded),
                LimitChange::Invalid => new.push(Announcement::InvalidLimit),
                LimitChange::None => {}
            }
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
    fn announced_state(&mut self, assignment: &Assignment, now: Instant) -> Option<Announced<'_>> {
        if self.registry.get(&assignment.upstream).is_none() {
            let departed = self.registry.departed.of_assignment(assignment, now)?;
            return Some(Announced {
                leaving: &mut departed.leaving,
                health: &mut departed.health,
                limit: &mut departed.limit,
            });
        }
        let upstream = self.registry.get_mut(&assignment.upstream)?;
        let is_same = upstream.started_ms == assignment.started_ms;
        is_same.then_some(Announced {
            leaving: &mut upstream.leaving,
            health: &mut upstream.health,
            limit: &mut upstream.limit,
        })
    }

    /// Returns whether the upstream of an assignment is known to have a limit.
    fn names_limit(&self, assignment: &Assignment, now: Instant) -> bool {
        let upstream = self.registry.get(&assignment.upstream);
        upstream.is_some_and(|upstream| upstream.limit.per_second(now).is_some())
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

    /// Returns what this daemon knows of the limits that upstreams have named.
    pub(super) fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        let report = |u: &Upstream| {
            Some(LimitReport {
                upstream: u.hash,
                started_ms: u.started_ms,
                known: u.limit.known(now)?,
            })
        };
        self.registry.all().filter_map(report).collect()
    }

    /// Merges what another daemon knows of limits.
    pub(super) fn merge_limits(&mut self, reports: &[LimitReport], now: Instant) {
        for report in reports {
            if let Some(upstream) = self.registry.by_hash_mut(report.upstream)
                && upstream.started_ms == report.started_ms
            {
                upstream.limit.merge(&report.known, now);
            }
        }
    }
}
