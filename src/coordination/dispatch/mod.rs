//! Decisions of the fleet that stands before the users' upstreams, free of I/O.
//!
//! One [`Dispatcher`] holds what a daemon believes and decides where each request goes. Time, seed
//! and counts come in as arguments, so that load patterns can be replayed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use derive_more::Display;
use platform::{
    DomainName, RowVersion, ServiceName, UpstreamId, VersionName,
    configuration::{Route, Service},
    headers::Prompt,
    orders::{Order, RolloutOrder, RolloutState},
    upstream::State,
};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::rows::RowCache;

pub mod budget;
pub mod choose;
pub mod cold;
pub mod escalation;
pub mod followers;
pub mod health;
pub mod peers;
pub mod poison;
pub mod prefix;
pub mod registry;
pub mod rollout;
pub mod routes;
pub mod sessions;
pub mod speed;

use budget::{RepeatBudget, RepeatLimit};
use choose::{Candidate, cost};
use cold::Part;
use followers::{Contender, Duty};
use health::Ended;
use peers::{Heartbeat, LoadReport, PeerId, Peers, Readiness, RolloutReport, TableState};
use poison::Poison;
use prefix::{Link, PrefixMemory};
use registry::{Registry, Upstream};
use rollout::{Arm, Rollout};
use routes::Routes;
use sessions::RecentSessions;
use speed::Speeds;

/// The longest pause for which a request waits until a cold upstream may be sent another.
const LONGEST_COLD_WAIT: Duration = Duration::from_millis(800);
/// When to come back if no upstream is known at all.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);
/// When to come back if all upstreams are full.
const FULL_RETRY: Duration = Duration::from_millis(250);
/// How long other daemons are told that the table was lost.
const TABLE_LOSS_MEMORY: Duration = Duration::from_secs(4);
/// How long an upstream may be slow after its start.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// How long it takes at most to find that an upstream crashed whose connections broke.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(1_200);
/// How long an upstream that refused connections may be cold once it is back, beside its own time.
const UNSEEN_RESTART_TIME: Duration = Duration::from_secs(1);

/// The limits that operators set for the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetLimits {
    /// How often requests may be sent again.
    pub repeats: RepeatLimit,
    /// How long requests of one session may be apart.
    pub session_time: Duration,
}

/// A request, as far as the choice of an upstream depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// The route's name.
    pub route: &'a str,
    /// A hash of its session, or of its id.
    pub session: u64,
    /// The model, where the system names it.
    pub model: Option<&'a str>,
    /// Its prompt.
    pub prompt: Option<&'a Prompt>,
    /// The size of its body.
    pub body_bytes: usize,
    /// Upstreams that have had it.
    pub tried: &'a [UpstreamId],
}

/// A place for one attempt; it must be given back to [`Dispatcher::finish`].
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The version that it runs.
    pub version: VersionName,
    /// Its part in a roll-out.
    pub arm: Option<Arm>,
    /// A hash of the route's name.
    route: u32,
    backlog: Duration,
    /// Whether the upstream has run for long enough to be judged by its speed.
    settled: bool,
    order: RowVersion,
    taken: Instant,
    reading: Duration,
    model: Option<CompactString>,
    begun: bool,
}

impl Ticket {
    /// The time expected until the answer begins.
    pub fn expected(&self) -> Duration {
        self.backlog + self.reading
    }
}

/// How good an answer was, as evidence for a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// It was whole.
    Good,
    /// The upstream answered with a failure, too late, or not at all.
    Failed,
    /// Its connection broke, perhaps with others.
    Broken,
}

/// Why no upstream can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum NoPlace {
    /// None is listed.
    NoneListed,
    /// All that are listed are out of use.
    NoneUsable,
    /// All have as many requests as they run at once.
    AllFull,
    /// All are cold and have had their part.
    AllCold,
}

/// What is done with a request.
#[derive(Debug)]
pub enum Choice {
    /// It goes to an upstream.
    Send(Ticket),
    /// It is asked about again after a pause.
    Wait(Duration),
    /// It cannot be served now.
    Refuse(NoPlace, Duration),
}

/// What a change of the operators' table means for the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Applied {
    /// A configuration is in force.
    #[display("configuration generation={_0}")]
    Configured(u64),
    /// A roll-out was ordered.
    #[display("rollout_ordered service={_0} target={_1}")]
    RolloutOrdered(ServiceName, VersionName),
    /// A roll-out was withdrawn.
    #[display("rollout_withdrawn service={_0}")]
    RolloutWithdrawn(ServiceName),
    /// A failure domain gets no more work.
    #[display("evacuated domain={_0}")]
    Evacuated(DomainName),
    /// A failure domain may get work again.
    #[display("restored domain={_0}")]
    Restored(DomainName),
    /// Nothing that matters here.
    #[display("unknown_row")]
    Nothing,
}

/// What one daemon believes, and the decisions that follow from it.
#[derive(Debug)]
pub struct Dispatcher {
    /// The upstreams.
    pub registry: Registry,
    /// The other daemons.
    pub peers: Peers,
    /// Requests that crash upstreams.
    pub poison: Poison,
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
    budgets: HashMap<ServiceName, RepeatBudget>,
    breaks: Vec<Break>,
    prefixes: PrefixMemory,
    speeds: Speeds,
    sessions: RecentSessions,
    peer_loads: HashMap<u64, PeerLoad>,
    rng: Xoshiro128PlusPlus,
}

/// A connection that broke, until it is known whether its upstream crashed.
#[derive(Clone, Debug)]
struct Break {
    upstream: UpstreamId,
    service: ServiceName,
    order: RowVersion,
    arm: Arm,
    route: u32,
    at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    running: u32,
    backlog: Duration,
}

impl Dispatcher {
    /// A daemon that knows nothing yet.
    pub fn new(me: PeerId, domain: DomainName, limits: FleetLimits, seed: u64) -> Self {
        Self {
            registry: Registry::default(),
            peers: Peers::default(),
            poison: Poison::default(),
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
            breaks: Vec::new(),
            prefixes: PrefixMemory::default(),
            speeds: Speeds::default(),
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

    /// Notes that the table did not answer this daemon.
    pub fn table_lost(&mut self, now: Instant) {
        self.table_lost = Some(now);
    }

    /// Notes that the table answers again.
    ///
    /// Entries that are missing then may come back only if others had lost the table as well: if
    /// it turned this daemon alone away, they have really been removed.
    pub fn table_back(&mut self, now: Instant) {
        let count = |state| {
            let living = self.peers.living(now);
            living.filter(|peer| peer.last.table == state).count()
        };
        if count(TableState::Lost) >= count(TableState::Answers) {
            self.registry.table_back(now);
        }
    }

    /// Applies an order; an older configuration never replaces a newer one.
    pub fn apply(&mut self, order: Order, version: RowVersion, now: Instant) -> Applied {
        match order {
            Order::Configure(configuration) => {
                let generation = configuration.generation;
                let current = self.routes.as_ref().map(|r| r.configuration().generation);
                if current.is_some_and(|current| current >= generation) {
                    return Applied::Nothing;
                }
                self.routes = Some(Arc::new(Routes::new(configuration)));
                Applied::Configured(generation)
            }
            Order::Rollout(order) => self.order_rollout(order, version, now),
            Order::RolloutWithdrawn(service) => Applied::RolloutWithdrawn(service),
            Order::Evacuate(domain) => {
                if !self.evacuated.insert(domain.clone()) {
                    return Applied::Nothing;
                }
                Applied::Evacuated(domain)
            }
            Order::Restore(domain) => self.restore(domain, now),
            Order::Unknown => Applied::Nothing,
        }
    }

    /// Takes the evacuations of a full read for the truth.
    pub fn replace_evacuations(&mut self, listed: &BTreeSet<DomainName>, now: Instant) {
        let ended: Vec<DomainName> = self.evacuated.difference(listed).cloned().collect();
        for domain in ended {
            self.restore(domain, now);
        }
    }

    /// Chooses where a request goes, and takes a place there.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Instant) -> Choice {
        self.sessions
            .note(ask.session, now, self.limits.session_time);
        self.note_new_version(ask.service, now);
        let arm = self
            .rollouts
            .get_mut(ask.service)
            .map(|rollout| rollout.arm(ask.session, now));
        match self.choose_in(ask, arm, now) {
            // The other version serves rather than nobody, unless it was found bad.
            Choice::Refuse(why, wait) => match (arm, why) {
                (Some(Arm::New), _) => self.choose_in(ask, Some(Arm::Old), now),
                _ => Choice::Refuse(why, wait),
            },
            chosen => chosen,
        }
    }

    /// Notes that the answer has begun, so that the prompt has been read.
    pub fn begun(&mut self, ticket: &mut Ticket, took: Duration) {
        if std::mem::replace(&mut ticket.begun, true) {
            return;
        }
        if let Some(upstream) = self.registry.get_mut(&ticket.upstream) {
            upstream.backlog = upstream.backlog.saturating_sub(ticket.reading);
        }
        if let (Some(arm), Some(rollout)) = (ticket.arm, self.rollouts.get_mut(&ticket.service))
            && rollout.order == ticket.order
            && ticket.settled
        {
            rollout.began(arm, ticket.route, ticket.reading, took);
        }
        // Behind others, or on a version on trial, the time says little of the model.
        if let Some(model) = &ticket.model
            && ticket.backlog.is_zero()
            && ticket.arm != Some(Arm::New)
        {
            self.speeds.note(model, ticket.reading, took);
        }
    }

    /// Gives a place back.
    pub fn finish(&mut self, ticket: &Ticket, ended: Ended, now: Instant) {
        let cold_time = self.cold_time(&ticket.service);
        if let Some(upstream) = self.registry.get_mut(&ticket.upstream) {
            upstream.running = upstream.running.saturating_sub(1);
            if !ticket.begun {
                upstream.backlog = upstream.backlog.saturating_sub(ticket.reading);
            }
            upstream.health.note(ended, now);
            if let (Ended::Unreachable, Some(cold)) = (ended, cold_time) {
                upstream.chill(now + cold + UNSEEN_RESTART_TIME);
            }
        }
        if ended == Ended::Unreachable {
            self.died(&ticket.upstream, now);
        }
        if let (Some(arm), Some(rollout)) = (ticket.arm, self.rollouts.get_mut(&ticket.service))
            && rollout.order == ticket.order
        {
            rollout.running(arm, false);
            if ended == Ended::Abandoned && !ticket.begun && ticket.settled {
                let waited = now.saturating_duration_since(ticket.taken);
                rollout.waited(arm, ticket.route, ticket.reading, waited);
            }
        }
    }

    /// The least time until an answer can be expected to begin at any upstream.
    pub fn expected_wait(&self, ask: &Ask<'_>, now: Instant) -> Option<Duration> {
        let links = self.links(ask);
        let listed: Vec<&Upstream> = self
            .registry
            .of_service(ask.service)
            .filter(|u| u.is_listed(now) && u.health.usable(now))
            .filter(|u| !self.evacuated.contains(&u.domain))
            .collect();
        let home = home_of(&links, &listed);
        let wait = |u: &Upstream| {
            u.backlog + self.peer_load(u).backlog + self.reading(ask, u, &links, home, now)
        };
        listed.into_iter().map(wait).min()
    }

    /// Notes the quality of an answer as evidence for a roll-out.
    ///
    /// A connection that broke counts only if its upstream is then found alive: the crash of an
    /// upstream breaks many, and says nothing of its version.
    pub fn judge(&mut self, ticket: &Ticket, quality: Quality, now: Instant) {
        let Some(arm) = ticket.arm else { return };
        if quality == Quality::Broken {
            self.breaks.push(Break {
                upstream: ticket.upstream.clone(),
                service: ticket.service.clone(),
                order: ticket.order,
                arm,
                route: ticket.route,
                at: now,
            });
            return;
        }
        if let Some(rollout) = self.rollouts.get_mut(&ticket.service)
            && rollout.order == ticket.order
        {
            rollout.answered(arm, ticket.route, quality == Quality::Failed);
        }
    }

    /// Notes that an upstream is dead or has started anew.
    pub fn died(&mut self, upstream: &str, now: Instant) {
        self.poison.died(upstream, now);
        self.breaks.retain(|broken| broken.upstream != upstream);
    }

    /// Notes a request of a caller, for the budget of repeats.
    pub fn request(&mut self, service: &str, now: Instant) {
        let limit = self.limits.repeats;
        self.budget(service).request(&limit, now);
    }

    /// Takes a repeat out of a service's budget.
    pub fn may_repeat(&mut self, service: &str, now: Instant) -> bool {
        let limit = self.limits.repeats;
        let daemons = self.peers.sharers(now).count() + 1;
        self.budget(service).take(&limit, daemons, now)
    }

    /// A target of a route, drawn by weight.
    pub fn draw_service(&mut self, route: &Route) -> Option<ServiceName> {
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

    /// What to tell the other daemons; of the sessions that stay with an old version, those learnt
    /// of within `bound_age`.
    pub fn heartbeat(
        &self,
        front: std::net::SocketAddr,
        readiness: Readiness,
        bound_age: Duration,
        now: Instant,
    ) -> Heartbeat {
        let loads = self
            .registry
            .all()
            .filter(|u| u.running > 0 || u.health.is_unreachable())
            .map(|u| LoadReport {
                upstream: u.hash,
                running: u.running,
                backlog: u.backlog,
                unreachable: u.health.is_unreachable() && !u.health.usable(now),
            })
            .collect();
        let rollouts = self
            .rollouts
            .iter()
            .map(|(service, rollout)| RolloutReport {
                service: service.clone(),
                order: rollout.order,
                state: rollout.state,
                elapsed: now.saturating_duration_since(rollout.started),
                evidence: rollout.own().clone(),
                bound: rollout.bound(bound_age, now),
            })
            .collect();
        Heartbeat {
            from: self.me.clone(),
            front,
            readiness,
            domain: self.domain.clone(),
            table: self.table_state(now),
            orders_newest: self.orders.newest(),
            upstreams_newest: self.upstreams.newest(),
            loads,
            rollouts,
            crashes: self.poison.told(),
        }
    }

    /// Takes in another daemon's heartbeat; tells whether it is of a new incarnation.
    pub fn hear(
        &mut self,
        heartbeat: Heartbeat,
        address: std::net::SocketAddr,
        now: Instant,
    ) -> bool {
        if heartbeat.from.name == self.me.name {
            return false;
        }
        self.poison.merge(&heartbeat.from, &heartbeat.crashes);
        for report in &heartbeat.rollouts {
            self.merge_rollout(&heartbeat.from, report, now);
        }
        self.chill_unreachable(&heartbeat.loads, now);
        let new = self.peers.hear(heartbeat, address, now);
        self.sum_loads(now);
        new
    }

    /// Drops what has lapsed; returns upstreams that are gone, and roll-outs to be decided.
    pub fn tick(&mut self, now: Instant) -> Vec<UpstreamId> {
        self.peers.expire(now);
        self.sum_loads(now);
        self.judge_breaks(now);
        let gone = self.registry.expire(now);
        for id in &gone {
            self.died(id, now);
        }
        gone
    }

    /// Roll-outs that ought to be decided now, and how.
    pub fn decide_rollouts(&mut self, now: Instant) -> Vec<(ServiceName, RolloutState)> {
        let session_time = self.limits.session_time;
        let mut decided = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if rollout.state != RolloutState::Running {
                continue;
            }
            if rollout.is_bad() {
                rollout.state = RolloutState::RolledBack;
            } else if rollout.may_complete(session_time, now) {
                rollout.state = RolloutState::Completed;
            } else {
                continue;
            }
            decided.push((service.clone(), rollout.state));
        }
        decided
    }

    /// The evidence on which a roll-out is decided, for the log.
    pub fn rollout_evidence(&self, service: &str) -> String {
        let rollout = self.rollouts.get(service);
        rollout.map(Rollout::evidence_text).unwrap_or_default()
    }

    /// Takes in a roll-out that the table or a peer knows of.
    pub fn learn_rollout(&mut self, known: KnownRollout, now: Instant) {
        let started = now.checked_sub(known.elapsed).unwrap_or(now);
        match self.rollouts.get_mut(&known.service) {
            Some(rollout) if rollout.order == known.order => {
                rollout.started = rollout.started.min(started);
                if rollout.state == RolloutState::Running {
                    rollout.state = known.state;
                }
            }
            _ => {}
        }
    }

    /// Whether this daemon, among those that live, is the first to act for all.
    pub fn is_first(&self, now: Instant) -> bool {
        self.peers
            .living(now)
            .filter(|peer| peer.last.readiness != Readiness::Leaving)
            .all(|peer| peer.last.from.name > self.me.name)
    }

    /// How this daemon learns of changes of the table.
    pub fn duty(&self, now: Instant) -> Duty {
        let me = Contender {
            name: &self.me.name,
            domain: &self.domain,
            lost: self.has_lost_table(now),
        };
        let others = self
            .peers
            .reliable(now)
            .filter(|peer| peer.last.readiness == Readiness::Ready)
            .map(|peer| Contender {
                name: &peer.last.from.name,
                domain: &peer.last.domain,
                lost: peer.last.table == TableState::Lost,
            });
        let contenders: Vec<Contender<'_>> = std::iter::once(me).chain(others).collect();
        followers::duty(&self.me.name, &contenders)
    }

    fn table_state(&self, now: Instant) -> TableState {
        match self.duty(now) {
            _ if self.has_lost_table(now) => TableState::Lost,
            Duty::Listen => TableState::NotAsked,
            Duty::Poll | Duty::Retry => TableState::Answers,
        }
    }

    fn has_lost_table(&self, now: Instant) -> bool {
        self.table_lost
            .is_some_and(|lost| now.saturating_duration_since(lost) < TABLE_LOSS_MEMORY)
    }

    fn order_rollout(&mut self, order: RolloutOrder, version: RowVersion, now: Instant) -> Applied {
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|known| known.order >= version) {
            return Applied::Nothing;
        }
        let mut rollout = Rollout::new(version, order.target.clone(), order.within, now);
        rollout.bind(self.sessions.recent(now, self.limits.session_time), now);
        self.rollouts.insert(order.service.clone(), rollout);
        Applied::RolloutOrdered(order.service, order.target)
    }

    fn restore(&mut self, domain: DomainName, now: Instant) -> Applied {
        if !self.evacuated.remove(&domain) {
            return Applied::Nothing;
        }
        // Its upstreams may have restarted unseen while they got no work.
        let cold_times: HashMap<ServiceName, Duration> = self.cold_times();
        for upstream in self.registry.all_mut().filter(|u| u.domain == domain) {
            if let Some(cold) = cold_times.get(&upstream.service) {
                upstream.chill(now + *cold);
            }
        }
        Applied::Restored(domain)
    }

    fn note_new_version(&mut self, service: &str, now: Instant) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let seen = self
            .registry
            .of_service(service)
            .any(|upstream| upstream.version == rollout.target && upstream.is_listed(now));
        if seen {
            rollout.saw_new(now);
        }
    }

    fn choose_in(&mut self, ask: &Ask<'_>, arm: Option<Arm>, now: Instant) -> Choice {
        let links = self.links(ask);
        let rollout = self.rollouts.get(ask.service);
        let target = rollout.map(|rollout| rollout.target.clone());
        let order = rollout.map_or(0, |rollout| rollout.order);
        let in_arm = |upstream: &Upstream| match (arm, &target) {
            (Some(Arm::New), Some(target)) => upstream.version == *target,
            (Some(Arm::Old), Some(target)) => upstream.version != *target,
            _ => true,
        };
        let listed: Vec<&Upstream> = self
            .registry
            .of_service(ask.service)
            .filter(|u| u.is_listed(now) && in_arm(u) && !self.evacuated.contains(&u.domain))
            .collect();
        if listed.is_empty() {
            return Choice::Refuse(NoPlace::NoneListed, NO_UPSTREAM_RETRY);
        }
        let settled: Vec<&Upstream> = listed
            .iter()
            .copied()
            .filter(|u| arm.is_some() || self.registry.is_settled(u, now))
            .collect();
        let listed = if settled.is_empty() { listed } else { settled };
        let service = self.routes.as_ref().and_then(|r| r.service(ask.service));
        let home = home_of(&links, &listed);
        let mut best: Option<(f64, &Upstream, Duration)> = None;
        let mut cold_wait: Option<Duration> = None;
        let mut full = false;
        for upstream in listed {
            let tried = ask.tried.contains(&upstream.id);
            if tried || !upstream.health.usable(now) {
                continue;
            }
            let peer = self.peer_load(upstream);
            let running = upstream.running + peer.running;
            if running >= upstream.slots * overbooking(service) {
                full = true;
                continue;
            }
            let cold = upstream.is_cold(now);
            if cold && let Some(wait) = self.cold_wait(upstream, service, now) {
                if let Some(wait) = wait {
                    cold_wait = Some(cold_wait.map_or(wait, |known| known.min(wait)));
                }
                continue;
            }
            let reading = self.reading(ask, upstream, &links, home, now);
            let candidate = Candidate {
                backlog: upstream.backlog + peer.backlog,
                reading,
                running,
                slots: upstream.slots,
                failure_rate: upstream.health.failure_rate(now),
                cold,
                far: upstream.domain != self.domain,
                engine: ask.prompt.is_some(),
            };
            let cost = cost(&candidate, ask.body_bytes, self.rng.random());
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, upstream, reading));
            }
        }
        let Some((_, upstream, reading)) = best else {
            return match cold_wait {
                Some(wait) if wait <= LONGEST_COLD_WAIT => Choice::Wait(wait),
                Some(wait) => Choice::Refuse(NoPlace::AllCold, wait),
                None if full => Choice::Refuse(NoPlace::AllFull, FULL_RETRY),
                None => Choice::Refuse(NoPlace::NoneUsable, NO_UPSTREAM_RETRY),
            };
        };
        let peer = self.peer_load(upstream);
        let ticket = Ticket {
            upstream: upstream.id.clone(),
            address: upstream.address,
            service: upstream.service.clone(),
            version: upstream.version.clone(),
            arm,
            route: route_hash(ask.route),
            settled: upstream.age(now) >= WARM_UP_TIME,
            backlog: upstream.backlog + peer.backlog,
            order,
            taken: now,
            reading,
            model: ask.model.map(Into::into),
            begun: false,
        };
        self.take_place(&ticket, &links, now);
        Choice::Send(ticket)
    }

    fn links(&self, ask: &Ask<'_>) -> Vec<Link> {
        let chain = |prompt| prefix::chain(ask.model.unwrap_or_default(), prompt);
        ask.prompt.map(chain).unwrap_or_default()
    }

    fn peer_load(&self, upstream: &Upstream) -> PeerLoad {
        let load = self.peer_loads.get(&upstream.hash);
        load.copied().unwrap_or_default()
    }

    fn take_place(&mut self, ticket: &Ticket, links: &[Link], now: Instant) {
        let rate = self.cold_part(&ticket.upstream, &ticket.service, now);
        if let Some(upstream) = self.registry.get_mut(&ticket.upstream) {
            upstream.running += 1;
            upstream.backlog += ticket.reading;
            if upstream.is_cold(now)
                && let Some(Part::Rate(rate)) = rate
            {
                upstream.pace.sent(rate, now);
            }
            self.prefixes.read(upstream.hash, links, now);
        }
        if let (Some(arm), Some(rollout)) = (ticket.arm, self.rollouts.get_mut(&ticket.service)) {
            rollout.running(arm, true);
        }
    }

    /// How long a cold upstream must wait for its next request: `Some(None)` if others use it.
    fn cold_wait(
        &self,
        upstream: &Upstream,
        service: Option<&Service>,
        now: Instant,
    ) -> Option<Option<Duration>> {
        let service = service.filter(|service| service.cold_rate > 0.0)?;
        match self.part_of(upstream, service, now) {
            Part::None => Some(None),
            Part::Rate(_) => {
                let wait = upstream.pace.wait(now);
                (!wait.is_zero()).then_some(Some(wait))
            }
        }
    }

    fn cold_part(&self, upstream: &str, service: &str, now: Instant) -> Option<Part> {
        let service = self.routes.as_ref()?.service(service)?;
        let upstream = self.registry.get(upstream)?;
        (service.cold_rate > 0.0).then(|| self.part_of(upstream, service, now))
    }

    fn part_of(&self, upstream: &Upstream, service: &Service, now: Instant) -> Part {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), upstream.hash);
        let mine = weight(&self.me.name);
        let mut rank = 0;
        let mut daemons = 1;
        for name in self.peers.sharers(now) {
            daemons += 1;
            rank += usize::from(weight(name) > mine);
        }
        cold::part(service.cold_rate, rank, daemons)
    }

    fn reading(
        &self,
        ask: &Ask<'_>,
        upstream: &Upstream,
        links: &[Link],
        home: Option<u64>,
        now: Instant,
    ) -> Duration {
        let Some(prompt) = ask.prompt else {
            return Duration::ZERO;
        };
        let held = self.prefixes.held(upstream.hash, links, now);
        let assumed = match home {
            Some(home) if home == upstream.hash => links.last().map_or(0, |link| link.tokens),
            _ => 0,
        };
        let unread = prompt.tokens.saturating_sub(held.max(assumed));
        self.speeds.reading(ask.model.unwrap_or_default(), unread)
    }

    fn chill_unreachable(&mut self, loads: &[LoadReport], now: Instant) {
        let cold_times = self.cold_times();
        for load in loads.iter().filter(|load| load.unreachable) {
            let upstream = self.registry.all_mut().find(|u| u.hash == load.upstream);
            if let Some(upstream) = &upstream {
                self.breaks.retain(|broken| broken.upstream != upstream.id);
            }
            if let Some(upstream) = upstream
                && let Some(cold) = cold_times.get(&upstream.service)
            {
                upstream.chill(now + *cold + UNSEEN_RESTART_TIME);
            }
        }
    }

    fn judge_breaks(&mut self, now: Instant) {
        let old = |broken: &Break| now.saturating_duration_since(broken.at) >= CRASH_NOTICE_TIME;
        let (judged, pending) = std::mem::take(&mut self.breaks).into_iter().partition(old);
        self.breaks = pending;
        let judged: Vec<Break> = judged;
        for broken in judged {
            if let Some(rollout) = self.rollouts.get_mut(&broken.service)
                && rollout.order == broken.order
            {
                rollout.answered(broken.arm, broken.route, true);
            }
        }
    }

    fn cold_times(&self) -> HashMap<ServiceName, Duration> {
        let services = self.routes.iter().flat_map(|r| &r.configuration().services);
        services
            .filter(|service| service.cold_rate > 0.0)
            .map(|service| (service.name.clone(), service.cold_time))
            .collect()
    }

    fn cold_time(&self, service: &str) -> Option<Duration> {
        let service = self.routes.as_ref()?.service(service)?;
        (service.cold_rate > 0.0).then_some(service.cold_time)
    }

    fn merge_rollout(&mut self, peer: &PeerId, report: &RolloutReport, now: Instant) {
        let known = KnownRollout {
            service: report.service.clone(),
            order: report.order,
            state: report.state,
            elapsed: report.elapsed,
        };
        self.learn_rollout(known, now);
        if let Some(rollout) = self.rollouts.get_mut(&report.service)
            && rollout.order == report.order
        {
            rollout.bind(report.bound.iter().copied(), now);
            rollout.merge(peer.clone(), report.evidence.clone());
        }
    }

    fn sum_loads(&mut self, now: Instant) {
        self.peer_loads.clear();
        for peer in self.peers.living(now) {
            for load in &peer.last.loads {
                let sum = self.peer_loads.entry(load.upstream).or_default();
                sum.running += load.running;
                sum.backlog += load.backlog;
            }
        }
    }

    fn budget(&mut self, service: &str) -> &mut RepeatBudget {
        self.budgets.entry(service.into()).or_default()
    }
}

/// A roll-out as the table or a peer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRollout {
    /// The service.
    pub service: ServiceName,
    /// The order's row version.
    pub order: RowVersion,
    /// How far it is.
    pub state: RolloutState,
    /// How long ago it was ordered.
    pub elapsed: Duration,
}

/// The requests in all that plain upstreams queue for each that they run.
fn overbooking(service: Option<&Service>) -> u32 {
    match service {
        Some(service) if service.engine.is_some() => 1,
        _ => 3,
    }
}

/// The engine that all daemons expect to hold a chain that they have not sent themselves.
fn home_of(links: &[Link], listed: &[&Upstream]) -> Option<u64> {
    let chain = links.last()?.chain;
    listed
        .iter()
        .filter(|u| u.state == State::Ready)
        .map(|u| u.hash)
        .max_by_key(|hash| xxh3_64_with_seed(&hash.to_le_bytes(), chain))
}

fn route_hash(route: &str) -> u32 {
    let hash = xxh3_64(route.as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}
