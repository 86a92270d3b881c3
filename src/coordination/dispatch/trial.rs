//! Judging roll-outs by answers, here and at other daemons.

use std::time::{Duration, Instant};

use platform::{RowVersion, ServiceName, UpstreamId, orders::RolloutState};

use crate::coordination::dispatch::{
    Dispatcher,
    rollout::Arm,
    ticket::{Quality, Ticket},
};

/// How long it takes at most to find that an upstream crashed whose connections broke.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(1_200);

/// A connection that broke, until it is known whether its upstream crashed.
#[derive(Clone, Debug)]
pub(super) struct Break {
    upstream: UpstreamId,
    service: ServiceName,
    order: RowVersion,
    arm: Arm,
    route: u32,
    at: Instant,
}

impl Break {
    /// Whether it happened at an upstream.
    pub(super) fn is_at(&self, upstream: &str) -> bool {
        self.upstream == upstream
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

impl Dispatcher {
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

    /// Notes the mean time between the events of a stream as evidence for a roll-out.
    pub fn paced(&mut self, ticket: &Ticket, per_event: Duration, now: Instant) {
        let Some(arm) = ticket.arm else { return };
        if let Some(rollout) = self.rollouts.get_mut(&ticket.service)
            && rollout.order == ticket.order
            && ticket.settled
        {
            rollout.paced(arm, per_event, now);
        }
    }

    /// Notes that an upstream is dead or has started anew.
    pub fn died(&mut self, upstream: &str, now: Instant) {
        self.poison.died(upstream, now);
        self.breaks.retain(|broken| !broken.is_at(upstream));
    }

    pub(super) fn judge_breaks(&mut self, now: Instant) {
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

    /// Roll-outs that ought to be decided now, and how.
    pub fn decide_rollouts(&mut self, now: Instant) -> Vec<(ServiceName, RolloutState)> {
        let session_time = self.limits.session_time;
        let mut decided = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if rollout.state != RolloutState::Running {
                continue;
            }
            let evidence = rollout.evidence();
            if evidence.condemns_new() {
                rollout.state = RolloutState::RolledBack;
            } else if rollout.may_complete(evidence.running_old, session_time, now) {
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
        rollout.map(|r| r.evidence().text()).unwrap_or_default()
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

    /// Notes how far the table says that a roll-out is.
    pub fn note_recorded(&mut self, service: &str, order: RowVersion, state: RolloutState) {
        if let Some(rollout) = self.rollouts.get_mut(service)
            && rollout.order == order
            && rollout
                .recorded
                .is_none_or(|known| known == RolloutState::Running)
        {
            rollout.recorded = Some(state);
        }
    }

    pub(super) fn note_new_version(&mut self, service: &str, now: Instant) {
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
}
