//! Waits until a version and an upstream with a free slot can be had.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    coordination::routing::{Choice, NoRoute, NoRouteCause, Outcome},
    daemon::{
        chat::{refuse, run::Run},
        parts::Parts,
        permits::{Acquire, Slot},
    },
    metrics::ATTEMPTS,
    protocol::problem::Refusal,
    state::objects::DomainName,
    transport::engine::SendCheck,
};

/// How long to wait before asking again for a slot.
const POLL: Duration = Duration::from_millis(10);

/// A version and an upstream with a slot, held until the attempt ends.
pub(super) struct Pick {
    pub(super) choice: Choice,
    pub(super) address: SocketAddr,
    pub(super) failure_domain: DomainName,
    parts: Arc<Parts>,
    slot: Option<Slot>,
    finished: bool,
}

impl Pick {
    /// Tells, just before the dispatch is sent, whether the lease of its slot still holds.
    pub(super) fn permission(&self) -> SendCheck {
        match &self.slot {
            Some(slot) => slot.permission(),
            None => Arc::new(|| false),
        }
    }

    /// The attempt gave its whole answer.
    pub(super) fn succeeded(mut self, outcome: Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.succeeded();
        }
        self.end(outcome);
    }

    /// The attempt ended otherwise.
    pub(super) fn finished(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        self.finished = true;
        let daemon = self.parts.core.name();
        ATTEMPTS
            .with_label_values(&[daemon.as_str(), outcome_label(outcome)])
            .inc();
        self.parts.policy.finished(&self.choice, outcome);
    }
}

/// The name of an outcome in the metrics.
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

impl Drop for Pick {
    fn drop(&mut self) {
        if !self.finished {
            self.end(Outcome::Cancelled);
        }
    }
}

/// Picks a version and an upstream by the configuration in force now, waiting for a free slot.
pub(super) async fn pick(run: &Run) -> Result<Pick, Refusal> {
    loop {
        match run.parts.policy.choose(&run.route) {
            Ok(choice) => {
                if let Some(pick) = take(run, choice).await {
                    return Ok(pick);
                }
            }
            Err(no) if no.cause == NoRouteCause::Busy => {}
            Err(no) => return Err(refuse_route(run, &no)),
        }
        if run.remaining() <= POLL {
            return Err(refuse::no_slot(run.may_have_run()));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Takes a slot; for a suspect, once nothing else runs on the upstream.
async fn take(run: &Run, choice: Choice) -> Option<Pick> {
    if !choice.solo {
        return take_slot(run, choice);
    }
    let policy = &run.parts.policy;
    if !policy.isolate(&choice, run.call.deadline).await {
        return None;
    }
    let pick = take_slot(run, choice.clone());
    if pick.is_none() {
        policy.release(&choice);
    }
    pick
}

/// Picks at once or not at all.
pub(super) async fn pick_now(run: &Run) -> Option<Pick> {
    let choice = run.parts.policy.choose(&run.route).ok()?;
    take(run, choice).await
}

fn take_slot(run: &Run, choice: Choice) -> Option<Pick> {
    let parts = &run.parts;
    // The configuration may have changed since the choice, so it is read again.
    let snapshot = parts.core.snapshot();
    let upstream = parts.core.usable_upstream(&snapshot, &choice.upstream)?;
    let Acquire::Slot(slot) = parts.permits.try_acquire(&choice.upstream) else {
        return None;
    };
    parts.policy.started(&choice, run.fingerprint);
    Some(Pick {
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        choice,
        parts: parts.clone(),
        slot: Some(slot),
        finished: false,
    })
}

fn refuse_route(run: &Run, no: &NoRoute) -> Refusal {
    run.parts.core.decide(&run.call.log_id, "route", no);
    refuse::no_route(no, run.may_have_run())
}
