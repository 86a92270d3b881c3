//! Selects the versions that are eligible for a request, with the cause for each rejected one.

use std::time::Instant;

use crate::{
    coordination::{
        cascade::Candidate,
        quality::Estimate,
        rollout::Gate,
        routing::{NoRoute, Rejected, RejectionCause, RouteRequest, Views, times::CompletionTimes},
    },
    state::{
        objects::{Customer, MicroCost, Rule, Version, VersionName, VersionState},
        snapshot::Snapshot,
    },
};

/// A request and the state that determines which versions are eligible for it.
pub(super) struct CandidateQuery<'s, 'q> {
    pub(super) now: Instant,
    pub(super) snapshot: &'s Snapshot,
    pub(super) req: &'q RouteRequest,
    pub(super) customer: &'s Customer,
    pub(super) rule: &'s Rule,
    pub(super) views: &'q Views<'q>,
    pub(super) times: &'q CompletionTimes,
}

impl<'s> CandidateQuery<'s, '_> {
    /// Returns the eligible and the rejected versions.
    pub(super) fn candidates(&self) -> (Vec<Candidate<'s>>, Vec<Rejected>) {
        let max_tried_cost = self.max_tried_cost();
        let mut candidates = Vec::with_capacity(self.rule.versions.len());
        let mut rejected = Vec::new();
        for name in &self.rule.versions {
            if self.req.session.as_ref().is_some_and(|own| own != name) {
                continue;
            }
            match self.candidate(name, max_tried_cost) {
                Ok(candidate) => candidates.push(candidate),
                Err(cause) => rejected.push(Rejected::new(name, cause)),
            }
        }
        (candidates, rejected)
    }

    fn candidate(
        &self,
        name: &'s VersionName,
        max_tried_cost: Option<MicroCost>,
    ) -> Result<Candidate<'s>, RejectionCause> {
        let version = self.admissible(name)?;
        if max_tried_cost.is_some_and(|tried| version.cost <= tried) {
            return Err(RejectionCause::Tried);
        }
        let trials = self.views.trials;
        let gate = trials.gate(self.now, name, version, self.req);
        if let Some(cause) = gate.rejection() {
            return Err(cause);
        }
        let estimate = self.estimate(name, version, gate);
        let rollout = version.rollout.as_ref().filter(|_| gate == Gate::Trial);
        Ok(Candidate {
            version: name,
            cost: version.cost,
            pass_probability: estimate.mean,
            pass_upper_bound: estimate.high,
            completion_time: self.times.completion_time(name, self.req.class),
            replaces: rollout.map(|r| &r.replaces),
        })
    }

    fn estimate(&self, name: &str, version: &Version, gate: Gate) -> Estimate {
        let estimates = self.views.quality.of(&self.req.rule);
        let estimate = estimates.estimate(
            name,
            self.req.class,
            version.prior_quality,
            self.rule.quality,
        );
        match gate {
            Gate::LastResort => Estimate::ZERO,
            Gate::Suspected if self.delivers_unrated() => estimate.halved(),
            _ => estimate,
        }
    }

    /// Whether the response is delivered before it is rated.
    fn delivers_unrated(&self) -> bool {
        self.req.streamed || self.views.rating.is_none()
    }

    fn admissible(&self, name: &VersionName) -> Result<&'s Version, RejectionCause> {
        let version = self.snapshot.objects.versions.get(name);
        let version = version.ok_or(RejectionCause::Unknown)?;
        if !self.customer.versions.contains(name) {
            return Err(RejectionCause::NotAllowed);
        }
        match version.state {
            VersionState::Withdrawn => Err(RejectionCause::Withdrawn),
            VersionState::Draining if self.req.session.is_none() => Err(RejectionCause::Draining),
            _ if self.req.tried.contains(name) => Err(RejectionCause::Tried),
            VersionState::Draining | VersionState::Enabled => Ok(version),
        }
    }

    fn max_tried_cost(&self) -> Option<MicroCost> {
        let versions = &self.snapshot.objects.versions;
        let tried = self.req.tried.iter();
        tried.filter_map(|v| Some(versions.get(v)?.cost)).max()
    }
}

impl Rejected {
    pub(super) fn new(version: &VersionName, cause: RejectionCause) -> Self {
        Self {
            version: version.clone(),
            cause,
        }
    }
}

impl NoRoute {
    /// Returns the error for a request without any eligible version.
    pub(super) fn no_version(req: &RouteRequest, rejected: Vec<Rejected>) -> Self {
        use super::NoRouteCause::{Busy, NoVersion, NotAllowed, SessionEnded};
        let any_rejected = |cause| rejected.iter().any(|r| r.cause == cause);
        if any_rejected(RejectionCause::Exposure) {
            return Self::temporary(Busy, Self::BUSY_RETRY_AFTER, rejected);
        }
        if req.session.is_some() {
            return Self::permanent(SessionEnded, rejected);
        }
        if rejected
            .iter()
            .all(|r| r.cause == RejectionCause::NotAllowed)
        {
            return Self::permanent(NotAllowed, rejected);
        }
        if any_rejected(RejectionCause::Ejected) {
            return Self::temporary(NoVersion, Self::NO_UPSTREAM_RETRY_AFTER, rejected);
        }
        Self::permanent(NoVersion, rejected)
    }
}
