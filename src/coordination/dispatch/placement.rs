//! Selects upstreams and reserves their slots.

use std::time::{Duration, Instant};

use platform::{RowVersion, configuration::Service};
use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::coordination::dispatch::{
    Dispatcher,
    assignment::{Assignment, Placement, PlacementRequest},
    brittle::SharerRank,
    cold::{self, RateShare},
    cost::Candidate,
    heartbeat::DaemonName,
    passed_over::Unusable,
    prefix::PrefixBlock,
    rate_limit,
    registry::Upstream,
    rollout::{Arm, Rollout},
    subset::HashRing,
};

/// Added to the cold time of an upstream that refused connections, as its restart is not observed.
pub(super) const UNDETECTED_RESTART_MARGIN: Duration = Duration::from_secs(1);
/// Time after its start during which an upstream may be slow.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

impl Dispatcher {
    /// Selects an upstream for a request and reserves a slot there.
    pub fn select_upstream(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Placement {
        self.sessions
            .record(request.session, now, self.limits.session_timeout);
        self.detect_new_version(request.service, now);
        let arm = self
            .rollouts
            .get_mut(request.service)
            .map(|rollout| rollout.arm(request.session, now));
        match self.select_in_arm(request, arm, now) {
            // Fall back to the old version if the new one has no slot.
            Placement::Refuse(..) if arm == Some(Arm::New) => {
                self.select_in_arm(request, Some(Arm::Old), now)
            }
            placement => placement,
        }
    }

    fn select_in_arm(
        &mut self,
        request: &PlacementRequest<'_>,
        arm: Option<Arm>,
        now: Instant,
    ) -> Placement {
        let seed = self.rng.random();
        let evaluation = self.evaluate(request, arm, seed, now);
        let (upstream, candidate) = match self.choose(request, &evaluation) {
            Ok(chosen) => chosen,
            Err(placement) => return placement,
        };
        let candidates = evaluation.candidates;
        let Candidate {
            backlog,
            prefill_time,
            ..
        } = candidate;
        let rollout = self.rollouts.get(request.service);
        let mut assignment = Assignment {
            upstream: upstream.id.clone(),
            address: upstream.address,
            service: upstream.service.clone(),
            version: upstream.version.clone(),
            arm,
            route: route_hash(request.route),
            settled: upstream.age(now) >= WARM_UP_TIME,
            backlog,
            engine_index: candidates.ring.index(upstream.hash),
            engines: candidates.ring.count(),
            started_ms: upstream.started_ms,
            on_trial: false,
            order: rollout.map_or(RowVersion::default(), Rollout::order),
            expected_at: now,
            reserved_at: now,
            prefill_time,
            output_tokens: request.prompt.map_or(0, |prompt| prompt.max_output_tokens),
            model: request.model.map(Into::into),
            response_started: false,
            first_event_after: Duration::ZERO,
        };
        let blocks = candidates.blocks;
        self.reserve_slot(&mut assignment, &blocks, now);
        Placement::Assigned(Box::new(assignment))
    }

    /// Returns the upstreams of an arm of the rollout. Without one, upstreams of a version that no
    /// order has named yet are left out if there are others.
    pub(super) fn listed_in_arm<'a>(
        &'a self,
        service: &'a str,
        arm: Option<Arm>,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        let rollout = self.rollouts.get(service);
        let is_in_arm = |upstream: &Upstream| match (arm, rollout) {
            (Some(Arm::New), Some(rollout)) => upstream.version == rollout.target,
            (Some(Arm::Old), Some(rollout)) => upstream.version != rollout.target,
            _ => true,
        };
        let listed: Vec<&Upstream> = self.listed(service, now).filter(|u| is_in_arm(u)).collect();
        if arm.is_some() {
            return listed;
        }
        // Other daemons know of an order that this one has not read.
        let early = self.early_statuses.get(service);
        let settled: Vec<&Upstream> = listed
            .iter()
            .copied()
            .filter(|u| self.registry.is_settled(u, now))
            .filter(|u| early.is_none_or(|early| early.may_use(&u.version)))
            .collect();
        if settled.is_empty() { listed } else { settled }
    }

    /// Checks that an upstream can take a request now.
    pub(super) fn check_usable(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &Upstream,
        service: Option<&Service>,
        now: Instant,
    ) -> Result<(), Unusable> {
        let is_lost =
            self.reachability.is_cut_off() && self.reachability.is_unverified(&upstream.id);
        let is_unreachable = upstream.health.is_unreachable() && !upstream.health.is_usable(now);
        if is_lost || is_unreachable {
            return Err(Unusable::Unreachable);
        }
        if request.tried.contains(&upstream.id) {
            return Err(Unusable::Tried);
        }
        if upstream.health.is_paused(now) {
            return Err(Unusable::Paused(upstream.health.pause_left(now)));
        }
        if !upstream.health.is_usable(now) {
            return Err(Unusable::Unhealthy);
        }
        let is_full = self.running(upstream) >= upstream.slots * queue_factor(service);
        if is_full && !upstream.released.has_any(now) {
            return Err(Unusable::Full);
        }
        match upstream
            .is_cold(now)
            .then(|| self.cold_wait(upstream, service, now))
        {
            Some(Some(wait)) => Err(Unusable::Cold(wait)),
            _ => Ok(()),
        }
    }

    /// Checks that a limit that the upstream has named allows a request from this daemon now.
    pub(super) fn check_limit(
        &self,
        upstream: &Upstream,
        ring: &HashRing,
        now: Instant,
    ) -> Result<(), Unusable> {
        let Some(limit) = upstream.limit.per_second(now) else {
            return Ok(());
        };
        let RateShare::Rate(rate) = self.limit_share(limit, upstream, ring, now) else {
            return Err(Unusable::Limited(None));
        };
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        let since_last = upstream
            .sent_at
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        match interval.saturating_sub(since_last) {
            Duration::ZERO => Ok(()),
            wait => Err(Unusable::Limited(Some(wait))),
        }
    }

    fn reserve_slot(&mut self, assignment: &mut Assignment, blocks: &[PrefixBlock], now: Instant) {
        let rate = self.cold_share(&assignment.upstream, &assignment.service, now);
        if let Some(upstream) = self.registry.get_mut(&assignment.upstream) {
            upstream.running += 1;
            upstream.sent_at = Some(now);
            self.silence.sent(assignment, now);
            upstream.released.take();
            assignment.on_trial = upstream.health.request_sent();
            assignment.expected_at = upstream.queue.enqueue(assignment.prefill_time, now);
            if upstream.is_cold(now)
                && let Some(RateShare::Rate(rate)) = rate
            {
                upstream.cold_pacer.sent(rate, now);
            }
            self.prefixes.record_use(upstream.hash, blocks, now);
        }
        if let (Some(arm), Some(rollout)) =
            (assignment.arm, self.rollouts.get_mut(&assignment.service))
        {
            rollout.track_running(arm, true);
        }
    }

    /// Returns the delay before the next request to a cold upstream: `None` if it may be sent now,
    /// `Some(None)` if only other daemons use the upstream.
    fn cold_wait(
        &self,
        upstream: &Upstream,
        service: Option<&Service>,
        now: Instant,
    ) -> Option<Option<Duration>> {
        let service = service.filter(|service| service.cold_rate > 0.0)?;
        match self.share_of(upstream, service, now) {
            RateShare::None => Some(None),
            RateShare::Rate(_) => {
                let wait = upstream.cold_pacer.wait(now);
                (!wait.is_zero()).then_some(Some(wait))
            }
        }
    }

    fn cold_share(&self, upstream: &str, service: &str, now: Instant) -> Option<RateShare> {
        let service = self.routes.as_ref()?.service(service)?;
        let upstream = self.registry.get(upstream)?;
        (service.cold_rate > 0.0).then(|| self.share_of(upstream, service, now))
    }

    fn share_of(&self, upstream: &Upstream, service: &Service, now: Instant) -> RateShare {
        let rank = self.sharer_rank(upstream, self.peers.limit_sharers(now));
        cold::rate_share(service.cold_rate, rank.rank, rank.sharers)
    }

    /// Returns this daemon's share of a limit among the daemons that use the upstream.
    fn limit_share(
        &self,
        limit: f64,
        upstream: &Upstream,
        ring: &HashRing,
        now: Instant,
    ) -> RateShare {
        let (index, engines) = (ring.index(upstream.hash), ring.count());
        if !self.own_position().uses(index, engines) {
            return RateShare::None;
        }
        let SharerRank { rank, sharers } = self.sharers(upstream, ring, now);
        rate_limit::limit_share(limit, rank, sharers)
    }

    /// Returns this daemon's rank among those that use the upstream.
    pub(super) fn sharers(&self, upstream: &Upstream, ring: &HashRing, now: Instant) -> SharerRank {
        let (index, engines) = (ring.index(upstream.hash), ring.count());
        let users = self
            .peers
            .limit_sharers(now)
            .filter(|name| self.position_of(name).uses(index, engines));
        self.sharer_rank(upstream, users)
    }

    /// Returns this daemon's rank among the others with which it shares an upstream's rate.
    fn sharer_rank<'a>(
        &self,
        upstream: &Upstream,
        others: impl Iterator<Item = &'a DaemonName>,
    ) -> SharerRank {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), upstream.hash);
        let own_weight = weight(&self.me.name);
        let mut rank = SharerRank {
            rank: 0,
            sharers: 1,
        };
        for name in others {
            rank.sharers += 1;
            rank.rank += usize::from(weight(name) > own_weight);
        }
        rank
    }
}

/// Returns how many requests an upstream accepts per slot; plain upstreams also queue requests.
fn queue_factor(service: Option<&Service>) -> u32 {
    match service {
        Some(service) if service.engine.is_some() => 1,
        _ => 3,
    }
}

fn route_hash(route: &str) -> u32 {
    let hash = xxh3_64(route.as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}
