//! The router: subsets of the pools in force, and the choice of version and upstream.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use rand::SeedableRng;
use rand_xoshiro::Xoroshiro128PlusPlus;

use crate::{
    coordination::{
        cascade::{Candidate, Goal, rank},
        hash::hash_bytes,
        quality::Quality,
        rollout::{Gate, Trials},
        routing::{
            Choice, NoRoute, NoRouteWhy, Outcome, Reason, Rejected, ReplicaView, RouteRequest,
            ServiceRequest, SubsetSize, Why,
            replicas::{NoPick, Pick, Replicas, Slot},
            subset,
            times::Times,
        },
    },
    state::{
        objects::{Customer, DomainName, Rule, UpstreamName, Version, VersionName, VersionState},
        snapshot::{Generation, Snapshot},
    },
};

/// When to come back while all upstreams are busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When to come back while no upstream is in service.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What a decision may look at besides the configuration.
pub struct Views<'a> {
    /// The requests that may be sent to an upstream now, by its permits.
    pub available: &'a dyn Fn(&str) -> u32,
    /// The learned pass probabilities.
    pub quality: &'a Quality,
    /// The versions under trial and the verdicts.
    pub trials: &'a Trials,
    /// The time a rating takes; `None` while answers can't be rated.
    pub rating: Option<Duration>,
}

/// The upstreams of each pool that this daemon uses, for one configuration and fleet size.
#[derive(Debug, Default)]
struct Pools {
    generation: Generation,
    daemons: usize,
    versions: HashMap<VersionName, Box<[Slot]>>,
    services: HashMap<CompactString, Box<[Slot]>>,
}

/// Chooses versions and upstreams for one daemon.
#[derive(Debug)]
pub struct Router {
    daemon: CompactString,
    failure_domain: DomainName,
    pools: Pools,
    leaving: Arc<[UpstreamName]>,
    stale: bool,
    replicas: Replicas,
    times: Times,
    rng: Xoroshiro128PlusPlus,
}

impl Router {
    /// A router of the daemon of this name and failure domain.
    pub fn new(daemon: CompactString, failure_domain: DomainName, seed: u64) -> Self {
        let seed = seed ^ hash_bytes(daemon.as_bytes());
        Self {
            daemon,
            failure_domain,
            pools: Pools::default(),
            leaving: Arc::from([]),
            stale: true,
            replicas: Replicas::default(),
            times: Times::default(),
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
        }
    }

    /// Takes in the upstreams that are leaving; they get no new work.
    pub fn set_leaving(&mut self, leaving: Arc<[UpstreamName]>) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.stale = true;
        }
    }

    /// Rebuilds the subsets if the configuration or the number of daemons has changed.
    pub fn refresh(&mut self, snapshot: &Snapshot, daemons: usize) {
        let pools = &self.pools;
        if !self.stale && pools.generation == snapshot.generation && pools.daemons == daemons {
            return;
        }
        let mut replicas = Replicas::default();
        let mut pools = Pools {
            generation: snapshot.generation,
            daemons,
            ..Pools::default()
        };
        for version in snapshot.objects.versions.keys() {
            let subset = self.pool(snapshot, snapshot.engines(version), daemons, &mut replicas);
            pools.versions.insert(version.clone(), subset);
        }
        for service in snapshot.objects.services.keys() {
            let subset = self.pool(snapshot, snapshot.servers(service), daemons, &mut replicas);
            pools.services.insert(service.clone(), subset);
        }
        replicas.inherit(std::mem::take(&mut self.replicas));
        self.replicas = replicas;
        self.pools = pools;
        self.stale = false;
    }

    fn pool(
        &self,
        snapshot: &Snapshot,
        names: &[UpstreamName],
        daemons: usize,
        replicas: &mut Replicas,
    ) -> Box<[Slot]> {
        let members: Vec<_> = names
            .iter()
            .filter(|name| !self.leaving.contains(name))
            .filter_map(|name| Some((name, &snapshot.in_service(name)?.failure_domain)))
            .collect();
        let size = SubsetSize::of(members.len(), daemons);
        let chosen = subset(
            &self.daemon,
            &self.failure_domain,
            members.into_iter(),
            size,
        );
        chosen
            .into_iter()
            .map(|name| {
                let domain = snapshot.in_service(name).map(|u| &u.failure_domain);
                replicas.insert(name, domain == Some(&self.failure_domain))
            })
            .collect()
    }

    /// Chooses where a model request runs.
    pub fn choose(
        &mut self,
        now: Instant,
        snapshot: &Snapshot,
        req: &RouteRequest,
        views: &Views<'_>,
    ) -> Result<Choice, NoRoute> {
        let objects = &snapshot.objects;
        let customer = objects.customers.get(&req.customer);
        let rule = objects.rules.get(&req.rule);
        let (Some(customer), Some(rule)) = (customer, rule) else {
            return Err(NoRoute::never(NoRouteWhy::Unknown, Vec::new()));
        };
        if !customer.rules.contains(&req.rule) {
            return Err(NoRoute::never(NoRouteWhy::NotAllowed, Vec::new()));
        }
        let mut rejected = Vec::new();
        let candidates =
            self.candidates(now, snapshot, req, (customer, rule), views, &mut rejected);
        if candidates.is_empty() {
            return Err(no_version(req, rejected));
        }
        let goal = goal(now, req, views);
        let ranked = rank(candidates, &goal);
        self.first_free(now, req, &ranked, views, rejected)
    }

    fn candidates<'s>(
        &self,
        now: Instant,
        snapshot: &'s Snapshot,
        req: &RouteRequest,
        (customer, rule): (&Customer, &'s Rule),
        views: &Views<'_>,
        rejected: &mut Vec<Rejected>,
    ) -> Vec<Candidate<'s>> {
        let estimates = views.quality.of(&req.rule);
        let mut candidates = Vec::with_capacity(rule.versions.len());
        for name in &rule.versions {
            if req.session.as_ref().is_some_and(|pinned| pinned != name) {
                continue;
            }
            let version = snapshot.objects.versions.get(name);
            match admissible(name, version, customer, req) {
                Ok(version) => {
                    let gate = views.trials.gate(now, name, version, req);
                    if let Some(why) = gate.rejection() {
                        rejected.push(Rejected::new(name, why));
                        continue;
                    }
                    let pass = estimates.pass(name, req.class, version.prior_quality, rule.quality);
                    candidates.push(Candidate {
                        version: name,
                        cost: version.cost,
                        pass: if gate == Gate::LastResort { 0.0 } else { pass },
                        whole: self.times.whole(name, req.class),
                        replaces: replaced(gate, version),
                    });
                }
                Err(why) => rejected.push(Rejected::new(name, why)),
            }
        }
        candidates
    }

    fn first_free(
        &mut self,
        now: Instant,
        req: &RouteRequest,
        ranked: &[(Candidate<'_>, Reason)],
        views: &Views<'_>,
        mut rejected: Vec<Rejected>,
    ) -> Result<Choice, NoRoute> {
        let pick = Pick {
            now,
            available: views.available,
            excluded: &req.excluded,
            affinity: req.affinity,
            solo: req.solo,
        };
        let mut busy = false;
        for (i, (candidate, reason)) in ranked.iter().enumerate() {
            let subset = self.pools.versions.get(candidate.version.as_str());
            let subset = subset.map_or(&[][..], |s| s);
            match self.replicas.pick(subset, &pick, &mut self.rng) {
                Ok(slot) => {
                    return Ok(Choice {
                        version: candidate.version.clone(),
                        upstream: self.replicas.name(slot).clone(),
                        reason: self.reason(req, i, *reason),
                        pass: candidate.pass,
                        solo: req.solo,
                        rejected,
                    });
                }
                Err(NoPick::Busy) => {
                    busy = true;
                    rejected.push(Rejected::new(candidate.version, Why::Busy));
                }
                Err(NoPick::None) => {
                    rejected.push(Rejected::new(candidate.version, Why::NoUpstream));
                }
            }
        }
        if busy {
            return Err(NoRoute::later(NoRouteWhy::Busy, BUSY_RETRY_AFTER, rejected));
        }
        let after = ranked
            .iter()
            .filter_map(|(c, _)| self.pools.versions.get(c.version.as_str()))
            .filter_map(|subset| self.replicas.next_probe(now, subset))
            .min()
            .unwrap_or(NO_UPSTREAM_RETRY_AFTER);
        Err(NoRoute::later(NoRouteWhy::NoUpstream, after, rejected))
    }

    fn reason(&self, req: &RouteRequest, rank: usize, reason: Reason) -> Reason {
        if req.session.is_some() {
            return Reason::Session;
        }
        if rank > 0 {
            return Reason::Spill;
        }
        if !req.tried.is_empty() {
            return Reason::Escalation;
        }
        reason
    }

    /// Chooses where a request to a plain service runs.
    pub fn choose_server(
        &mut self,
        now: Instant,
        req: &ServiceRequest,
        available: &dyn Fn(&str) -> u32,
    ) -> Result<Choice, NoRoute> {
        let Some(subset) = self.pools.services.get(&req.service) else {
            return Err(NoRoute::never(NoRouteWhy::Unknown, Vec::new()));
        };
        let pick = Pick {
            now,
            available,
            excluded: &req.excluded,
            affinity: None,
            solo: req.solo,
        };
        match self.replicas.pick(subset, &pick, &mut self.rng) {
            Ok(slot) => Ok(Choice {
                version: req.service.clone(),
                upstream: self.replicas.name(slot).clone(),
                reason: Reason::Service,
                pass: 1.0,
                solo: req.solo,
                rejected: Vec::new(),
            }),
            Err(NoPick::Busy) => Err(NoRoute::later(
                NoRouteWhy::Busy,
                BUSY_RETRY_AFTER,
                Vec::new(),
            )),
            Err(NoPick::None) => {
                let after = self.replicas.next_probe(now, subset);
                let after = after.unwrap_or(NO_UPSTREAM_RETRY_AFTER);
                Err(NoRoute::later(NoRouteWhy::NoUpstream, after, Vec::new()))
            }
        }
    }

    /// A request was dispatched as chosen.
    pub fn started(&mut self, now: Instant, choice: &Choice) {
        self.replicas.started(now, &choice.upstream, choice.solo);
    }

    /// A dispatched request has ended.
    pub fn finished(
        &mut self,
        now: Instant,
        choice: &Choice,
        class: crate::coordination::quality::RequestClass,
        outcome: Outcome,
    ) {
        self.replicas
            .finished(now, &choice.upstream, choice.solo, outcome);
        if choice.reason != Reason::Service {
            self.times.add(&choice.version, class, outcome);
        }
    }

    /// What is known of an upstream in the daemon's subsets.
    pub fn replica(&self, now: Instant, upstream: &str) -> Option<ReplicaView> {
        self.replicas.view(now, upstream)
    }

    /// The names of the upstreams that the daemon uses for a version.
    pub fn subset_of(&self, version: &str) -> Vec<UpstreamName> {
        let subset = self.pools.versions.get(version);
        subset.map_or_else(Vec::new, |slots| {
            slots
                .iter()
                .map(|s| self.replicas.name(*s).clone())
                .collect()
        })
    }

    /// The number of upstreams about which anything is remembered.
    pub fn remembered(&self) -> usize {
        self.replicas.len()
    }
}

fn admissible<'s>(
    name: &VersionName,
    version: Option<&'s Version>,
    customer: &Customer,
    req: &RouteRequest,
) -> Result<&'s Version, Why> {
    let version = version.ok_or(Why::Unknown)?;
    if !customer.versions.contains(name) {
        return Err(Why::NotAllowed);
    }
    match version.state {
        VersionState::Withdrawn => return Err(Why::Withdrawn),
        VersionState::Draining if req.session.is_none() => return Err(Why::Draining),
        VersionState::Draining | VersionState::Enabled => {}
    }
    if req.tried.contains(name) {
        return Err(Why::Tried);
    }
    Ok(version)
}

fn replaced(gate: Gate, version: &Version) -> Option<&VersionName> {
    let rollout = version.rollout.as_ref()?;
    (gate == Gate::Trial).then_some(&rollout.replaces)
}

fn goal(now: Instant, req: &RouteRequest, views: &Views<'_>) -> Goal {
    match views.rating {
        Some(rating) if !req.streamed && req.session.is_none() => Goal::Cascade {
            remaining: req.deadline.saturating_duration_since(now),
            rating,
        },
        _ => Goal::Once,
    }
}

fn no_version(req: &RouteRequest, rejected: Vec<Rejected>) -> NoRoute {
    if rejected.iter().any(|r| r.why == Why::Exposure) {
        return NoRoute::later(NoRouteWhy::Busy, BUSY_RETRY_AFTER, rejected);
    }
    if req.session.is_some() {
        return NoRoute::never(NoRouteWhy::SessionEnded, rejected);
    }
    if !rejected.is_empty() && rejected.iter().all(|r| r.why == Why::NotAllowed) {
        return NoRoute::never(NoRouteWhy::NotAllowed, rejected);
    }
    if rejected.iter().any(|r| r.why == Why::Ejected) {
        return NoRoute::later(NoRouteWhy::NoVersion, NO_UPSTREAM_RETRY_AFTER, rejected);
    }
    NoRoute::never(NoRouteWhy::NoVersion, rejected)
}

impl NoRoute {
    fn never(why: NoRouteWhy, rejected: Vec<Rejected>) -> Self {
        Self {
            why,
            retry_after: None,
            rejected,
        }
    }

    fn later(why: NoRouteWhy, after: Duration, rejected: Vec<Rejected>) -> Self {
        Self {
            why,
            retry_after: Some(after),
            rejected,
        }
    }
}

impl Rejected {
    fn new(version: &VersionName, why: Why) -> Self {
        Self {
            version: version.clone(),
            why,
        }
    }
}
