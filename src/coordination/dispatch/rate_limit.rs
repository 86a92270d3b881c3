//! The request rates that upstreams in need name in their answers, for all daemons together.
//!
//! Load pattern: an upstream in need answers one daemon after the other, and all of them go on
//! sending. What one daemon hears holds for all; the newest answer of the upstream decides. Each of
//! some daemons has an equal share of the rate and spaces its requests evenly; so many that their
//! first requests together stay a small part of what the upstream takes in some seconds.

use std::time::{Duration, Instant};

use platform::headers::RateLimit;
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    as_millis,
    cold::{RateShare, count},
};

/// Fraction of the limit that is shared among the daemons.
const USED_RATE_FRACTION: f64 = 0.9;
/// Minimum rate in requests per second, as only an answer tells that a limit has ended.
const MIN_RATE: f64 = 0.25;
/// Number of daemons that share a limit of less than one request in two seconds.
const MIN_SHARERS: usize = 2;
/// Number of further daemons for each request per second.
const SHARERS_PER_RATE: f64 = 2.0;
/// How long a limit is respected that no answer has confirmed or ended.
const RETENTION: Duration = Duration::from_secs(60);

/// What an upstream's newest known answer said of its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnnouncedLimit {
    /// Requests in 1,000 seconds; absent if the answer named no limit.
    per_kilosecond: Option<u32>,
    /// When the answer arrived; absent if no answer has ever named a limit.
    heard_at: Option<Instant>,
}

/// Tells other daemons what the newest known answer of an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Startup time of the incarnation in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// What the answer said.
    pub known: KnownLimit,
}

/// What the newest known answer said of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Requests in 1,000 seconds; absent if the limit has ended.
    pub per_kilosecond: Option<u32>,
    /// Time since the answer in milliseconds.
    pub age_ms: u32,
}

/// Returns the share of the daemon with `rank` (starting at 0) among `daemons` in a limit of `limit`
/// requests per second.
pub fn limit_share(limit: f64, rank: usize, daemons: usize) -> RateShare {
    let sharers = max_sharers(limit).clamp(1, daemons.max(1));
    if rank >= sharers {
        return RateShare::None;
    }
    RateShare::Rate((limit * USED_RATE_FRACTION).max(MIN_RATE) / count(sharers))
}

/// How an answer changed what is known of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// A limit was named, or another one than before, in requests in 1,000 seconds.
    Named(u32),
    /// The limit has ended.
    Ended,
    /// The limit is not valid, and what was known before holds.
    Invalid,
    /// Nothing new.
    None,
}

impl AnnouncedLimit {
    /// Records what an answer to a request that was sent at `sent_at` said.
    ///
    /// Answers may overtake each other, so one without a limit ends an earlier limit only if its
    /// request was sent after that was named.
    pub fn record(
        &mut self,
        limit: Option<RateLimit>,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let known = self.per_kilosecond;
        match limit {
            Some(RateLimit::Invalid) => LimitChange::Invalid,
            Some(RateLimit::PerKilosecond(rate)) => {
                self.per_kilosecond = Some(rate);
                self.heard_at = Some(now);
                match known == Some(rate) {
                    true => LimitChange::None,
                    false => LimitChange::Named(rate),
                }
            }
            None if known.is_some() && Some(sent_at) > self.heard_at => {
                self.per_kilosecond = None;
                self.heard_at = Some(now);
                LimitChange::Ended
            }
            None => LimitChange::None,
        }
    }

    /// Merges what another daemon knows, if that is newer.
    pub fn merge(&mut self, other: &KnownLimit, now: Instant) {
        let age = Duration::from_millis(other.age_ms.into());
        let heard_at = now.checked_sub(age).unwrap_or(now);
        if self.heard_at.is_none_or(|known| known < heard_at) {
            self.per_kilosecond = other.per_kilosecond;
            self.heard_at = Some(heard_at);
        }
    }

    /// Returns the limit in requests per second, if there is one.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let rate = self.per_kilosecond.filter(|_| self.is_recent(now))?;
        Some(f64::from(rate) / 1e3)
    }

    /// Returns whether anything is known that other daemons should know.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
    }

    /// Returns what to tell other daemons, if anything.
    pub fn known(&self, now: Instant) -> Option<KnownLimit> {
        let heard_at = self.heard_at.filter(|_| self.is_recent(now))?;
        Some(KnownLimit {
            per_kilosecond: self.per_kilosecond,
            age_ms: as_millis(now.saturating_duration_since(heard_at)),
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and at most a few millions"
)]
fn max_sharers(limit: f64) -> usize {
    (limit * SHARERS_PER_RATE) as usize + MIN_SHARERS
}
