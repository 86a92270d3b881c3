//! State of a completion in progress and its attempts.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        poison::Fingerprint,
        routing::{Outcome, RouteRequest},
    },
    daemon::{
        chat::{call::ChatCall, placement::Placement, refusals},
        components::Components,
        policy::AdmissionGuard,
    },
    protocol::problem::Refusal,
    transport::{
        engine::{EngineClient, EngineIncarnation, EngineRequest, error::EngineError},
        http_client::Reuse,
    },
};

/// Maximum number of failed attempts per request. Escalations and attempts that a busy engine
/// refused do not count.
const MAX_FAILED_ATTEMPTS: u32 = 4;

/// Completion in progress.
pub(super) struct CompletionRun {
    pub(super) components: Arc<Components>,
    pub(super) call: ChatCall,
    pub(super) route: RouteRequest,
    pub(super) fingerprint: Fingerprint,
    pub(super) reuse: Reuse,
    attempts: u32,
    failed_attempts: u32,
    may_have_run: bool,
    _admission_guard: AdmissionGuard,
}

/// Dispatched attempt.
pub(super) struct Attempt {
    pub(super) placement: Placement,
    pub(super) client: EngineClient,
    pub(super) dispatch: EngineRequest,
    pub(super) started: Instant,
}

impl CompletionRun {
    pub(super) fn new(
        components: Arc<Components>,
        call: ChatCall,
        route: RouteRequest,
        fingerprint: Fingerprint,
        admission_guard: AdmissionGuard,
    ) -> Self {
        Self {
            components,
            call,
            route,
            fingerprint,
            reuse: Reuse::Idle,
            attempts: 0,
            failed_attempts: 0,
            may_have_run: false,
            _admission_guard: admission_guard,
        }
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        let now = self.components.core.clock.now();
        self.call.deadline.saturating_duration_since(now)
    }

    /// Prepares an attempt on the reserved slot; the calling code dispatches it right away.
    pub(super) fn attempt(&mut self, placement: Placement, resume_from: u32) -> Attempt {
        self.attempts += 1;
        let client = self
            .components
            .engines
            .client(&placement.choice.upstream, placement.address)
            .with_send_check(placement.permission());
        let mut req = self.call.req.clone();
        req.model = placement.choice.version.clone();
        let dispatch = EngineRequest {
            attempt: format!("{}-{}", self.call.log_id, self.attempts).into(),
            req,
            priority: self.call.priority,
            resume_from,
            limit: self.remaining(),
        };
        let core = &self.components.core;
        core.record_decision(
            &self.call.log_id,
            "route",
            format_args!(
                "attempt={} {} domain={} resume_from={resume_from}",
                dispatch.attempt, placement.choice, placement.failure_domain
            ),
        );
        Attempt {
            placement,
            client,
            dispatch,
            started: core.clock.now(),
        }
    }

    /// Records an attempt that returned a complete answer.
    pub(super) fn record_success(
        &mut self,
        attempt: Attempt,
        first_token: Duration,
        incarnation: Option<EngineIncarnation>,
    ) {
        let upstream = attempt.placement.choice.upstream.clone();
        if let Some(incarnation) = incarnation {
            self.components
                .engines
                .observe_incarnation(&upstream, incarnation);
            self.components
                .permits
                .record_incarnation(&upstream, incarnation);
        }
        let completion_time = self.components.core.clock.now() - attempt.started;
        attempt.placement.succeeded(Outcome::Answered {
            first_token,
            completion_time,
        });
    }

    /// Records a failed attempt; returns the final refusal if there is no retry.
    pub(super) async fn record_failure(
        &mut self,
        attempt: Attempt,
        e: &EngineError,
    ) -> Result<(), Refusal> {
        let upstream = attempt.placement.choice.upstream.clone();
        let outcome = self
            .components
            .engines
            .classify_failure(&upstream, &attempt.client, e)
            .await;
        self.may_have_run |= !e.not_run();
        self.components.core.record_decision(
            &self.call.log_id,
            "fail",
            format_args!(
                "attempt={} upstream={upstream} outcome={outcome} error={:?}",
                attempt.dispatch.attempt,
                e.to_string()
            ),
        );
        attempt.placement.finished(outcome);
        match outcome {
            Outcome::Silent => self.reuse = Reuse::Fresh,
            Outcome::Crashed => self.handle_crash(&upstream)?,
            Outcome::Cancelled => {
                return Err(refusals::deadline_exceeded(&upstream, self.may_have_run));
            }
            _ => self.route.excluded.push(upstream.clone()),
        }
        if outcome == Outcome::Refused {
            return Ok(());
        }
        self.failed_attempts += 1;
        // A silent connection is no evidence against the engine, so the retry adds no load to a
        // struggling upstream and needs no retry budget.
        let may_retry = outcome == Outcome::Silent || self.components.policy.try_retry();
        if self.failed_attempts >= MAX_FAILED_ATTEMPTS || !may_retry {
            return Err(refusals::upstream_failed(&upstream, e, self.may_have_run));
        }
        Ok(())
    }

    fn handle_crash(&mut self, upstream: &str) -> Result<(), Refusal> {
        self.components.permits.record_crash(upstream);
        self.route.excluded.push(upstream.into());
        self.components.policy.crashed(upstream);
        self.route.solo = self
            .components
            .policy
            .check_poison(self.fingerprint)
            .map_err(|q| refusals::quarantined(&q).with_may_have_run(self.may_have_run))?;
        Ok(())
    }

    /// Whether any attempt may have been executed.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}
