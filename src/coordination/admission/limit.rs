//! The number of requests that one daemon runs at once: its share of the upstreams' capacity.

use std::time::{Duration, Instant};

use crate::state::{
    objects::{Offer, Upstream},
    snapshot::Snapshot,
};

/// The part by which the daemons' limits together exceed the capacity, for uneven callers.
const OVERCOMMIT: f64 = 1.25;

/// The places beyond the slots that are held, so that more slots are asked for.
const SPARE_SLOTS: u32 = 2;

/// The factor by which the limit shrinks when upstreams turn out to be busy.
const DECREASE_FACTOR: f64 = 0.9;

/// The least time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The part of the daemon's share below which the limit does not shrink.
const MIN_FACTOR: f64 = 0.25;

/// An adaptive limit: it follows the share of capacity and gives way while upstreams are busy.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: Option<u32>,
    share: f64,
    factor: f64,
    decreased_at: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            slots: None,
            share: 1.0,
            factor: 1.0,
            decreased_at: None,
        }
    }
}

impl Limit {
    /// The requests that may run at once.
    pub fn max_running(&self) -> u32 {
        let share = (self.share * self.factor).round().max(1.0) as u32;
        let slots = self.slots.map_or(u32::MAX, |slots| {
            (f64::from(slots) * OVERCOMMIT) as u32 + SPARE_SLOTS
        });
        share.min(slots)
    }

    /// Takes in the requests that may run on all upstreams at once now.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Takes in the capacity of all upstreams that serve, split over `daemons`.
    pub fn set_capacity(&mut self, capacity: u32, daemons: usize) {
        let daemons = daemons.max(1);
        let overcommit = if daemons == 1 { 1.0 } else { OVERCOMMIT };
        self.share = f64::from(capacity) * overcommit / daemons as f64;
    }

    /// An admitted request found all upstreams busy.
    pub fn busy(&mut self, now: Instant) {
        let recent = self
            .decreased_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_DECREASE_INTERVAL);
        if recent {
            return;
        }
        self.decreased_at = Some(now);
        self.factor = (self.factor * DECREASE_FACTOR).max(MIN_FACTOR);
    }

    /// An admitted request was served.
    pub fn served(&mut self) {
        let step = 1.0 / (self.share * self.factor).max(1.0);
        self.factor = (self.factor + step * 0.1).min(1.0);
    }
}

/// The requests that all engines in service bear at once, warm.
pub fn engine_capacity(snapshot: &Snapshot) -> u32 {
    capacity(snapshot, |upstream| match &upstream.offer {
        Offer::Engine { warm, .. } => Some(*warm),
        Offer::Service { .. } => None,
    })
}

/// The requests that all upstreams of a plain service in service bear at once.
pub fn service_capacity(snapshot: &Snapshot, name: &str) -> u32 {
    capacity(snapshot, |upstream| match &upstream.offer {
        Offer::Service {
            service,
            concurrency,
        } if service == name => Some(*concurrency),
        _ => None,
    })
}

fn capacity(snapshot: &Snapshot, of: impl Fn(&Upstream) -> Option<u32>) -> u32 {
    let names = snapshot.objects.upstreams.keys();
    names
        .filter_map(|name| of(snapshot.in_service(name)?))
        .fold(0, u32::saturating_add)
}
