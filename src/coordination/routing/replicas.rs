//! What one daemon knows of the upstreams it uses, and the choice among them.

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

/// The weight of the newest first-token time in the moving average.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;

/// The first-token time assumed before any is known, in seconds.
const FIRST_TOKEN_PRIOR_S: f64 = 0.05;

/// How far above the mean an upstream may be loaded before affinity gives way.
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;

/// The added cost of leaving the own failure domain, in seconds.
const REMOTE_DOMAIN_PENALTY_S: f64 = 0.002;

/// How long an upstream is kept free of new requests so that a suspect can run alone there.
const SOLO_DRAIN_TIME: Duration = Duration::from_secs(2);

/// The place of an upstream in the table.
pub(super) type ReplicaIndex = usize;

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The whole answer came.
    #[display("answered")]
    Answered {
        /// From dispatch to the first token or byte.
        first_token: Duration,
        /// From dispatch to the end.
        completion_time: Duration,
    },
    /// The upstream said that it did nothing with the request.
    #[display("refused")]
    Refused,
    /// The upstream answered with an error, nonsense or another request's answer.
    #[display("failed")]
    Failed,
    /// The connection went silent, and a fresh one has not been tried yet; no blame.
    #[display("silent")]
    Silent,
    /// A fresh connection was silent or could not be made.
    #[display("unreachable")]
    Unreachable,
    /// The upstream's process ended while it ran the request: the connection broke, and a fresh
    /// one was refused or met another incarnation.
    #[display("crashed")]
    Crashed,
    /// The caller went away or a deadline passed; it tells nothing about the upstream.
    #[display("cancelled")]
    Cancelled,
}

/// What is known of one upstream, for status pages and tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaView {
    /// This daemon's requests that run there.
    pub in_flight: u32,
    /// The moving average of first-token times.
    pub first_token: Duration,
    /// Its health.
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

/// An upstream kept free of new requests, so that a suspect runs alone there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The solo run.
    pub holder: SoloRunId,
    /// When it ends by itself.
    pub until: Instant,
}

/// The answer to a [`Reservation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// No new request is sent there.
    Granted {
        /// The daemon's requests that still run there.
        running: u32,
    },
    /// Another solo run goes first.
    Contended,
}

/// How an upstream lies to this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Proximity {
    /// Whether it is in the daemon's failure domain.
    pub(super) same_domain: bool,
    /// Whether this daemon, of all, runs suspects there first.
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

    /// The expected wait behind this daemon's own requests; less is better.
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

    /// Whether it must be tried now because its ejection has ended.
    fn probe_due(&self, now: Instant) -> bool {
        self.health.state(now) == HealthState::Probing
    }
}

/// What one pick among a subset may use.
pub(super) struct PickCriteria<'a> {
    pub(super) now: Instant,
    pub(super) available: &'a dyn Fn(&str) -> u32,
    pub(super) excluded: &'a [UpstreamName],
    pub(super) affinity: Option<u64>,
    pub(super) solo: bool,
}

/// Why no upstream of a subset was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PickError {
    /// None may be used.
    None,
    /// All that may be used are busy.
    Busy,
}

/// The table of upstreams in any of the daemon's subsets.
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

    /// Takes over what `old` knew of the upstreams that are still used or still run requests.
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

    /// Picks one of `subset` for a request that must run alone, or begins to empty one for it.
    ///
    /// Upstreams of which this daemon is the first keep suspects of different daemons apart.
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

    /// The time until the first ejected upstream of `subset` is tried again.
    pub(super) fn next_probe(&self, now: Instant, subset: &[ReplicaIndex]) -> Option<Duration> {
        subset
            .iter()
            .filter_map(|s| self.replicas[*s].health.ejected_until())
            .map(|until| until.saturating_duration_since(now))
            .min()
    }

    /// Picks one of `subset`: the affine one unless it is loaded, else the better of two.
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
