//! The router: maintains the daemon's subsets and chooses a version and an upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_xoshiro::Xoroshiro128PlusPlus;

use crate::{
    coordination::{
        cascade::{Candidate, Strategy, rank},
        hash::hash_text,
        membership::DaemonName,
        quality::{Quality, RequestClass},
        rollout::Trials,
        routing::{
            Choice, ChoiceId, NoRoute, NoRouteCause, Outcome, Reason, Rejected, RejectionCause,
            ReplicaView, Reservation, Reserved, RouteRequest, ServiceRequest, SoloRunId,
            candidates::CandidateQuery,
            pools::{PoolContext, Pools},
            replicas::{PickCriteria, PickError, ReplicaIndex, Replicas},
            times::CompletionTimes,
        },
    },
    state::{
        objects::{DomainName, UpstreamName},
        snapshot::Snapshot,
    },
};

/// Inputs of a routing decision besides the configuration.
pub struct Views<'a> {
    /// Number of requests that the permits allow to send to an upstream now.
    pub available: &'a dyn Fn(&str) -> u32,
    /// Estimated pass probabilities.
    pub quality: &'a Quality,
    /// Rollout trials and verdicts.
    pub trials: &'a Trials,
    /// Duration of a rating; `None` while responses can't be rated.
    pub rating: Option<Duration>,
}

/// Chooses versions and upstreams for one daemon.
#[derive(Debug)]
pub struct Router {
    daemon: DaemonName,
    failure_domain: DomainName,
    pools: Pools,
    leaving: Arc<[UpstreamName]>,
    stale: bool,
    replicas: Replicas,
    times: CompletionTimes,
    last_choice_id: ChoiceId,
    rng: Xoroshiro128PlusPlus,
}

impl Router {
    /// Creates the router of a daemon; `seed` makes its random choices reproducible.
    pub fn new(daemon: DaemonName, failure_domain: DomainName, seed: u64) -> Self {
        let seed = seed ^ hash_text(&daemon);
        Self {
            daemon,
            failure_domain,
            pools: Pools::default(),
            leaving: Arc::from([]),
            stale: true,
            replicas: Replicas::default(),
            times: CompletionTimes::default(),
            last_choice_id: 0,
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
        }
    }

    /// Sets the upstreams that are leaving; they get no new requests.
    pub fn set_leaving(&mut self, leaving: Arc<[UpstreamName]>) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.stale = true;
        }
    }

    /// Rebuilds the subsets if the configuration, the members or the leaving upstreams changed.
    ///
    /// `members` are the reachable daemons in name order, including this one.
    pub fn refresh(&mut self, snapshot: &Snapshot, members: &Arc<[DaemonName]>) {
        if self.pools.is_current(snapshot, members) && !self.stale {
            return;
        }
        let pool_context = PoolContext {
            daemon: &self.daemon,
            failure_domain: &self.failure_domain,
            leaving: &self.leaving,
        };
        let (pools, mut replicas) = Pools::build(&pool_context, snapshot, members);
        replicas.inherit(std::mem::take(&mut self.replicas));
        self.replicas = replicas;
        self.pools = pools;
        self.stale = false;
    }

    /// Reserves an upstream for a suspect request of this daemon or of a peer.
    pub fn reserve(&mut self, now: Instant, upstream: &str, by: Reservation) -> Reserved {
        self.replicas.reserve(now, upstream, by)
    }

    /// Releases a reservation.
    pub fn release(&mut self, upstream: &str, holder: SoloRunId) {
        self.replicas.release(upstream, holder);
    }

    /// Chooses a version and an upstream for a model request.
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
            return Err(NoRoute::permanent(NoRouteCause::Unknown, Vec::new()));
        };
        if !customer.rules.contains(&req.rule) {
            return Err(NoRoute::permanent(NoRouteCause::NotAllowed, Vec::new()));
        }
        let query = CandidateQuery {
            now,
            snapshot,
            req,
            customer,
            rule,
            views,
            times: &self.times,
        };
        let (candidates, rejected) = query.candidates();
        if candidates.is_empty() {
            return Err(NoRoute::no_version(req, rejected));
        }
        let ranked = rank(candidates, &strategy(now, req, views));
        let pick = PickCriteria {
            now,
            available: views.available,
            excluded: &req.excluded,
            affinity: req.affinity,
            solo: req.solo,
        };
        self.first_available(req, &ranked, &pick, rejected)
    }

    /// Returns the first version in order of preference that has a free upstream.
    fn first_available(
        &mut self,
        req: &RouteRequest,
        ranked: &[(Candidate<'_>, Reason)],
        pick: &PickCriteria<'_>,
        mut rejected: Vec<Rejected>,
    ) -> Result<Choice, NoRoute> {
        let mut busy = false;
        for (i, (candidate, reason)) in ranked.iter().enumerate() {
            let subset = self.pools.version(candidate.version);
            let cause = match self.replicas.pick(subset, pick, &mut self.rng) {
                Ok(index) => {
                    self.last_choice_id += 1;
                    return Ok(Choice {
                        id: self.last_choice_id,
                        version: candidate.version.clone(),
                        upstream: self.replicas.name(index).clone(),
                        reason: final_reason(req, i, *reason),
                        class: req.class,
                        pass_probability: candidate.pass_probability,
                        solo: req.solo,
                        rejected,
                    });
                }
                Err(PickError::Busy) => RejectionCause::Busy,
                Err(PickError::None) => RejectionCause::NoUpstream,
            };
            busy |= cause == RejectionCause::Busy;
            rejected.push(Rejected::new(candidate.version, cause));
        }
        if busy {
            return Err(NoRoute::temporary(
                NoRouteCause::Busy,
                NoRoute::BUSY_RETRY_AFTER,
                rejected,
            ));
        }
        let subsets = ranked.iter().map(|(c, _)| self.pools.version(c.version));
        let after = self.next_probe(pick.now, subsets);
        Err(NoRoute::temporary(
            NoRouteCause::NoUpstream,
            after,
            rejected,
        ))
    }

    /// Chooses an upstream for a request to a plain service.
    pub fn choose_service_upstream(
        &mut self,
        now: Instant,
        req: &ServiceRequest,
        available: &dyn Fn(&str) -> u32,
    ) -> Result<Choice, NoRoute> {
        let Some(subset) = self.pools.service(&req.service) else {
            return Err(NoRoute::permanent(NoRouteCause::Unknown, Vec::new()));
        };
        let pick = PickCriteria {
            now,
            available,
            excluded: &req.excluded,
            affinity: None,
            solo: req.solo,
        };
        match self.replicas.pick(subset, &pick, &mut self.rng) {
            Ok(index) => {
                self.last_choice_id += 1;
                Ok(Choice {
                    id: self.last_choice_id,
                    version: req.service.clone(),
                    upstream: self.replicas.name(index).clone(),
                    reason: Reason::Service,
                    class: RequestClass::Brief,
                    pass_probability: 1.0,
                    solo: req.solo,
                    rejected: Vec::new(),
                })
            }
            Err(PickError::Busy) => Err(NoRoute::temporary(
                NoRouteCause::Busy,
                NoRoute::BUSY_RETRY_AFTER,
                Vec::new(),
            )),
            Err(PickError::None) => {
                let after = self.next_probe(now, std::iter::once(subset));
                Err(NoRoute::temporary(
                    NoRouteCause::NoUpstream,
                    after,
                    Vec::new(),
                ))
            }
        }
    }

    /// Returns the time until the first ejected upstream is probed.
    fn next_probe<'a>(
        &self,
        now: Instant,
        subsets: impl Iterator<Item = &'a [ReplicaIndex]>,
    ) -> Duration {
        subsets
            .filter_map(|subset| self.replicas.next_probe(now, subset))
            .min()
            .unwrap_or(NoRoute::NO_UPSTREAM_RETRY_AFTER)
    }

    /// Records that a request was dispatched as chosen.
    pub fn started(&mut self, now: Instant, choice: &Choice) {
        self.replicas.started(now, &choice.upstream, choice.solo);
    }

    /// Records the outcome of a dispatched request.
    pub fn finished(&mut self, now: Instant, choice: &Choice, outcome: Outcome) {
        self.replicas
            .finished(now, &choice.upstream, choice.solo, outcome);
        if choice.reason != Reason::Service {
            self.times.add(&choice.version, choice.class, outcome);
        }
    }

    /// Returns the state of an upstream, if it is tracked.
    pub fn replica_view(&self, now: Instant, upstream: &str) -> Option<ReplicaView> {
        self.replicas.view(now, upstream)
    }

    /// Returns the names of the upstreams in the daemon's subset for a version.
    pub fn subset_of(&self, version: &str) -> Vec<UpstreamName> {
        let subset = self.pools.version(version).iter();
        subset.map(|s| self.replicas.name(*s).clone()).collect()
    }

    /// Number of upstreams with state in memory.
    pub fn tracked_upstreams(&self) -> usize {
        self.replicas.len()
    }
}

/// Returns why a version was chosen, given its rank in the order of preference.
fn final_reason(req: &RouteRequest, rank: usize, reason: Reason) -> Reason {
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

fn strategy(now: Instant, req: &RouteRequest, views: &Views<'_>) -> Strategy {
    match views.rating {
        Some(rating) if !req.streamed && req.session.is_none() => Strategy::Cascade {
            remaining: req.deadline.saturating_duration_since(now),
            rating,
        },
        _ => Strategy::SingleAttempt,
    }
}
