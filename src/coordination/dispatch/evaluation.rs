//! Evaluates the upstreams that a request may be placed on. Nothing is reserved, so that a placement can
//! also be explained.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::coordination::dispatch::{
    Dispatcher,
    assignment::{NoSlotReason, Placement, PlacementRequest},
    brittle::BrittleShare,
    candidates::CandidateSet,
    cost::{Candidate, cost},
    passed_over::{NO_UPSTREAM_RETRY_AFTER, PassedOver, Unusable},
    registry::Upstream,
    rollout::Arm,
};

/// The upstreams of one arm that were evaluated for a request.
#[derive(Debug)]
pub(super) struct Evaluation<'a> {
    /// The upstreams that were considered.
    pub(super) candidates: CandidateSet<'a>,
    /// The result for each of them.
    pub(super) evaluated: Vec<Evaluated<'a>>,
    /// Whether only other daemons may use the upstreams, which are brittle.
    pub(super) has_no_share: bool,
}

/// An upstream and its cost for a request, or why it cannot take it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evaluated<'a> {
    /// The upstream.
    pub(super) upstream: &'a Upstream,
    /// Its expected cost in milliseconds and what that follows from.
    pub(super) cost: Result<(f64, Candidate), Unusable>,
}

impl Dispatcher {
    /// Evaluates the upstreams of an arm; the random part of the costs is drawn from `seed`.
    pub(super) fn evaluate<'a>(
        &'a self,
        request: &PlacementRequest<'a>,
        arm: Option<Arm>,
        seed: u64,
        now: Instant,
    ) -> Evaluation<'a> {
        let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed);
        let listed = self.listed_in_arm(request.service, arm, now);
        let share = self
            .max_refusals(request.service, now)
            .map(|_| self.brittle_share(request.service, now));
        let has_shares = matches!(share, Some(BrittleShare::OfHolders(..)));
        let candidates = self.candidates(request, listed, has_shares, now);
        let service = self
            .routes
            .as_ref()
            .and_then(|r| r.service(request.service));
        let mut evaluated = Vec::with_capacity(candidates.upstreams.len());
        for upstream in &candidates.upstreams {
            let usable = self
                .check_usable(request, upstream, service, now)
                .and_then(|()| self.check_limit(upstream, &candidates.ring, now))
                .and_then(|()| match &share {
                    Some(share)
                        if !self.has_brittle_room(upstream, share, &candidates.ring, now) =>
                    {
                        Err(Unusable::Full)
                    }
                    _ => Ok(()),
                });
            let cost = usable.map(|()| {
                let candidate = self.candidate(request, upstream, &candidates, now);
                let cost = cost(&candidate, request.body_bytes, rng.random());
                (cost, candidate)
            });
            evaluated.push(Evaluated { upstream, cost });
        }
        Evaluation {
            candidates,
            evaluated,
            has_no_share: matches!(share, Some(BrittleShare::None)),
        }
    }

    /// Chooses the upstream with the lowest cost if it can respond in time.
    pub(super) fn choose<'a>(
        &self,
        request: &PlacementRequest<'_>,
        evaluation: &Evaluation<'a>,
    ) -> Result<(&'a Upstream, Candidate), Placement> {
        if evaluation.evaluated.is_empty() {
            let reason = NoSlotReason::NoneListed;
            return Err(Placement::Refuse(reason, NO_UPSTREAM_RETRY_AFTER));
        }
        if evaluation.has_no_share {
            let reason = NoSlotReason::NoShare;
            return Err(Placement::Refuse(reason, NO_UPSTREAM_RETRY_AFTER));
        }
        let mut passed_over = PassedOver::default();
        let mut best: Option<(f64, &'a Upstream, Candidate)> = None;
        for evaluated in &evaluation.evaluated {
            match evaluated.cost {
                Ok((cost, candidate)) if best.is_none_or(|(lowest, ..)| cost < lowest) => {
                    best = Some((cost, evaluated.upstream, candidate));
                }
                Ok(_) => {}
                Err(reason) => passed_over.record(reason),
            }
        }
        let Some((_, upstream, candidate)) = best else {
            return Err(passed_over.placement());
        };
        let known_backlog = candidate.backlog.min(self.observed_delay(request.service));
        let excess = (known_backlog + candidate.prefill_time).saturating_sub(request.remaining);
        match excess {
            Duration::ZERO => Ok((upstream, candidate)),
            _ => Err(Placement::Refuse(NoSlotReason::TooLate, excess)),
        }
    }

    fn candidate(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &Upstream,
        candidates: &CandidateSet<'_>,
        now: Instant,
    ) -> Candidate {
        Candidate {
            backlog: self.wait(upstream, now),
            prefill_time: self.prefill_time(request, upstream, candidates, now),
            running: self.running(upstream),
            slots: upstream.slots,
            failure_rate: upstream.health.failure_rate(now),
            cold: upstream.is_cold(now),
            remote: upstream.domain != self.domain,
            engine: request.prompt.is_some(),
        }
    }
}
