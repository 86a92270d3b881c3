//! The concurrency limit of one daemon: its share of the upstreams' capacity.

use std::time::{Duration, Instant};

use crate::state::{
    objects::{Offer, Upstream},
    snapshot::Snapshot,
};

/// Ratio of the sum of all daemons' limits to the capacity; callers load daemons unevenly.
const OVERCOMMIT: f64 = 1.25;

/// Requests admitted beyond the held slots, so that demand for more slots becomes visible.
const SPARE_SLOTS: u32 = 2;

/// Multiplicative decrease of the limit when all upstreams are busy.
const DECREASE_FACTOR: f64 = 0.9;

/// Minimum time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum limit as a fraction of the daemon's share.
const MIN_FACTOR: f64 = 0.25;

/// An adaptive limit that follows the share of capacity and decreases while upstreams are busy.
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
    /// Returns the maximum number of requests that run at once.
    pub fn max_running(&self) -> u32 {
        let share = (self.share * self.factor).round().max(1.0) as u32;
        let slots = self.slots.map_or(u32::MAX, |slots| {
            (f64::from(slots) * OVERCOMMIT) as u32 + SPARE_SLOTS
        });
        share.min(slots)
    }

    /// Sets the number of slots currently held on all upstreams.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Sets the total capacity of the upstreams in service, split over `daemons`.
    pub fn set_capacity(&mut self, capacity: u32, daemons: usize) {
        let daemons = daemons.max(1);
        let overcommit = if daemons == 1 { 1.0 } else { OVERCOMMIT };
        self.share = f64::from(capacity) * overcommit / daemons as f64;
    }

    /// Sets the share of the capacity, in slots.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Decreases the limit after an admitted request found all upstreams busy.
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

    /// Increases the limit after an admitted request was served.
    pub fn served(&mut self) {
        let step = 1.0 / (self.share * self.factor).max(1.0);
        self.factor = (self.factor + step * 0.1).min(1.0);
    }
}

/// Returns the total warm concurrency limit of all engines in service.
pub fn engine_capacity(snapshot: &Snapshot) -> u32 {
    capacity(snapshot, |upstream| match &upstream.offer {
        Offer::Engine { warm, .. } => Some(*warm),
        Offer::Service { .. } => None,
    })
}

/// Returns the total concurrency limit of a plain service's upstreams in service.
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
