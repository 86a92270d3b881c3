//! Records how placed requests go on and end, and releases their slots.

use std::time::{Duration, Instant};

use crate::coordination::dispatch::{
    Dispatcher, assignment::Assignment, health::AttemptOutcome,
    prefill_speed::FIRST_EVENT_OVERHEAD, reachability::Loss, rollout::Arm,
    silent_links::FailureKind,
};

impl Dispatcher {
    /// Records that the first event of the response has arrived, so the request was accepted and its
    /// prefill is complete.
    pub fn response_started(&mut self, assignment: &mut Assignment, took: Duration) {
        if std::mem::replace(&mut assignment.response_started, true) {
            return;
        }
        self.bytes_received(assignment.reserved_at + took);
        assignment.first_event_after = took;
        if let Some(upstream) = self.registry.get_mut(&assignment.upstream) {
            if std::mem::take(&mut assignment.on_trial) {
                let now = assignment.reserved_at + took;
                upstream.health.trial_ended(true, now);
            }
            let began_at = assignment.reserved_at + took;
            upstream
                .times
                .record_response(assignment.route, took, began_at);
            let prefill_time = took.saturating_sub(FIRST_EVENT_OVERHEAD);
            upstream.queue.response_started(
                assignment.expected_at,
                assignment.reserved_at + prefill_time,
            );
        }
        if let (Some(arm), Some(rollout)) =
            (assignment.arm, self.rollouts.get_mut(&assignment.service))
            && rollout.has_order(assignment.order)
            && assignment.settled
        {
            rollout.record_first_event(arm, assignment.route, assignment.prefill_time, took);
        }
        if assignment.model.is_some() && assignment.arm != Some(Arm::New) {
            self.prefill_delays
                .entry(assignment.service.clone())
                .or_default()
                .record(assignment.prefill_time, took);
        }
        // Behind other prompts, or on a version on trial, the time says little about the model's speed,
        // unless it is shorter than expected.
        let is_faster = took < assignment.prefill_time + FIRST_EVENT_OVERHEAD;
        if let Some(model) = &assignment.model
            && (assignment.backlog.is_zero() || is_faster)
            && assignment.arm != Some(Arm::New)
        {
            self.prefill_speeds
                .record(model, assignment.prefill_time, took);
        }
    }

    /// Records the time between events of a stream, which shows the speed of its engine.
    pub(super) fn record_engine_speed(&mut self, assignment: &Assignment, per_event: Duration) {
        // A version on trial may be slow by itself.
        if !assignment.settled || assignment.arm == Some(Arm::New) {
            return;
        }
        let Some(model) = &assignment.model else {
            return;
        };
        let ratio = self.model_paces.record(model, per_event);
        if let Some(upstream) = self.registry.get_mut(&assignment.upstream) {
            upstream.slowness.record(ratio);
        }
    }

    /// Counts an attempt as evidence for a rollout whose caller left before the first event.
    pub(super) fn count_abandoned(&mut self, assignment: &Assignment, now: Instant) {
        if let (Some(arm), Some(rollout)) =
            (assignment.arm, self.rollouts.get_mut(&assignment.service))
            && rollout.has_order(assignment.order)
            && !assignment.response_started
            && assignment.settled
        {
            rollout.abandoned_after(
                arm,
                assignment.route,
                assignment.prefill_time,
                assignment.age(now),
            );
        }
    }

    /// Releases the slot of an assignment and records the outcome of the attempt.
    pub fn release(&mut self, assignment: &Assignment, outcome: AttemptOutcome, now: Instant) {
        self.silence.released(assignment, outcome, now);
        let is_held = outcome == AttemptOutcome::Failed
            && self.hold_failure(assignment, FailureKind::Outcome(outcome), now);
        if let Some(upstream) = self.registry.get_mut(&assignment.upstream) {
            upstream.running = upstream.running.saturating_sub(1);
            if !assignment.response_started {
                upstream.queue.cancel(assignment.expected_at, now);
            }
            if !is_held {
                upstream.health.record(outcome, now);
            }
            if assignment.on_trial {
                upstream.health.trial_ended(false, now);
            }
        }
        self.record_hold(assignment, outcome, now);
        match outcome {
            AttemptOutcome::Unreachable => {
                self.connection_lost(&assignment.upstream, Loss::Refused, now);
            }
            AttemptOutcome::Unanswered => {
                self.connection_lost(&assignment.upstream, Loss::Unanswered, now);
            }
            AttemptOutcome::Refused => {
                if let Some(max_refusals) = self.max_refusals(&assignment.service, now) {
                    self.pause_brittle(&assignment.upstream, max_refusals, now);
                }
            }
            _ => {}
        }
        if let (Some(arm), Some(rollout)) =
            (assignment.arm, self.rollouts.get_mut(&assignment.service))
            && rollout.has_order(assignment.order)
        {
            rollout.track_running(arm, false);
        }
        if outcome == AttemptOutcome::Abandoned
            && !self.hold_failure(assignment, FailureKind::Abandoned, now)
        {
            self.count_abandoned(assignment, now);
        }
    }
}
