//! Local state of the upstreams in this daemon's subsets, and selection among them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use derive_more::Display;
use rand::Rng;
use rand_xoshiro::Xoroshiro128PlusPlus;

use crate::{
    coordination::{
        hash::{hash_pair, mix},
        health::{Health, HealthState},
    },
    state::objects::UpstreamName,
};

/// Weight of the newest sample in the moving average of first-token times.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;

/// First-token time assumed before the first sample, in seconds.
const FIRST_TOKEN_PRIOR_S: f64 = 0.05;

/// Maximum load relative to the subset's mean at which affinity still applies.
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;

/// Penalty for an upstream outside the daemon's failure domain, in seconds.
const REMOTE_DOMAIN_PENALTY_S: f64 = 0.002;

/// How long an upstream gets no new requests so that a suspect request can run alone on it.
const SOLO_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Index of an upstream in [`Replicas`].
pub(super) type ReplicaIndex = usize;

/// Outcome of a request that was dispatched to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The complete response arrived.
    #[display("answered")]
    Answered {
        /// Time from dispatch to the first token or byte.
        first_token: Duration,
        /// Time from dispatch to the end of the response.
        completion_time: Duration,
    },
    /// The upstream rejected the request without executing any of it.
    #[display("refused")]
    Refused,
    /// The response was an error, invalid, or belonged to another request.
    #[display("failed")]
    Failed,
    /// The connection stalled and no new one has been tried yet; not counted as a failure.
    #[display("silent")]
    Silent,
    /// A new connection stalled as well or could not be established.
    #[display("unreachable")]
    Unreachable,
    /// The upstream's process crashed while it ran the request: the connection broke, and a new
    /// one was refused or reached another incarnation.
    #[display("crashed")]
    Crashed,
    /// The caller disconnected or a deadline passed; no evidence about the upstream's health.
    #[display("cancelled")]
    Cancelled,
}

/// A snapshot of one upstream's state, for status pages and tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaView {
    /// Requests of this daemon in flight to the upstream.
    pub in_flight: u32,
    /// Moving average of first-token times.
    pub first_token: Duration,
    /// Current health state.
    pub health: HealthState,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) name: UpstreamName,
    proximity: Proximity,
    in_flight: u32,
    solo: bool,
    draining_until: Option<Instant>,
    reservation: Option<Reservation>,
    first_token_s: f64,
    health: Health,
}

/// Identifies one solo run in the fleet.
pub type SoloRunId = u64;

/// Keeps new requests off an upstream so that a suspect request can run alone on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The solo run that holds the reservation.
    pub holder: SoloRunId,
    /// When the reservation expires.
    pub until: Instant,
}

/// The result of requesting a [`Reservation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// The upstream is reserved and gets no new requests.
    Granted {
        /// Requests of this daemon still in flight to the upstream.
        running: u32,
    },
    /// Another solo run holds the upstream.
    Contended,
}

/// The position of an upstream relative to this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Proximity {
    /// Whether the upstream is in the daemon's failure domain.
    pub(super) same_domain: bool,
    /// Whether this daemon is preferred over all others for solo runs on the upstream.
    pub(super) own: bool,
}

impl Replica {
    fn new(name: UpstreamName, proximity: Proximity) -> Self {
        Self {
            name,
            proximity,
            in_flight: 0,
            solo: false,
            draining_until: None,
            reservation: None,
            first_token_s: FIRST_TOKEN_PRIOR_S,
            health: Health::default(),
        }
    }

    /// Expected wait behind this daemon's requests in flight, in seconds; lower is better.
    fn expected_wait_s(&self, now: Instant) -> f64 {
        let penalty = if self.proximity.same_domain {
            0.0
        } else {
            REMOTE_DOMAIN_PENALTY_S
        };
        let load = f64::from(self.in_flight + 1) / self.health.load_share(now);
        load * (self.first_token_s + penalty)
    }

    fn usable(&self, now: Instant, solo: bool) -> bool {
        if self.solo || self.reserved(now) || !self.health.usable(now) {
            return false;
        }
        if solo {
            self.in_flight == 0
        } else {
            self.draining_until.is_none_or(|until| now >= until)
        }
    }

    fn reserved(&self, now: Instant) -> bool {
        self.reservation.is_some_and(|r| now < r.until)
    }

    /// Whether the ejection has ended, so that the upstream must be probed.
    fn probe_due(&self, now: Instant) -> bool {
        self.health.state(now) == HealthState::Probing
    }
}

/// Constraints and preferences for picking an upstream from a subset.
pub(super) struct PickCriteria<'a> {
    pub(super) now: Instant,
    pub(super) available: &'a dyn Fn(&str) -> u32,
    pub(super) excluded: &'a [UpstreamName],
    pub(super) affinity: Option<u64>,
    pub(super) solo: bool,
}

/// The reason why no upstream of a subset was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PickError {
    /// No upstream is eligible: each is excluded or ejected.
    None,
    /// All eligible upstreams are busy.
    Busy,
}

/// State of all upstreams that are in any of the daemon's subsets.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    replicas: Vec<Replica>,
    index_by_name: HashMap<UpstreamName, ReplicaIndex>,
}

impl Replicas {
    pub(super) fn len(&self) -> usize {
        self.replicas.len()
    }

    pub(super) fn index(&self, name: &str) -> Option<ReplicaIndex> {
        self.index_by_name.get(name).copied()
    }

    pub(super) fn insert(&mut self, name: &UpstreamName, proximity: Proximity) -> ReplicaIndex {
        if let Some(index) = self.index(name) {
            return index;
        }
        self.index_by_name.insert(name.clone(), self.replicas.len());
        self.replicas.push(Replica::new(name.clone(), proximity));
        self.replicas.len() - 1
    }

    /// Carries over the state of upstreams that are still in use, in flight or reserved.
    pub(super) fn inherit(&mut self, old: Self) {
        for replica in old.replicas {
            match self.index(&replica.name) {
                Some(index) => {
                    let proximity = self.replicas[index].proximity;
                    self.replicas[index] = Replica {
                        proximity,
                        ..replica
                    };
                }
                None if replica.in_flight > 0 || replica.reservation.is_some() => {
                    self.index_by_name
                        .insert(replica.name.clone(), self.replicas.len());
                    self.replicas.push(replica);
                }
                None => {}
            }
        }
    }

    pub(super) fn name(&self, index: ReplicaIndex) -> &UpstreamName {
        &self.replicas[index].name
    }

    pub(super) fn view(&self, now: Instant, name: &str) -> Option<ReplicaView> {
        let replica = &self.replicas[self.index(name)?];
        Some(ReplicaView {
            in_flight: replica.in_flight,
            first_token: Duration::from_secs_f64(replica.first_token_s),
            health: replica.health.state(now),
        })
    }

    pub(super) fn started(&mut self, now: Instant, name: &str, solo: bool) {
        let index = self.insert(&name.into(), Proximity::default());
        let replica = &mut self.replicas[index];
        replica.in_flight += 1;
        replica.solo |= solo;
        replica.health.started(now);
    }

    pub(super) fn finished(&mut self, now: Instant, name: &str, solo: bool, outcome: Outcome) {
        let Some(index) = self.index(name) else {
            return;
        };
        let replica = &mut self.replicas[index];
        replica.in_flight = replica.in_flight.saturating_sub(1);
        if solo {
            replica.solo = false;
            replica.draining_until = None;
        }
        match outcome {
            Outcome::Answered { first_token, .. } => {
                let newest = first_token.as_secs_f64();
                replica.first_token_s += FIRST_TOKEN_WEIGHT * (newest - replica.first_token_s);
                replica.health.succeeded(now);
            }
            Outcome::Failed | Outcome::Unreachable => replica.health.failed(now),
            Outcome::Crashed => replica.health.crashed(now),
            Outcome::Refused | Outcome::Silent | Outcome::Cancelled => {
                replica.health.inconclusive();
            }
        }
    }

    pub(super) fn reserve(&mut self, now: Instant, name: &str, by: Reservation) -> Reserved {
        let index = self.insert(&name.into(), Proximity::default());
        let replica = &mut self.replicas[index];
        let held_by_other = replica.reservation.is_some_and(|r| r.holder != by.holder);
        if replica.solo || (held_by_other && replica.reserved(now)) {
            return Reserved::Contended;
        }
        replica.reservation = Some(by);
        Reserved::Granted {
            running: replica.in_flight,
        }
    }

    pub(super) fn release(&mut self, name: &str, holder: SoloRunId) {
        if let Some(index) = self.index(name) {
            let replica = &mut self.replicas[index];
            replica.reservation.take_if(|r| r.holder == holder);
        }
    }

    /// Picks an upstream for a request that must run alone, or starts draining one for it.
    ///
    /// Preferring upstreams owned by this daemon keeps solo runs of different daemons apart.
    fn pick_solo(
        &mut self,
        subset: &[ReplicaIndex],
        pick: &PickCriteria<'_>,
    ) -> Result<ReplicaIndex, PickError> {
        let order = |index: &ReplicaIndex| {
            let replica = &self.replicas[*index];
            (replica.draining_until.is_none(), replica.in_flight)
        };
        let allowed: Vec<_> = subset
            .iter()
            .copied()
            .filter(|s| self.allowed(*s, pick))
            .collect();
        let is_own = |s: &ReplicaIndex| self.replicas[*s].proximity.own;
        let any_own = allowed.iter().any(is_own);
        let usable = || allowed.iter().copied().filter(|s| !any_own || is_own(s));
        let free = usable().filter(|s| self.free(*s, pick));
        if let Some(index) = free.min_by_key(order) {
            return Ok(index);
        }
        let Some(index) = usable().min_by_key(order) else {
            return Err(PickError::None);
        };
        self.replicas[index].draining_until = Some(pick.now + SOLO_DRAIN_TIME);
        Err(PickError::Busy)
    }

    /// Returns the time until the first ejected upstream of `subset` is probed.
    pub(super) fn next_probe(&self, now: Instant, subset: &[ReplicaIndex]) -> Option<Duration> {
        subset
            .iter()
            .filter_map(|s| self.replicas[*s].health.ejected_until())
            .map(|until| until.saturating_duration_since(now))
            .min()
    }

    /// Picks the upstream chosen by affinity unless it is overloaded, else the better of two random
    /// ones.
    pub(super) fn pick(
        &mut self,
        subset: &[ReplicaIndex],
        pick: &PickCriteria<'_>,
        rng: &mut Xoroshiro128PlusPlus,
    ) -> Result<ReplicaIndex, PickError> {
        if pick.solo {
            return self.pick_solo(subset, pick);
        }
        if let Some(index) = self.pick_by_affinity(subset, pick) {
            return Ok(index);
        }
        if subset.is_empty() {
            return Err(PickError::None);
        }
        let first = subset[rng.random_range(0..subset.len())];
        let second = subset[rng.random_range(0..subset.len())];
        match (self.free(first, pick), self.free(second, pick)) {
            (true, true) => Ok(self.preferred(first, second, pick.now)),
            (true, false) => Ok(first),
            (false, true) => Ok(second),
            (false, false) => self.pick_by_scan(subset, pick, rng),
        }
    }

    fn pick_by_scan(
        &self,
        subset: &[ReplicaIndex],
        pick: &PickCriteria<'_>,
        rng: &mut Xoroshiro128PlusPlus,
    ) -> Result<ReplicaIndex, PickError> {
        let start = rng.random_range(0..subset.len());
        let (before, after) = subset.split_at(start);
        let rotated = || after.iter().chain(before).copied();
        let best = rotated()
            .filter(|s| self.free(*s, pick))
            .reduce(|a, b| self.preferred(a, b, pick.now));
        if let Some(index) = best {
            return Ok(index);
        }
        if rotated().any(|s| self.allowed(s, pick)) {
            return Err(PickError::Busy);
        }
        Err(PickError::None)
    }

    fn pick_by_affinity(
        &self,
        subset: &[ReplicaIndex],
        pick: &PickCriteria<'_>,
    ) -> Option<ReplicaIndex> {
        let key = pick.affinity?;
        let index = subset
            .iter()
            .copied()
            .max_by_key(|s| mix(key ^ hash_pair("affinity", &self.replicas[*s].name)))?;
        let total: u32 = subset.iter().map(|s| self.replicas[*s].in_flight).sum();
        let mean = f64::from(total + 1) / subset.len() as f64;
        let bound = (mean * MAX_AFFINITY_LOAD_RATIO).ceil();
        let within_bound = f64::from(self.replicas[index].in_flight + 1) <= bound;
        let recovered = self.replicas[index].health.load_share(pick.now) >= 1.0;
        (within_bound && recovered && self.free(index, pick)).then_some(index)
    }

    fn preferred(&self, a: ReplicaIndex, b: ReplicaIndex, now: Instant) -> ReplicaIndex {
        let (x, y) = (&self.replicas[a], &self.replicas[b]);
        if x.probe_due(now) != y.probe_due(now) {
            return if x.probe_due(now) { a } else { b };
        }
        if y.expected_wait_s(now) < x.expected_wait_s(now) {
            b
        } else {
            a
        }
    }

    fn allowed(&self, index: ReplicaIndex, pick: &PickCriteria<'_>) -> bool {
        let replica = &self.replicas[index];
        !pick.excluded.contains(&replica.name)
            && replica.health.state(pick.now) != HealthState::Ejected
    }

    fn free(&self, index: ReplicaIndex, pick: &PickCriteria<'_>) -> bool {
        let replica = &self.replicas[index];
        replica.usable(pick.now, pick.solo)
            && !pick.excluded.contains(&replica.name)
            && (pick.available)(&replica.name) > 0
    }
}
