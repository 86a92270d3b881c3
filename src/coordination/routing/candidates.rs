//! The versions that may answer a request, and why the others may not.

use std::time::Instant;

use crate::{
    coordination::{
        cascade::Candidate,
        quality::Estimate,
        rollout::Gate,
        routing::{NoRoute, Rejected, RouteRequest, Views, Why, times::Times},
    },
    state::{
        objects::{Customer, MicroCost, Rule, Version, VersionName, VersionState},
        snapshot::Snapshot,
    },
};

/// A request with all that decides which versions may answer it.
pub(super) struct Asked<'s, 'q> {
    pub(super) now: Instant,
    pub(super) snapshot: &'s Snapshot,
    pub(super) req: &'q RouteRequest,
    pub(super) customer: &'s Customer,
    pub(super) rule: &'s Rule,
    pub(super) views: &'q Views<'q>,
    pub(super) times: &'q Times,
}

impl<'s> Asked<'s, '_> {
    /// The versions that may answer, and the others.
    pub(super) fn candidates(&self) -> (Vec<Candidate<'s>>, Vec<Rejected>) {
        let tried_cost = self.tried_cost();
        let mut candidates = Vec::with_capacity(self.rule.versions.len());
        let mut rejected = Vec::new();
        for name in &self.rule.versions {
            if self.req.session.as_ref().is_some_and(|own| own != name) {
                continue;
            }
            match self.candidate(name, tried_cost) {
                Ok(candidate) => candidates.push(candidate),
                Err(why) => rejected.push(Rejected::new(name, why)),
            }
        }
        (candidates, rejected)
    }

    fn candidate(
        &self,
        name: &'s VersionName,
        tried_cost: Option<MicroCost>,
    ) -> Result<Candidate<'s>, Why> {
        let version = self.admissible(name)?;
        if tried_cost.is_some_and(|tried| version.cost <= tried) {
            return Err(Why::Tried);
        }
        let trials = self.views.trials;
        let gate = trials.gate(self.now, name, version, self.req);
        if let Some(why) = gate.rejection() {
            return Err(why);
        }
        let estimate = self.estimate(name, version, gate);
        let rollout = version.rollout.as_ref().filter(|_| gate == Gate::Trial);
        Ok(Candidate {
            version: name,
            cost: version.cost,
            pass: estimate.mean,
            hoped: estimate.high,
            whole: self.times.whole(name, self.req.class),
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
            Gate::LastResort => Estimate::NONE,
            Gate::Wary if self.delivers_unrated() => estimate.halved(),
            _ => estimate,
        }
    }

    /// Whether the answer is delivered before it is rated.
    fn delivers_unrated(&self) -> bool {
        self.req.streamed || self.views.rating.is_none()
    }

    fn admissible(&self, name: &VersionName) -> Result<&'s Version, Why> {
        let version = self.snapshot.objects.versions.get(name);
        let version = version.ok_or(Why::Unknown)?;
        if !self.customer.versions.contains(name) {
            return Err(Why::NotAllowed);
        }
        match version.state {
            VersionState::Withdrawn => Err(Why::Withdrawn),
            VersionState::Draining if self.req.session.is_none() => Err(Why::Draining),
            _ if self.req.tried.contains(name) => Err(Why::Tried),
            VersionState::Draining | VersionState::Enabled => Ok(version),
        }
    }

    fn tried_cost(&self) -> Option<MicroCost> {
        let versions = &self.snapshot.objects.versions;
        let tried = self.req.tried.iter();
        tried.filter_map(|v| Some(versions.get(v)?.cost)).max()
    }
}

impl Rejected {
    pub(super) fn new(version: &VersionName, why: Why) -> Self {
        Self {
            version: version.clone(),
            why,
        }
    }
}

impl NoRoute {
    /// No version may answer.
    pub(super) fn no_version(req: &RouteRequest, rejected: Vec<Rejected>) -> Self {
        use super::NoRouteWhy::{Busy, NoVersion, NotAllowed, SessionEnded};
        let some = |why| rejected.iter().any(|r| r.why == why);
        if some(Why::Exposure) {
            return Self::later(Busy, Self::BUSY, rejected);
        }
        if req.session.is_some() {
            return Self::never(SessionEnded, rejected);
        }
        if rejected.iter().all(|r| r.why == Why::NotAllowed) {
            return Self::never(NotAllowed, rejected);
        }
        if some(Why::Ejected) {
            return Self::later(NoVersion, Self::NO_UPSTREAM, rejected);
        }
        Self::never(NoVersion, rejected)
    }
}
