//! One completion in progress: what has been tried and what runs now.

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
        chat::{call::ChatCall, pick::Pick, refuse},
        parts::Parts,
        policy::Ticket,
    },
    protocol::problem::Refusal,
    transport::{
        engine::{EngineClient, EngineIncarnation, EngineRequest, error::EngineError},
        http_client::Reuse,
    },
};

/// The greatest number of attempts for one request, escalations not counted.
const MAX_FAILURES: u32 = 4;

/// One completion in progress.
pub(super) struct Run {
    pub(super) parts: Arc<Parts>,
    pub(super) call: ChatCall,
    pub(super) route: RouteRequest,
    pub(super) fingerprint: Fingerprint,
    pub(super) reuse: Reuse,
    attempts: u32,
    failures: u32,
    may_have_run: bool,
    _ticket: Ticket,
}

/// One attempt that has been dispatched.
pub(super) struct Attempt {
    pub(super) pick: Pick,
    pub(super) client: EngineClient,
    pub(super) dispatch: EngineRequest,
    pub(super) started: Instant,
}

impl Run {
    pub(super) fn new(
        parts: Arc<Parts>,
        call: ChatCall,
        route: RouteRequest,
        fingerprint: Fingerprint,
        ticket: Ticket,
    ) -> Self {
        Self {
            parts,
            call,
            route,
            fingerprint,
            reuse: Reuse::Idle,
            attempts: 0,
            failures: 0,
            may_have_run: false,
            _ticket: ticket,
        }
    }

    /// The time left until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        let now = self.parts.core.clock.now();
        self.call.deadline.saturating_duration_since(now)
    }

    /// Readies an attempt on what was picked; the caller dispatches it at once.
    pub(super) fn attempt(&mut self, pick: Pick, resume_from: u32) -> Attempt {
        self.attempts += 1;
        let client = self
            .parts
            .engines
            .client(&pick.choice.upstream, pick.address)
            .with_send_check(pick.permission());
        let mut req = self.call.req.clone();
        req.model = pick.choice.version.clone();
        let dispatch = EngineRequest {
            attempt: format!("{}-{}", self.call.log_id, self.attempts).into(),
            req,
            priority: self.call.priority,
            resume_from,
            limit: self.remaining(),
        };
        let core = &self.parts.core;
        core.decide(
            &self.call.log_id,
            "route",
            format_args!(
                "attempt={} {} domain={} resume_from={resume_from}",
                dispatch.attempt, pick.choice, pick.failure_domain
            ),
        );
        Attempt {
            pick,
            client,
            dispatch,
            started: core.clock.now(),
        }
    }

    /// Takes note of an attempt that gave its whole answer.
    pub(super) fn answered(
        &mut self,
        attempt: Attempt,
        first_token: Duration,
        incarnation: Option<EngineIncarnation>,
    ) {
        let upstream = attempt.pick.choice.upstream.clone();
        if let Some(incarnation) = incarnation {
            self.parts.engines.saw(&upstream, incarnation);
            self.parts.permits.saw_incarnation(&upstream, incarnation);
        }
        let completion_time = self.parts.core.clock.now() - attempt.started;
        attempt.pick.succeeded(Outcome::Answered {
            first_token,
            completion_time,
        });
    }

    /// Takes note of a failed attempt; an error is the final refusal.
    pub(super) async fn failed(
        &mut self,
        attempt: Attempt,
        e: &EngineError,
    ) -> Result<(), Refusal> {
        let upstream = attempt.pick.choice.upstream.clone();
        let outcome = self
            .parts
            .engines
            .diagnose(&upstream, &attempt.client, e)
            .await;
        self.may_have_run |= !e.not_run();
        self.parts.core.decide(
            &self.call.log_id,
            "fail",
            format_args!(
                "attempt={} upstream={upstream} outcome={outcome} error={:?}",
                attempt.dispatch.attempt,
                e.to_string()
            ),
        );
        attempt.pick.finished(outcome);
        match outcome {
            Outcome::Silent => self.reuse = Reuse::Fresh,
            Outcome::Crashed => self.crashed(&upstream)?,
            Outcome::Cancelled => {
                return Err(refuse::too_late(&upstream, self.may_have_run));
            }
            _ => self.route.excluded.push(upstream.clone()),
        }
        if outcome == Outcome::Refused {
            return Ok(());
        }
        self.failures += 1;
        // A silent connection says nothing against the engine, so the repeat adds no load to spare.
        let may_retry = outcome == Outcome::Silent || self.parts.policy.may_retry();
        if self.failures >= MAX_FAILURES || !may_retry {
            return Err(refuse::failed(&upstream, e, self.may_have_run));
        }
        Ok(())
    }

    fn crashed(&mut self, upstream: &str) -> Result<(), Refusal> {
        self.parts.permits.crashed(upstream);
        self.route.excluded.push(upstream.into());
        self.parts.policy.crashed(upstream);
        self.route.solo = self
            .parts
            .policy
            .check_poison(self.fingerprint)
            .map_err(|q| refuse::quarantined(&q).with_may_have_run(self.may_have_run))?;
        Ok(())
    }

    /// Whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}
