//! Which requests brittle upstreams get, which fail if they have to refuse too many.
//!
//! Load pattern: more requests arrive than a service can run, and its upstreams fail when they must refuse
//! more than a few in a second. All daemons see a free slot at about the same time and fill it together,
//! as what they know of one another's requests is some hundred milliseconds old. Under load, each daemon
//! therefore keeps to an equal share of an upstream's slots, if there are enough for all. A refusal keeps
//! it away for so long that the refusals of all daemons stay below the number that the upstream named.

use std::time::{Duration, Instant};

use http::StatusCode;
use platform::{ServiceName, headers::ResponseHead};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    Dispatcher,
    announcements::Announcement,
    assignment::Assignment,
    cold::count,
    rate_limit::{AnnouncedLimit, KnownLimit, LimitChange},
    registry::Upstream,
    subset::HashRing,
};

/// Fraction of the slots in use from which an upstream counts as crowded.
const CROWDED_FRACTION: f64 = 0.5;
/// Time after which an upstream that was crowded counts as lightly loaded.
const CROWDED_RETENTION: Duration = Duration::from_secs(2);
/// Number of a service's slots for each daemon from which all daemons are likely to have shares.
const MIN_SLOTS_PER_DAEMON: f64 = 2.0;
/// Fraction of the named refusals that the daemons may cause together.
const USED_FRACTION: f64 = 0.5;
/// Maximum time for which a refusal keeps a daemon away.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Fraction of that time over which the daemons spread their first requests after it.
const RESUME_SPREAD: f64 = 0.5;

/// Tells other daemons what the newest known answer of a service's upstreams said of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The service.
    pub service: ServiceName,
    /// Refusals that an upstream bears, if it is brittle.
    pub known: KnownLimit,
}

/// A daemon's rank, starting at 0, among those that share an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharerRank {
    /// The rank.
    pub rank: usize,
    /// Number of daemons that share it.
    pub sharers: usize,
}

/// Returns a daemon's share of `slots`; the shares of all daemons add up to `slots`.
pub fn slot_share(slots: u32, sharers: SharerRank) -> u32 {
    let count = u32::try_from(sharers.sharers.max(1)).unwrap_or(u32::MAX);
    let rank = u32::try_from(sharers.rank).unwrap_or(u32::MAX);
    slots / count + u32::from(rank < slots % count)
}

/// Returns how long a refusal keeps one of `sharers` daemons away from an upstream that may refuse
/// `max_refusals` requests a second.
pub fn pause_after_refusal(max_refusals: f64, sharers: usize) -> Duration {
    let seconds = count(sharers.max(1)) / (max_refusals * USED_FRACTION);
    Duration::try_from_secs_f64(seconds).map_or(MAX_PAUSE, |pause| pause.min(MAX_PAUSE))
}

impl Dispatcher {
    /// Returns whether an upstream of a brittle service has room for another request of this daemon.
    pub(super) fn has_brittle_room(
        &self,
        upstream: &Upstream,
        ring: &HashRing,
        now: Instant,
    ) -> bool {
        if self.running(upstream) >= upstream.slots {
            return false;
        }
        if upstream.crowded_until.is_none_or(|until| until <= now) {
            return true;
        }
        let sharers = self.sharers(upstream, ring, now);
        let share = slot_share(upstream.slots, sharers);
        let slots = count(self.slots_of_service(&upstream.service, now));
        let all_have_shares = slots >= count(sharers.sharers) * MIN_SLOTS_PER_DAEMON;
        // A daemon without a share sends one request at a time.
        upstream.running < if all_have_shares { share } else { share.max(1) }
    }

    /// Returns the slots of all listed upstreams of a service.
    fn slots_of_service(&self, service: &str, now: Instant) -> usize {
        let slots = self.listed(service, now).map(|u| u.slots as usize);
        slots.sum()
    }

    /// Records which brittle upstreams are crowded.
    pub(super) fn update_crowded(&mut self, now: Instant) {
        let is_crowded = |u: &&Upstream| {
            let crowded = f64::from(u.slots) * CROWDED_FRACTION;
            self.max_refusals(&u.service, now).is_some() && f64::from(self.running(u)) >= crowded
        };
        let crowded: Vec<u64> = self
            .registry
            .all()
            .filter(is_crowded)
            .map(|u| u.hash)
            .collect();
        for hash in crowded {
            if let Some(upstream) = self.registry.by_hash_mut(hash) {
                upstream.mark_crowded_until(now + CROWDED_RETENTION);
            }
        }
    }

    /// Keeps this daemon away from a brittle upstream that has refused a request.
    pub(super) fn pause_brittle(&mut self, upstream: &str, max_refusals: f64, now: Instant) {
        let sharers = self.peers.limit_sharers(now).count() + 1;
        let spread = self.rng.random::<f64>() * RESUME_SPREAD;
        let pause = pause_after_refusal(max_refusals, sharers).mul_f64(1.0 + spread);
        if let Some(upstream) = self.registry.get_mut(upstream) {
            upstream.health.pause_until(now + pause);
            upstream.mark_crowded_until(now + pause + CROWDED_RETENTION);
        }
    }

    /// Returns how many requests a second each upstream of a service may refuse, if it is brittle.
    ///
    /// All upstreams of a service are brittle together, and one that has just started has not said so yet;
    /// so the newest answer of any of them decides.
    pub fn max_refusals(&self, service: &str, now: Instant) -> Option<f64> {
        self.brittle.get(service)?.per_second(now)
    }

    /// Records what the head of an upstream's response says of refusals; returns what is new.
    pub(super) fn record_brittle(
        &mut self,
        assignment: &Assignment,
        head: &ResponseHead,
        now: Instant,
    ) -> Option<Announcement> {
        // Another incarnation may have refused a request that was not for it.
        let is_from_it = head.status != StatusCode::MISDIRECTED_REQUEST;
        let ends = head.matches_request && self.brittle.contains_key(&assignment.service);
        if !is_from_it || (head.max_refusals.is_none() && !ends) {
            return None;
        }
        let known = self.brittle.entry(assignment.service.clone()).or_default();
        match known.record(head.max_refusals, assignment.reserved_at, now) {
            LimitChange::Named(number) => Some(Announcement::Brittle(number)),
            LimitChange::Ended => Some(Announcement::BrittleEnded),
            LimitChange::Invalid => Some(Announcement::InvalidBrittle),
            LimitChange::None => None,
        }
    }

    /// Returns what this daemon knows of brittle services.
    pub(super) fn brittle_reports(&self, now: Instant) -> Vec<BrittleReport> {
        let report = |(service, limit): (&ServiceName, &AnnouncedLimit)| {
            Some(BrittleReport {
                service: service.clone(),
                known: limit.known(now)?,
            })
        };
        self.brittle.iter().filter_map(report).collect()
    }

    /// Merges what another daemon knows of brittle services.
    pub(super) fn merge_brittle(&mut self, reports: &[BrittleReport], now: Instant) {
        for report in reports {
            let known = self.brittle.entry(report.service.clone()).or_default();
            known.merge(&report.known, now);
        }
    }
}
