//! Which daemon grants the permits of an upstream, and how many it may grant when that is in doubt.
//!
//! The owner is the rendezvous winner among the reachable daemons. Two daemons can hold themselves
//! for the owner at once while a partition or a pause lasts, so an owner's power depends on what it
//! can see. The winner among all known daemons, reachable or not, is one and the same on all sides:
//!
//! | | with the majority | without |
//! |---|---|---|
//! | winner among all known | whole | larger half |
//! | winner among the reachable only | smaller half | none |
//!
//! Only one side has the majority, so no two powers that meet exceed the whole. A new owner first
//! adopts what others already hold, until old leases have run out or all known daemons have agreed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        hash::hash_pair,
        membership::{DaemonName, QuorumStatus},
        permits::{LEASE_TERM, LEASE_TERM_MARGIN},
    },
    state::objects::UpstreamName,
};

/// How long the views of the fleet may differ after a change.
const CONVERGENCE_TIME: Duration = Duration::from_secs(5);
/// How long a daemon looks for others after its start or a pause before it grants anything new.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// The greatest number of known daemons among which agreement is sought instead of waited for.
pub const MAX_AGREEMENT_MEMBERS: usize = 32;

/// The daemon among `members` that owns `upstream`, the same wherever it is computed.
pub fn owner_of<'a>(
    upstream: &str,
    members: impl Iterator<Item = &'a DaemonName>,
) -> Option<&'a DaemonName> {
    members.max_by_key(|name| (hash_pair(upstream, name), *name))
}

/// How much of what an upstream bears an owner may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityShare {
    /// All of it.
    Whole,
    /// Half, rounded up.
    LargerHalf,
    /// Half, rounded down.
    SmallerHalf,
    /// Nothing.
    None,
}

impl CapacityShare {
    /// The part of `count` that may be granted.
    pub fn apply_to(self, count: u32) -> u32 {
        match self {
            Self::Whole => count,
            Self::LargerHalf => count.div_ceil(2),
            Self::SmallerHalf => count / 2,
            Self::None => 0,
        }
    }
}

/// An owner's right to grant the permits of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAuthority {
    /// How much may be granted.
    pub share: CapacityShare,
    /// Whether only what askers hold already may be granted.
    pub adopting: bool,
}

/// The fleet as one daemon sees it.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The reachable daemons, this one included.
    pub reachable: BTreeSet<DaemonName>,
    /// The daemons that shut down; they own nothing but may still hold leases.
    pub leaving: BTreeSet<DaemonName>,
    /// How this daemon stands.
    pub quorum: QuorumStatus,
    owners: BTreeMap<UpstreamName, DaemonName>,
}

impl FleetView {
    /// The view with the owner of each upstream.
    pub fn new<'a>(
        reachable: BTreeSet<DaemonName>,
        leaving: BTreeSet<DaemonName>,
        quorum: QuorumStatus,
        upstreams: impl Iterator<Item = &'a UpstreamName>,
    ) -> Self {
        let owner = |u: &UpstreamName| Some((u.clone(), owner_of(u, reachable.iter())?.clone()));
        let owners = upstreams.filter_map(owner).collect();
        Self {
            reachable,
            leaving,
            quorum,
            owners,
        }
    }

    /// The owner of an upstream.
    pub fn owner(&self, upstream: &str) -> Option<&DaemonName> {
        self.owners.get(upstream)
    }

    /// The owner if all known daemons were reachable.
    fn owner_among_known(&self, upstream: &str) -> Option<&DaemonName> {
        owner_of(
            upstream,
            self.reachable.iter().chain(&self.quorum.unreachable),
        )
    }

    fn known(&self) -> impl Iterator<Item = &DaemonName> {
        self.reachable
            .iter()
            .chain(&self.leaving)
            .chain(&self.quorum.unreachable)
    }
}

/// Since when an upstream is owned, and who has agreed to that.
#[derive(Clone, Debug)]
struct Tenure {
    since: Instant,
    agreed: BTreeSet<DaemonName>,
}

/// The upstreams that this daemon owns.
#[derive(Debug)]
pub struct Ownership {
    own: DaemonName,
    tenures: BTreeMap<UpstreamName, Tenure>,
}

impl Ownership {
    /// Owns nothing yet.
    pub fn new(own: DaemonName) -> Self {
        Self {
            own,
            tenures: BTreeMap::new(),
        }
    }

    /// Begins and ends tenures as the view has changed; to be called before any other method.
    pub fn refresh(&mut self, now: Instant, view: &FleetView) {
        let (own, stable_since) = (&self.own, view.quorum.stable_since);
        let owned = |u: &str| view.owner(u) == Some(own);
        self.tenures
            .retain(|u, t| owned(u) && t.since >= stable_since);
        for upstream in view.owners.keys().filter(|u| owned(u)) {
            let tenure = || Tenure {
                since: now,
                agreed: BTreeSet::new(),
            };
            self.tenures.entry(upstream.clone()).or_insert_with(tenure);
        }
    }

    /// The upstreams owned.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamName> {
        self.tenures.keys()
    }

    /// What this daemon may grant for an upstream; `None` if it does not own it.
    pub fn authority(
        &self,
        now: Instant,
        view: &FleetView,
        upstream: &str,
    ) -> Option<GrantAuthority> {
        let tenure = self.tenures.get(upstream)?;
        let wins_among_known = view.owner_among_known(upstream) == Some(&self.own);
        let share = match (wins_among_known, view.quorum.majority) {
            (true, true) => CapacityShare::Whole,
            (true, false) => CapacityShare::LargerHalf,
            (false, true) => CapacityShare::SmallerHalf,
            (false, false) => CapacityShare::None,
        };
        let owned_for = now.saturating_duration_since(tenure.since);
        let leases_expired = owned_for >= LEASE_TERM + LEASE_TERM_MARGIN + CONVERGENCE_TIME;
        let agreed = owned_for >= DISCOVERY_TIME && self.missing(tenure, view).next().is_none();
        Some(GrantAuthority {
            share,
            adopting: !leases_expired && !agreed,
        })
    }

    /// The daemons whose agreement is missing, each with the upstreams in question.
    pub fn missing_agreements(
        &self,
        now: Instant,
        view: &FleetView,
    ) -> BTreeMap<DaemonName, Vec<UpstreamName>> {
        let mut missing: BTreeMap<DaemonName, Vec<UpstreamName>> = BTreeMap::new();
        if view.reachable.len() > MAX_AGREEMENT_MEMBERS {
            return missing;
        }
        for (upstream, tenure) in &self.tenures {
            if now.saturating_duration_since(tenure.since) > LEASE_TERM * 2 {
                continue;
            }
            for name in self.missing(tenure, view) {
                missing
                    .entry(name.clone())
                    .or_default()
                    .push(upstream.clone());
            }
        }
        missing.retain(|name, _| !view.quorum.unreachable.contains(name));
        missing
    }

    /// Notes that a daemon has agreed to a tenure that began before `requested_at`.
    pub fn record_agreement(&mut self, requested_at: Instant, upstream: &str, by: &DaemonName) {
        if let Some(tenure) = self.tenures.get_mut(upstream)
            && tenure.since <= requested_at
        {
            tenure.agreed.insert(by.clone());
        }
    }

    fn missing<'a>(
        &'a self,
        tenure: &'a Tenure,
        view: &'a FleetView,
    ) -> impl Iterator<Item = &'a DaemonName> {
        view.known()
            .filter(|n| **n != self.own && !tenure.agreed.contains(*n))
    }
}
