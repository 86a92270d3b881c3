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
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// The added cost of leaving the own failure domain, in seconds.
const DISTANCE_S: f64 = 0.002;

/// How long an upstream is kept free of new requests so that a suspect can run alone there.
const DRAIN_FOR_SOLO: Duration = Duration::from_secs(2);

/// The place of an upstream in the table.
pub(super) type Slot = usize;

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The whole answer came.
    #[display("answered")]
    Answered {
        /// From dispatch to the first token or byte.
        first_token: Duration,
        /// From dispatch to the end.
        whole: Duration,
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
    nearness: Nearness,
    in_flight: u32,
    solo: bool,
    drained_until: Option<Instant>,
    reservation: Option<Reservation>,
    first_token_s: f64,
    health: Health,
}

/// Identifies one solo run in the fleet.
pub type Holder = u64;

/// An upstream kept free of new requests, so that a suspect runs alone there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The solo run.
    pub holder: Holder,
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
pub(super) struct Nearness {
    /// Whether it is in the daemon's failure domain.
    pub(super) near: bool,
    /// Whether this daemon, of all, runs suspects there first.
    pub(super) own: bool,
}

impl Replica {
    fn new(name: UpstreamName, nearness: Nearness) -> Self {
        Self {
            name,
            nearness,
            in_flight: 0,
            solo: false,
            drained_until: None,
            reservation: None,
            first_token_s: FIRST_TOKEN_PRIOR_S,
            health: Health::default(),
        }
    }

    /// The expected wait behind this daemon's own requests; less is better.
    fn score(&self, now: Instant) -> f64 {
        let distance = if self.nearness.near { 0.0 } else { DISTANCE_S };
        let load = f64::from(self.in_flight + 1) / self.health.share(now);
        load * (self.first_token_s + distance)
    }

    fn usable(&self, now: Instant, solo: bool) -> bool {
        if self.solo || self.reserved(now) || !self.health.usable(now) {
            return false;
        }
        if solo {
            self.in_flight == 0
        } else {
            self.drained_until.is_none_or(|until| now >= until)
        }
    }

    fn reserved(&self, now: Instant) -> bool {
        self.reservation.is_some_and(|r| now < r.until)
    }

    /// Whether it must be tried now because its ejection has ended.
    fn due(&self, now: Instant) -> bool {
        self.health.state(now) == HealthState::Probing
    }
}

/// What one pick among a subset may use.
pub(super) struct Pick<'a> {
    pub(super) now: Instant,
    pub(super) available: &'a dyn Fn(&str) -> u32,
    pub(super) excluded: &'a [UpstreamName],
    pub(super) affinity: Option<u64>,
    pub(super) solo: bool,
}

/// Why no upstream of a subset was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoPick {
    /// None may be used.
    None,
    /// All that may be used are busy.
    Busy,
}

/// The table of upstreams in any of the daemon's subsets.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    slots: Vec<Replica>,
    index: HashMap<UpstreamName, Slot>,
}

impl Replicas {
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn slot(&self, name: &str) -> Option<Slot> {
        self.index.get(name).copied()
    }

    pub(super) fn insert(&mut self, name: &UpstreamName, nearness: Nearness) -> Slot {
        if let Some(slot) = self.slot(name) {
            return slot;
        }
        self.index.insert(name.clone(), self.slots.len());
        self.slots.push(Replica::new(name.clone(), nearness));
        self.slots.len() - 1
    }

    /// Takes over what `old` knew of the upstreams that are still used or still run requests.
    pub(super) fn inherit(&mut self, old: Self) {
        for replica in old.slots {
            match self.slot(&replica.name) {
                Some(slot) => {
                    let nearness = self.slots[slot].nearness;
                    self.slots[slot] = Replica {
                        nearness,
                        ..replica
                    };
                }
                None if replica.in_flight > 0 || replica.reservation.is_some() => {
                    self.index.insert(replica.name.clone(), self.slots.len());
                    self.slots.push(replica);
                }
                None => {}
            }
        }
    }

    pub(super) fn name(&self, slot: Slot) -> &UpstreamName {
        &self.slots[slot].name
    }

    pub(super) fn view(&self, now: Instant, name: &str) -> Option<ReplicaView> {
        let replica = &self.slots[self.slot(name)?];
        Some(ReplicaView {
            in_flight: replica.in_flight,
            first_token: Duration::from_secs_f64(replica.first_token_s),
            health: replica.health.state(now),
        })
    }

    pub(super) fn started(&mut self, now: Instant, name: &str, solo: bool) {
        let slot = self.insert(&name.into(), Nearness::default());
        let replica = &mut self.slots[slot];
        replica.in_flight += 1;
        replica.solo |= solo;
        replica.health.started(now);
    }

    pub(super) fn finished(&mut self, now: Instant, name: &str, solo: bool, outcome: Outcome) {
        let Some(slot) = self.slot(name) else {
            return;
        };
        let replica = &mut self.slots[slot];
        replica.in_flight = replica.in_flight.saturating_sub(1);
        if solo {
            replica.solo = false;
            replica.drained_until = None;
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
        let slot = self.insert(&name.into(), Nearness::default());
        let replica = &mut self.slots[slot];
        let other = replica.reservation.is_some_and(|r| r.holder != by.holder);
        if replica.solo || (other && replica.reserved(now)) {
            return Reserved::Contended;
        }
        replica.reservation = Some(by);
        Reserved::Granted {
            running: replica.in_flight,
        }
    }

    pub(super) fn release(&mut self, name: &str, holder: Holder) {
        if let Some(slot) = self.slot(name) {
            let replica = &mut self.slots[slot];
            replica.reservation.take_if(|r| r.holder == holder);
        }
    }

    /// Picks one of `subset` for a request that must run alone, or begins to empty one for it.
    ///
    /// Upstreams of which this daemon is the first keep suspects of different daemons apart.
    fn pick_solo(&mut self, subset: &[Slot], pick: &Pick<'_>) -> Result<Slot, NoPick> {
        let order = |slot: &Slot| {
            let replica = &self.slots[*slot];
            (replica.drained_until.is_none(), replica.in_flight)
        };
        let allowed: Vec<_> = subset
            .iter()
            .copied()
            .filter(|s| self.allowed(*s, pick))
            .collect();
        let is_own = |s: &Slot| self.slots[*s].nearness.own;
        let any_own = allowed.iter().any(is_own);
        let usable = || allowed.iter().copied().filter(|s| !any_own || is_own(s));
        let free = usable().filter(|s| self.free(*s, pick));
        if let Some(slot) = free.min_by_key(order) {
            return Ok(slot);
        }
        let Some(slot) = usable().min_by_key(order) else {
            return Err(NoPick::None);
        };
        self.slots[slot].drained_until = Some(pick.now + DRAIN_FOR_SOLO);
        Err(NoPick::Busy)
    }

    /// The time until the first ejected upstream of `subset` is tried again.
    pub(super) fn next_probe(&self, now: Instant, subset: &[Slot]) -> Option<Duration> {
        subset
            .iter()
            .filter_map(|s| self.slots[*s].health.ejected_until())
            .map(|until| until.saturating_duration_since(now))
            .min()
    }

    /// Picks one of `subset`: the affine one unless it is loaded, else the better of two.
    pub(super) fn pick(
        &mut self,
        subset: &[Slot],
        pick: &Pick<'_>,
        rng: &mut Xoroshiro128PlusPlus,
    ) -> Result<Slot, NoPick> {
        if pick.solo {
            return self.pick_solo(subset, pick);
        }
        if let Some(slot) = self.affine(subset, pick) {
            return Ok(slot);
        }
        if subset.is_empty() {
            return Err(NoPick::None);
        }
        let first = subset[rng.random_range(0..subset.len())];
        let second = subset[rng.random_range(0..subset.len())];
        match (self.free(first, pick), self.free(second, pick)) {
            (true, true) => Ok(self.better(first, second, pick.now)),
            (true, false) => Ok(first),
            (false, true) => Ok(second),
            (false, false) => self.scan(subset, pick, rng),
        }
    }

    fn scan(
        &self,
        subset: &[Slot],
        pick: &Pick<'_>,
        rng: &mut Xoroshiro128PlusPlus,
    ) -> Result<Slot, NoPick> {
        let start = rng.random_range(0..subset.len());
        let (before, after) = subset.split_at(start);
        let rotated = || after.iter().chain(before).copied();
        let best = rotated()
            .filter(|s| self.free(*s, pick))
            .reduce(|a, b| self.better(a, b, pick.now));
        if let Some(slot) = best {
            return Ok(slot);
        }
        if rotated().any(|s| self.allowed(s, pick)) {
            return Err(NoPick::Busy);
        }
        Err(NoPick::None)
    }

    fn affine(&self, subset: &[Slot], pick: &Pick<'_>) -> Option<Slot> {
        let key = pick.affinity?;
        let slot = subset
            .iter()
            .copied()
            .max_by_key(|s| mix(key ^ hash_pair("affinity", &self.slots[*s].name)))?;
        let total: u32 = subset.iter().map(|s| self.slots[*s].in_flight).sum();
        let mean = f64::from(total + 1) / subset.len() as f64;
        let bound = (mean * AFFINITY_LOAD_BOUND).ceil();
        let within = f64::from(self.slots[slot].in_flight + 1) <= bound;
        let returned = self.slots[slot].health.share(pick.now) >= 1.0;
        (within && returned && self.free(slot, pick)).then_some(slot)
    }

    fn better(&self, a: Slot, b: Slot, now: Instant) -> Slot {
        let (x, y) = (&self.slots[a], &self.slots[b]);
        if x.due(now) != y.due(now) {
            return if x.due(now) { a } else { b };
        }
        if y.score(now) < x.score(now) { b } else { a }
    }

    fn allowed(&self, slot: Slot, pick: &Pick<'_>) -> bool {
        let replica = &self.slots[slot];
        !pick.excluded.contains(&replica.name)
            && replica.health.state(pick.now) != HealthState::Ejected
    }

    fn free(&self, slot: Slot, pick: &Pick<'_>) -> bool {
        let replica = &self.slots[slot];
        replica.usable(pick.now, pick.solo)
            && !pick.excluded.contains(&replica.name)
            && (pick.available)(&replica.name) > 0
    }
}
