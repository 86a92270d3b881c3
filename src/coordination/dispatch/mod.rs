//! Decisions of the fleet that stands before the users' upstreams, free of I/O.
//!
//! One [`Dispatcher`] holds what a daemon believes and decides where each request goes. Time, seed
//! and counts come in as arguments, so that load patterns can be replayed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use platform::{DomainName, ServiceName, UpstreamId, configuration::Route};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::state::rows::RowCache;

pub mod assignment;
pub mod cold;
pub mod cost;
pub mod escalation;
pub mod evidence;
pub mod health;
pub mod orders;
pub mod pace;
mod peer_messages;
pub mod peers;
mod placement;
pub mod poison;
pub mod polling;
pub mod prefill_queue;
pub mod prefill_speed;
pub mod prefix;
pub mod registry;
pub mod retry_budget;
pub mod rollout;
mod rollout_decision;
pub mod routes;
pub mod sessions;
pub mod subset;

use peers::{PeerId, Peers, Readiness, TableState};
use poison::PoisonTracker;
use prefill_speed::PrefillSpeeds;
use prefix::PrefixIndex;
use registry::Registry;
use retry_budget::{RetryBudget, RetryLimit};
use rollout::Rollout;
use rollout_decision::BrokenConnection;
use routes::Routes;
use sessions::RecentSessions;

pub use assignment::{Assignment, NoSlotReason, Placement, PlacementRequest, Quality};
pub use orders::Applied;
pub use pace::PaceSampler;
pub use rollout_decision::RolloutStatus;

/// The limits that operators set for the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetLimits {
    /// How often requests may be sent again.
    pub retries: RetryLimit,
    /// How long requests of one session may be apart.
    pub session_timeout: Duration,
    /// The part of a service's requests that may reach a bad version, from 0 to 1.
    pub exposure: f64,
}

/// What one daemon believes, and the decisions that follow from it.
#[derive(Debug)]
pub struct Dispatcher {
    /// The upstreams.
    pub registry: Registry,
    /// The other daemons.
    pub peers: Peers,
    /// Requests that crash upstreams.
    pub poison: PoisonTracker,
    me: PeerId,
    domain: DomainName,
    limits: FleetLimits,
    routes: Option<Arc<Routes>>,
    /// The rows of the operators' table.
    pub orders: RowCache,
    /// The rows of the upstreams' table.
    pub upstreams: RowCache,
    table_lost: Option<Instant>,
    evacuated: BTreeSet<DomainName>,
    rollouts: BTreeMap<ServiceName, Rollout>,
    budgets: HashMap<ServiceName, RetryBudget>,
    broken_connections: Vec<BrokenConnection>,
    prefixes: PrefixIndex,
    prefill_speeds: PrefillSpeeds,
    sessions: RecentSessions,
    peer_loads: HashMap<u64, PeerLoad>,
    rng: Xoshiro128PlusPlus,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    running: u32,
    overdue: Duration,
}

impl Dispatcher {
    /// A daemon that knows nothing yet.
    pub fn new(me: PeerId, domain: DomainName, limits: FleetLimits, seed: u64) -> Self {
        Self {
            registry: Registry::default(),
            peers: Peers::default(),
            poison: PoisonTracker::default(),
            me,
            domain,
            limits,
            routes: None,
            orders: RowCache::default(),
            upstreams: RowCache::default(),
            table_lost: None,
            evacuated: BTreeSet::new(),
            rollouts: BTreeMap::new(),
            budgets: HashMap::new(),
            broken_connections: Vec::new(),
            prefixes: PrefixIndex::default(),
            prefill_speeds: PrefillSpeeds::default(),
            sessions: RecentSessions::default(),
            peer_loads: HashMap::new(),
            rng: Xoshiro128PlusPlus::seed_from_u64(seed),
        }
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.clone()
    }

    /// The roll-outs, by service.
    pub fn rollouts(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        self.rollouts.iter()
    }

    /// Puts new limits in force.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
    }

    /// Notes a request of a caller, for the budget of repeats.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let limit = self.limits.retries;
        self.budget(service).record_request(&limit, now);
    }

    /// Takes a repeat out of a service's budget.
    pub fn try_retry(&mut self, service: &str, now: Instant) -> bool {
        let limit = self.limits.retries;
        let daemons = self.peers.limit_sharers(now).count() + 1;
        self.budget(service).try_take(&limit, daemons, now)
    }

    /// A target of a route, drawn by weight.
    pub fn pick_service(&mut self, route: &Route) -> Option<ServiceName> {
        let total: f64 = route.split.iter().map(|target| target.weight).sum();
        let mut draw = self.rng.random::<f64>() * total;
        for target in &route.split {
            draw -= target.weight;
            if draw < 0.0 {
                return Some(target.service.clone());
            }
        }
        route.split.last().map(|target| target.service.clone())
    }

    /// Drops what has lapsed; returns upstreams that are gone, and roll-outs to be decided.
    pub fn tick(&mut self, now: Instant) -> Vec<UpstreamId> {
        self.peers.expire(now);
        self.sum_peer_loads(now);
        self.resolve_broken_connections(now);
        let expired = self.registry.expire(now);
        for id in &expired {
            self.upstream_stopped(id, now);
        }
        expired
    }

    /// How many daemons that live and are answered by the table act for all before this one.
    pub fn writer_rank(&self, now: Instant) -> u32 {
        self.peers
            .live(now)
            .filter(|peer| peer.last_heartbeat.readiness != Readiness::Leaving)
            .filter(|peer| peer.last_heartbeat.table != TableState::Lost)
            .filter(|peer| self.has_lost_table(now) || peer.last_heartbeat.from.name < self.me.name)
            .fold(0, |before, _| before + 1)
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        self.budgets.entry(service.into()).or_default()
    }
}
