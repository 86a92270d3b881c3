//! Selection of a version and an upstream with a free slot.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    coordination::routing::{Choice, NoRoute, NoRouteCause, Outcome},
    daemon::{
        chat::{refusals, run::CompletionRun},
        components::Components,
        permits::{AcquireResult, Slot},
    },
    metrics::ATTEMPTS,
    protocol::problem::Refusal,
    state::objects::DomainName,
    transport::engine::SendCheck,
};

/// Delay between attempts to reserve a slot.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A version and an upstream with a reserved slot, held until the attempt ends.
pub(super) struct Placement {
    pub(super) choice: Choice,
    pub(super) address: SocketAddr,
    pub(super) failure_domain: DomainName,
    components: Arc<Components>,
    slot: Option<Slot>,
    finished: bool,
}

impl Placement {
    /// Returns the check, made right before dispatch, that the lease of the slot is still valid.
    pub(super) fn permission(&self) -> SendCheck {
        match &self.slot {
            Some(slot) => slot.permission(),
            None => Arc::new(|| false),
        }
    }

    /// Records that the attempt returned a complete answer.
    pub(super) fn succeeded(mut self, outcome: Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.release_after_success();
        }
        self.record_outcome(outcome);
    }

    /// Records that the attempt ended without a complete answer.
    pub(super) fn finished(mut self, outcome: Outcome) {
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        self.finished = true;
        let daemon = self.components.core.name();
        ATTEMPTS
            .with_label_values(&[daemon.as_str(), outcome_label(outcome)])
            .inc();
        self.components.policy.finished(&self.choice, outcome);
    }
}

/// Returns the metric label of an outcome.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::Refused => "refused",
        Outcome::Failed => "failed",
        Outcome::Silent => "silent",
        Outcome::Unreachable => "unreachable",
        Outcome::Crashed => "crashed",
        Outcome::Cancelled => "cancelled",
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if !self.finished {
            self.record_outcome(Outcome::Cancelled);
        }
    }
}

/// Selects a version and an upstream by the configuration in force, waiting for a free slot.
pub(super) async fn select_placement(run: &CompletionRun) -> Result<Placement, Refusal> {
    loop {
        match run.components.policy.choose(&run.route) {
            Ok(choice) => {
                if let Some(placement) = reserve(run, choice).await {
                    return Ok(placement);
                }
            }
            Err(no_route) if no_route.cause == NoRouteCause::Busy => {}
            Err(no_route) => return Err(no_route_refusal(run, &no_route)),
        }
        if run.remaining() <= POLL_INTERVAL {
            return Err(refusals::no_free_slot(run.may_have_run()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reserves a slot. For a suspect, waits until nothing else runs on the upstream.
async fn reserve(run: &CompletionRun, choice: Choice) -> Option<Placement> {
    if !choice.solo {
        return reserve_slot(run, choice);
    }
    let policy = &run.components.policy;
    if !policy.isolate(&choice, run.call.deadline).await {
        return None;
    }
    let placement = reserve_slot(run, choice.clone());
    if placement.is_none() {
        policy.release_reservation(&choice);
    }
    placement
}

/// Selects a version and an upstream without waiting for a free slot.
pub(super) async fn try_select_placement(run: &CompletionRun) -> Option<Placement> {
    let choice = run.components.policy.choose(&run.route).ok()?;
    reserve(run, choice).await
}

fn reserve_slot(run: &CompletionRun, choice: Choice) -> Option<Placement> {
    let components = &run.components;
    // Read the configuration again, because it may have changed since the choice.
    let snapshot = components.core.snapshot();
    let upstream = components
        .core
        .usable_upstream(&snapshot, &choice.upstream)?;
    let AcquireResult::Slot(slot) = components.permits.try_acquire(&choice.upstream) else {
        return None;
    };
    components.policy.started(&choice, run.fingerprint);
    Some(Placement {
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        choice,
        components: components.clone(),
        slot: Some(slot),
        finished: false,
    })
}

fn no_route_refusal(run: &CompletionRun, no_route: &NoRoute) -> Refusal {
    run.components
        .core
        .record_decision(&run.call.log_id, "route", no_route);
    refusals::no_route(no_route, run.may_have_run())
}
