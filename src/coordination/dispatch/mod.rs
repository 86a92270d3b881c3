//! Placement and rollout decisions of the gateway, free of I/O.
//!
//! One [`Dispatcher`] holds a daemon's view of upstreams and peers and selects an upstream for each
//! request. Time, random seed and counts are passed in, so that tests can replay a load
//! deterministically.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use platform::{DomainName, ServiceName, TableEra, UpstreamId, configuration::Route};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::{coordination::admission::WaiterId, state::rows::RowCache};

pub mod announcements;
pub mod assignment;
pub mod brittle;
pub mod busy_reports;
mod candidates;
pub mod cold;
pub mod cost;
pub mod crash_evidence;
mod departed;
pub mod engine_speed;
pub mod escalation;
mod evaluation;
pub mod evidence;
pub mod explain;
pub mod fanout;
pub mod health;
pub mod heartbeat;
pub mod homes;
mod introductions;
pub mod liveness;
mod load_reports;
pub mod orders;
pub mod overload;
pub mod pace;
mod passed_over;
mod pauses;
mod peer_messages;
pub mod peers;
mod placement;
pub mod poison;
pub mod polling;
pub mod prefill_delay;
pub mod prefill_queue;
pub mod prefill_speed;
pub mod prefix;
pub mod presumed_cold;
pub mod rate_limit;
pub mod reachability;
pub mod registry;
mod release;
mod released_slots;
pub mod response_times;
pub mod retry_budget;
pub mod rollout;
mod rollout_decision;
pub mod routes;
pub mod sessions;
pub mod shared_loads;
mod silent_links;
mod slot_shares;
pub mod sticky_sessions;
pub mod subset;
pub mod waiting;

use busy_reports::BusyEngines;
use crash_evidence::CrashId;
use engine_speed::ModelPaces;
use heartbeat::{LoadReport, PeerId, Readiness, TableState};
use pauses::Pauses;
use peers::Peers;
use poison::{PoisonTracker, Suspects};
use prefill_delay::PrefillDelay;
use prefill_speed::PrefillSpeeds;
use prefix::PrefixIndex;
use presumed_cold::ColdPresumption;
use rate_limit::AnnouncedLimit;
use reachability::Reachability;
use registry::Registry;
use response_times::ExtraAttempts;
use retry_budget::{RetryBudget, RetryLimit, RetryUsage, SlackShare};
use rollout::Rollout;
use rollout_decision::{BrokenConnection, EarlyStatus};
use routes::Routes;
use sessions::RecentSessions;
use shared_loads::SharedLoads;
use silent_links::SilenceTracker;
use subset::HashRing;
use waiting::ServiceQueue;

pub use assignment::{Assignment, NoSlotReason, Placement, PlacementRequest, Quality};
pub use orders::Applied;
pub use pace::PaceSampler;
pub use rollout_decision::RolloutStatus;

/// Fleet-wide limits set by operators.
#[derive(Clone, Copy, Debug)]
pub struct FleetLimits {
    /// Limit on retries of failed requests.
    pub retries: RetryLimit,
    /// Maximum time between two requests of the same session.
    pub session_timeout: Duration,
    /// Maximum fraction of a service's requests that may reach a bad version, from 0 to 1.
    pub exposure: f64,
}

/// A daemon's view of upstreams and peers, and the decisions based on it.
#[derive(Debug)]
pub struct Dispatcher {
    /// The upstreams.
    pub registry: Registry,
    /// The other daemons.
    pub peers: Peers,
    /// Tracks requests that crash upstreams.
    pub poison: PoisonTracker,
    /// Whether this daemon's links to upstreams work.
    pub reachability: Reachability,
    silence: SilenceTracker,
    me: PeerId,
    domain: DomainName,
    /// Whether daemons take requests that others delegate to them.
    may_delegate: bool,
    /// Rate of this instance's link in Mbit/s, if known.
    link_mbps: u32,
    /// Number of heartbeats that this incarnation has sent.
    heartbeats_sent: u32,
    /// The part of the fleet that receives the next periodic heartbeat.
    fanout_part: u32,
    limits: FleetLimits,
    routes: Option<Arc<Routes>>,
    /// Rows of the operators' table.
    pub orders: RowCache,
    /// Rows of the upstreams' table.
    pub upstreams: RowCache,
    table_lost: Option<Instant>,
    table_era: TableEra,
    evacuated: BTreeSet<DomainName>,
    rollouts: BTreeMap<ServiceName, Rollout>,
    early_statuses: HashMap<ServiceName, EarlyStatus>,
    budgets: HashMap<ServiceName, RetryBudget>,
    /// From when on this daemon has a part of the retry budget's slack.
    slack_from: Option<Instant>,
    extra_attempts: ExtraAttempts,
    broken_connections: Vec<BrokenConnection>,
    /// What the newest answers of services' upstreams said of refusals.
    brittle: HashMap<ServiceName, AnnouncedLimit>,
    presumed_cold: Vec<ColdPresumption>,
    prefixes: PrefixIndex,
    prefill_speeds: PrefillSpeeds,
    model_paces: ModelPaces,
    prefill_delays: HashMap<ServiceName, PrefillDelay>,
    sessions: RecentSessions,
    peer_loads: HashMap<u64, PeerLoad>,
    shared_loads: SharedLoads,
    /// Number of other daemons from which on loads go only to the users of an engine.
    large_fleet: usize,
    busy: BusyEngines,
    /// This daemon and the others that may hold a share of fleet-wide limits.
    daemon_ring: HashRing,
    pauses: Pauses,
    /// Hashes of the engines whose prompts this daemon is notified of.
    own_subset: HashSet<u64>,
    /// The waiting requests and the counts of each service.
    queues: HashMap<ServiceName, ServiceQueue>,
    /// Id of the newest request that may wait.
    last_waiter: WaiterId,
    rng: Xoshiro128PlusPlus,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    running: u32,
    overdue: Duration,
}

impl From<&LoadReport> for PeerLoad {
    fn from(load: &LoadReport) -> Self {
        Self {
            running: load.running,
            overdue: Duration::from_millis(load.overdue_ms.into()),
        }
    }
}

impl PeerLoad {
    fn add(&mut self, load: Self) {
        self.running = self.running.saturating_add(load.running);
        self.overdue = self.overdue.saturating_add(load.overdue);
    }

    fn subtract(&mut self, load: Self) {
        self.running = self.running.saturating_sub(load.running);
        self.overdue = self.overdue.saturating_sub(load.overdue);
    }
}

impl Dispatcher {
    /// Creates a dispatcher without any routes, upstreams or peers.
    pub fn new(me: PeerId, domain: DomainName, limits: FleetLimits, seed: u64) -> Self {
        let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed);
        Self {
            registry: Registry::default(),
            peers: Peers::default(),
            poison: PoisonTracker::default(),
            reachability: Reachability::default(),
            silence: SilenceTracker::default(),
            me,
            domain,
            may_delegate: true,
            link_mbps: 0,
            heartbeats_sent: 0,
            // Daemons that start together must not all send to the same ones at a time.
            fanout_part: rng.random::<u16>().into(),
            limits,
            routes: None,
            orders: RowCache::default(),
            upstreams: RowCache::default(),
            table_lost: None,
            table_era: 0,
            evacuated: BTreeSet::new(),
            rollouts: BTreeMap::new(),
            early_statuses: HashMap::new(),
            budgets: HashMap::new(),
            slack_from: None,
            extra_attempts: ExtraAttempts::default(),
            broken_connections: Vec::new(),
            brittle: HashMap::new(),
            presumed_cold: Vec::new(),
            prefixes: PrefixIndex::default(),
            prefill_speeds: PrefillSpeeds::default(),
            model_paces: ModelPaces::default(),
            prefill_delays: HashMap::new(),
            sessions: RecentSessions::default(),
            peer_loads: HashMap::new(),
            shared_loads: SharedLoads::default(),
            large_fleet: shared_loads::LARGE_FLEET,
            busy: BusyEngines::default(),
            daemon_ring: HashRing::default(),
            pauses: Pauses::default(),
            own_subset: HashSet::new(),
            queues: HashMap::new(),
            last_waiter: 0,
            rng,
        }
    }

    /// Returns the active configuration, if any.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.clone()
    }

    /// Returns the generation of the active configuration; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.routes
            .as_ref()
            .map_or(0, |routes| routes.configuration().generation)
    }

    /// Returns the rollouts by service.
    pub fn rollouts(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        self.rollouts.iter()
    }

    /// Sets the rate of this instance's link in Mbit/s.
    pub fn set_link_mbps(&mut self, link_mbps: u32) {
        self.link_mbps = link_mbps;
    }

    /// Sets whether daemons take requests that others delegate to them.
    pub fn set_may_delegate(&mut self, may_delegate: bool) {
        self.may_delegate = may_delegate;
    }

    /// Replaces the operators' limits.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
    }

    /// Counts a caller's request towards the retry budget of its service; returns the time as of which it counts.
    ///
    /// One daemon of the fleet must count each request: the limit is shared by its ratio of all requests.
    ///
    /// Load pattern: a daemon that stood still reads the requests of several seconds at once. Counted for the time
    /// after the pause, they would allow retries beside the requests that are sent then.
    pub fn record_request(&mut self, service: &str, now: Instant) -> Instant {
        self.extra_attempts.record_request(service);
        let at = self.pauses.earliest_send(now);
        self.count_request(service, at);
        at
    }

    /// Counts a request as of a time, also one that was withdrawn and is not counted by another daemon.
    pub fn count_request(&mut self, service: &str, at: Instant) {
        let limit = self.limits.retries;
        self.budget(service).record_request(&limit, at);
    }

    /// Takes back a request that was counted as of a time, as another daemon counts it.
    pub fn withdraw_request(&mut self, service: &str, at: Instant) {
        let limit = self.limits.retries;
        self.budget(service).withdraw_request(&limit, at);
    }

    /// Reserves a retry in the service's budget; returns whether one was left.
    pub fn reserve_retry(&mut self, service: &str, now: Instant) -> bool {
        let limit = self.limits.retries;
        let share = self.slack_share(now);
        self.budget(service).try_reserve(&limit, share, now)
    }

    /// Charges a reserved retry, which is sent now.
    pub fn spend_retry(&mut self, service: &str, now: Instant) {
        let limit = self.limits.retries;
        self.budget(service).spend_reserved(&limit, now);
    }

    /// Returns a reserved retry that isn't sent.
    pub fn return_retry(&mut self, service: &str) {
        self.budget(service).return_reserved();
    }

    /// Returns what this daemon has counted towards a service's retry budget.
    pub fn retry_usage(&mut self, service: &str, now: Instant) -> RetryUsage {
        let limit = self.limits.retries;
        let share = self.slack_share(now);
        self.budget(service).usage(&limit, share, now)
    }

    /// Allows this daemon's part of the slack from a time on. Until this is called it has none.
    pub fn set_slack_from(&mut self, from: Instant) {
        self.slack_from = Some(from);
    }

    fn slack_share(&self, now: Instant) -> SlackShare {
        match self.slack_from.is_some_and(|from| from <= now) {
            true => SlackShare::OneOf(self.peers.slack_sharers() + 1),
            false => SlackShare::Withheld,
        }
    }

    /// Returns the services for which requests were counted.
    pub fn counted_services(&self) -> Vec<ServiceName> {
        self.budgets.keys().cloned().collect()
    }

    /// Returns the length of the newest pause of this process, once.
    pub fn take_pause(&mut self) -> Option<Duration> {
        self.pauses.take_newest()
    }

    /// Picks one of the route's target services at random, by weight.
    pub fn pick_service(&mut self, route: &Route) -> Option<ServiceName> {
        draw_service(route, &mut self.rng)
    }

    /// Expires stale state; returns the upstreams that were removed.
    pub fn tick(&mut self, now: Instant) -> Vec<UpstreamId> {
        self.pauses.tick(now);
        self.judge_silent_probes(now);
        self.expire_unverified(now);
        self.expire_held(now);
        self.peers.expire(now);
        self.sum_peer_loads(now);
        self.update_shares(now);
        self.update_daemon_ring(now);
        self.update_own_subset(now);
        self.update_shared_loads(now);
        self.resolve_broken_connections(now);
        self.poison.expire(now);
        let expired = self.registry.expire(now);
        for id in &expired {
            self.upstream_stopped(id, now);
        }
        expired
    }

    /// Records that an upstream has begun to respond to a request.
    pub fn run_began(&mut self, assignment: &Assignment, suspects: &Suspects, now: Instant) {
        let incarnation = self.incarnation(&assignment.upstream);
        let sent_at = assignment.reserved_at;
        self.poison
            .run_began(&assignment.upstream, incarnation, suspects, sent_at, now);
    }

    /// Records that the connection of a request to an upstream broke.
    pub fn connection_broken(
        &mut self,
        assignment: &Assignment,
        suspects: &Suspects,
        now: Instant,
    ) {
        let incarnation = self.incarnation(&assignment.upstream);
        self.poison
            .connection_broken(&assignment.upstream, incarnation, suspects, now);
    }

    /// Returns a hash of an upstream's incarnation, the same on all daemons.
    pub(super) fn incarnation(&self, upstream: &str) -> CrashId {
        let started_ms = self.registry.get(upstream).and_then(|u| u.started_ms);
        registry::hash_of(upstream) ^ started_ms.unwrap_or_default()
    }

    /// Returns how many live daemons with table connectivity precede this one in writing to the
    /// table.
    pub fn writer_rank(&self, now: Instant) -> u32 {
        self.peers
            .reporting(now)
            .filter(|peer| peer.last_heartbeat.readiness != Readiness::Leaving)
            .filter(|peer| peer.last_heartbeat.table != TableState::Lost)
            .filter(|peer| self.has_lost_table(now) || peer.last_heartbeat.from.name < self.me.name)
            .fold(0, |before, _| before + 1)
    }

    /// Draws an index below `len`; `None` if that is 0.
    fn draw_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        self.budgets.entry(service.into()).or_default()
    }
}

fn draw_service(route: &Route, rng: &mut impl Rng) -> Option<ServiceName> {
    let total: f64 = route.split.iter().map(|target| target.weight).sum();
    let mut draw = rng.random::<f64>() * total;
    for target in &route.split {
        draw -= target.weight;
        if draw < 0.0 {
            return Some(target.service.clone());
        }
    }
    route.split.last().map(|target| target.service.clone())
}

/// Returns whole milliseconds for a message, at most the maximum of the type.
fn as_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
