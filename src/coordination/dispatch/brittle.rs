//! Which requests brittle upstreams get, which fail if they have to refuse too many.
//!
//! Load pattern: more requests arrive than a service can run, and its upstreams fail when they must refuse
//! more than a few in a second. All daemons see a free slot at about the same time and fill it together,
//! as what they know of one another's requests is some hundred milliseconds old. The slots of a brittle
//! service are therefore shared out: each daemon keeps to its own share, and no upstream has to refuse.
//!
//! Small shares are badly used: a daemon with a single slot leaves it idle between two of its requests, and
//! has too few when they come together. If there are few slots for each daemon, only some daemons hold
//! shares, and the others delegate requests to them.

use std::time::{Duration, Instant};

use http::StatusCode;
use platform::{ServiceName, headers::ResponseHead};
use rand::Rng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::dispatch::{
    Dispatcher,
    announcements::Announcement,
    assignment::Assignment,
    cold::count,
    heartbeat::{DaemonName, Links},
    rate_limit::{AnnouncedLimit, KnownLimit, LimitChange},
    reachability::Delegate,
    registry::{self, Upstream},
    subset::HashRing,
};

/// Minimum number of a service's slots for each daemon that holds a share. With four slots, 0.6 of the
/// capacity is served with short waits; with a single one, a third of such requests would wait for long.
const MIN_SLOTS_PER_HOLDER: usize = 4;
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

impl SharerRank {
    /// Returns the rank for an upstream at `index`, so that those that get one slot more than others at one
    /// upstream get fewer at the next.
    fn rotated(self, index: u32, slots: u32) -> Self {
        let remainder = slots as usize % self.sharers;
        let offset = index as usize * remainder;
        // Ranks below the remainder get one slot more.
        let rank = (self.rank + self.sharers - offset % self.sharers) % self.sharers;
        Self { rank, ..self }
    }
}

/// A daemon's share of a brittle service's slots.
#[derive(Clone, Debug)]
pub(super) enum BrittleShare {
    /// It holds none; other daemons serve its requests.
    None,
    /// It is one of the daemons that hold shares of the service, whose upstreams are on this ring.
    OfHolders(SharerRank, HashRing),
    /// All daemons that use an upstream share it.
    OfUsers,
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
    /// Returns which share of a brittle service's slots this daemon holds.
    pub(super) fn brittle_share(&self, service: &str, now: Instant) -> BrittleShare {
        if !self.may_delegate {
            return BrittleShare::OfUsers;
        }
        let holders = self.share_holders(service, now);
        let rank = holders.iter().position(|name| **name == self.me.name);
        let Some(rank) = rank else {
            return BrittleShare::None;
        };
        let sharers = holders.len();
        // Shares are the same for both versions of a rollout.
        let ring = HashRing::from_hashes(self.listed(service, now).map(|u| u.hash));
        BrittleShare::OfHolders(SharerRank { rank, sharers }, ring)
    }

    /// Returns the daemons that hold shares of a service's slots, the same on all daemons that know the same
    /// daemons and upstreams.
    fn share_holders(&self, service: &str, now: Instant) -> Vec<&DaemonName> {
        let seed = registry::hash_of(service);
        let weight = |name: &DaemonName| xxh3_64_with_seed(name.as_bytes(), seed);
        // The upstreams release the slots of a daemon that has died when its connections break.
        let ready = self.peers.ready(now).map(|peer| &peer.last_heartbeat);
        let can_hold = ready.filter(|known| known.links != Links::CutOff);
        let mut daemons: Vec<&DaemonName> = can_hold.map(|known| &known.from.name).collect();
        if !self.reachability.is_cut_off() {
            daemons.push(&self.me.name);
        }
        daemons.sort_by_cached_key(|name| (weight(name), (*name).clone()));
        let holders = self.slots_of_service(service, now) / MIN_SLOTS_PER_HOLDER;
        daemons.truncate(holders.max(1));
        daemons
    }

    /// Chooses a daemon that can serve a request to a service for this one, but for those in `tried`: one that
    /// holds a share if the service is brittle.
    pub fn choose_delegate_for(
        &mut self,
        service: &str,
        tried: &[DaemonName],
        now: Instant,
    ) -> Option<Delegate> {
        let is_shared_out = self.may_delegate && self.max_refusals(service, now).is_some();
        match is_shared_out {
            true => self.choose_holder(service, tried, now),
            false => self.choose_delegate(tried, now),
        }
    }

    /// Chooses a daemon for a request to a service of which this one holds no share, but for those in
    /// `tried`.
    pub fn choose_holder(
        &mut self,
        service: &str,
        tried: &[DaemonName],
        now: Instant,
    ) -> Option<Delegate> {
        let holders = self.share_holders(service, now);
        let holders: Vec<DaemonName> = holders.into_iter().cloned().collect();
        self.choose_delegate_among(|name| holders.contains(name) && !tried.contains(name), now)
    }

    /// Returns whether an upstream of a brittle service has room for another request of this daemon.
    pub(super) fn has_brittle_room(
        &self,
        upstream: &Upstream,
        share: &BrittleShare,
        ring: &HashRing,
        now: Instant,
    ) -> bool {
        if self.running(upstream) >= upstream.slots {
            return false;
        }
        let own = match share {
            BrittleShare::None => 0,
            BrittleShare::OfHolders(holder, service_ring) => {
                let index = service_ring.index(upstream.hash);
                slot_share(upstream.slots, holder.rotated(index, upstream.slots))
            }
            BrittleShare::OfUsers
                if !self
                    .own_position()
                    .uses(ring.index(upstream.hash), ring.count()) =>
            {
                0
            }
            // A daemon without a share sends one request at a time.
            BrittleShare::OfUsers => {
                slot_share(upstream.slots, self.sharers(upstream, ring, now)).max(1)
            }
        };
        upstream.running < own
    }

    /// Returns the slots of all listed upstreams of a service.
    fn slots_of_service(&self, service: &str, now: Instant) -> usize {
        let slots = self.listed(service, now).map(|u| u.slots as usize);
        slots.sum()
    }

    /// Keeps this daemon away from a brittle upstream that has refused a request.
    pub(super) fn pause_brittle(&mut self, upstream: &str, max_refusals: f64, now: Instant) {
        let sharers = self.refusal_sharers(upstream, now);
        let spread = self.rng.random::<f64>() * RESUME_SPREAD;
        let pause = pause_after_refusal(max_refusals, sharers).mul_f64(1.0 + spread);
        if let Some(upstream) = self.registry.get_mut(upstream) {
            upstream.health.pause_until(now + pause);
        }
    }

    /// Returns the number of daemons that may be refused by an upstream.
    fn refusal_sharers(&self, upstream: &str, now: Instant) -> usize {
        let all = self.peers.limit_sharers(now).count() + 1;
        match self.registry.get(upstream) {
            Some(upstream) if self.may_delegate => {
                let slots = self.slots_of_service(&upstream.service, now);
                let holders = (slots / MIN_SLOTS_PER_HOLDER).max(1);
                all.min(holders).min(upstream.slots as usize)
            }
            _ => all,
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
