//! Collects evidence from responses and decides rollouts.

use std::time::{Duration, Instant};

use platform::{RowVersion, ServiceName, UpstreamId, VersionName, orders::RolloutState};

use crate::coordination::dispatch::{
    Dispatcher,
    assignment::{Assignment, Quality},
    poison::StopSource,
    registry,
    rollout::{Arm, Rollout},
    silent_links::FailureKind,
};

/// Maximum time to detect the crash of an upstream after its connections broke.
const CRASH_DETECTION_TIME: Duration = Duration::from_millis(1_200);

/// A broken connection, until it is known whether its upstream crashed.
#[derive(Clone, Debug)]
pub(super) struct BrokenConnection {
    upstream: UpstreamId,
    service: ServiceName,
    order: RowVersion,
    arm: Arm,
    route: u32,
    at: Instant,
}

impl BrokenConnection {
    /// Returns whether the connection was to this upstream.
    pub(super) fn is_at(&self, upstream: &str) -> bool {
        self.upstream == upstream
    }
}

/// A rollout as known to the table or a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// Row version of the order.
    pub order: RowVersion,
    /// The version that is rolled out, if known.
    pub target: Option<VersionName>,
    /// State of the rollout.
    pub state: RolloutState,
    /// Time since it was ordered.
    pub elapsed: Duration,
}

/// The status of a rollout whose order has not been read yet.
#[derive(Clone, Debug)]
pub(super) struct EarlyStatus {
    known: RolloutStatus,
    known_at: Instant,
}

impl EarlyStatus {
    /// Returns whether a version may be used before the order has been read: the new one only if it has
    /// replaced the old one.
    pub(super) fn may_use(&self, version: &str) -> bool {
        let is_target = self.known.target.as_deref() == Some(version);
        !is_target || self.known.state == RolloutState::Completed
    }

    /// Applies the status to the rollout if it is of the same order.
    pub(super) fn apply(&self, rollout: &mut Rollout) {
        if rollout.has_order(self.known.order) {
            rollout.adopt(&self.known, self.known_at);
        }
    }
}

impl Dispatcher {
    /// Records the quality of a response as evidence for a rollout.
    ///
    /// A broken connection counts only if its upstream is then found to be running: a crash of an
    /// upstream breaks many connections and is not evidence against its version.
    pub fn record_quality(&mut self, assignment: &Assignment, quality: Quality, now: Instant) {
        let is_held = quality != Quality::Good
            && self.hold_failure(assignment, FailureKind::Quality(quality), now);
        if !is_held {
            self.count_quality(assignment, quality, now);
        }
    }

    /// Counts the quality of a response that is known not to be due to this daemon's links.
    pub(super) fn count_quality(
        &mut self,
        assignment: &Assignment,
        quality: Quality,
        now: Instant,
    ) {
        let Some(arm) = assignment.arm else { return };
        if quality == Quality::Broken {
            self.broken_connections.push(BrokenConnection {
                upstream: assignment.upstream.clone(),
                service: assignment.service.clone(),
                order: assignment.order,
                arm,
                route: assignment.route,
                at: now,
            });
            return;
        }
        if let Some(rollout) = self.rollouts.get_mut(&assignment.service)
            && rollout.has_order(assignment.order)
        {
            rollout.record_answer(arm, assignment.route, quality == Quality::Failed);
        }
    }

    /// Records the pace of a stream as evidence for a rollout.
    pub fn record_pace(&mut self, assignment: &Assignment, per_event: Duration, now: Instant) {
        self.record_engine_speed(assignment, per_event);
        let Some(arm) = assignment.arm else { return };
        if let Some(rollout) = self.rollouts.get_mut(&assignment.service)
            && rollout.has_order(assignment.order)
            && assignment.settled
        {
            rollout.record_pace(arm, per_event, now);
        }
    }

    /// Records that an upstream has crashed, restarted or left.
    pub fn upstream_stopped(&mut self, upstream: &str, now: Instant) {
        self.reachability.forget(upstream);
        self.poison.upstream_stopped(upstream, StopSource::Own, now);
        let incarnation = self.incarnation(upstream);
        self.poison.incarnation_known(upstream, incarnation);
        self.prefixes.remove_engine(registry::hash_of(upstream));
        self.broken_connections
            .retain(|broken| !broken.is_at(upstream));
    }

    /// Forgets the broken connections, which this daemon's own links caused.
    pub(super) fn forget_broken_connections(&mut self) {
        self.broken_connections.clear();
    }

    pub(super) fn resolve_broken_connections(&mut self, now: Instant) {
        let old = |broken: &BrokenConnection| {
            now.saturating_duration_since(broken.at) >= CRASH_DETECTION_TIME
        };
        let (resolved, pending) = std::mem::take(&mut self.broken_connections)
            .into_iter()
            .partition(old);
        self.broken_connections = pending;
        let resolved: Vec<BrokenConnection> = resolved;
        for broken in resolved {
            if let Some(rollout) = self.rollouts.get_mut(&broken.service)
                && rollout.has_order(broken.order)
            {
                rollout.record_answer(broken.arm, broken.route, true);
            }
        }
    }

    /// Decides the rollouts that are ready; returns them with their new states.
    ///
    /// A daemon that was frozen does not complete one before it has heard from the others again.
    pub fn decide_rollouts(&mut self, now: Instant) -> Vec<(ServiceName, RolloutState)> {
        let session_timeout = self.limits.session_timeout;
        let is_up_to_date = self.pauses.is_over(now);
        let mut decided = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if rollout.state != RolloutState::Running {
                continue;
            }
            let evidence = rollout.evidence();
            if evidence.is_new_version_faulty() {
                rollout.state = RolloutState::RolledBack;
            } else if rollout.may_complete(evidence.running_old, session_timeout, now)
                && is_up_to_date
            {
                rollout.state = RolloutState::Completed;
            } else {
                continue;
            }
            decided.push((service.clone(), rollout.state));
        }
        decided
    }

    /// Formats the evidence for a rollout's decision, for the log.
    pub fn rollout_evidence(&self, service: &str) -> String {
        let rollout = self.rollouts.get(service);
        rollout.map(|r| r.evidence().summary()).unwrap_or_default()
    }

    /// Merges the state of a rollout that the table or a peer knows of.
    pub fn merge_rollout_status(&mut self, known: RolloutStatus, now: Instant) {
        match self.rollouts.get_mut(&known.service) {
            Some(rollout) if rollout.has_order(known.order) => rollout.adopt(&known, now),
            Some(rollout) if rollout.order() > known.order => {}
            // The order is read later; it must not start the rollout again.
            _ => {
                let known_at = now;
                let early = EarlyStatus { known, known_at };
                self.early_statuses
                    .insert(early.known.service.clone(), early);
            }
        }
    }

    /// Sets the state of a rollout that is recorded in the table.
    pub fn set_recorded_state(&mut self, service: &str, order: RowVersion, state: RolloutState) {
        if let Some(rollout) = self.rollouts.get_mut(service)
            && rollout.order() == order
        {
            rollout.record(state);
        }
    }

    pub(super) fn detect_new_version(&mut self, service: &str, now: Instant) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let seen = self
            .registry
            .of_service(service)
            .any(|upstream| upstream.version == rollout.target && upstream.is_listed(now));
        if seen {
            rollout.record_new_version(now);
        }
    }
}
