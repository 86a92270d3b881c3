//! At-most-once calls: the key is claimed first, then the call is dispatched on a new connection.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{
    Call, ServiceAnswer, Services,
    attempt::{AttemptError, CONNECT_TIMEOUT, build_request, read_answer},
    idempotent::no_slot_refusal,
    upstreams::UpstreamSlot,
};
use crate::{
    coordination::claims::{
        Answer, ClaimId, ClaimLocation, ClaimRequest, ClaimToken, Ended, Reason, Refused,
    },
    daemon::claims::{ClaimResult, KeyBinding},
    protocol::problem::{ExecutionState, Refusal, RefusalKind},
    state::objects::UpstreamName,
    transport::http_client::Timeouts,
};

/// Maximum number of upstreams tried while none has executed the request.
const MAX_ATTEMPTS: usize = 3;
/// Time to wait for an answer after the caller's deadline, so that it can be returned to repeats.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(10);
/// Retry-After value of claim and dispatch refusals; a repeat may then find the outcome.
const OUTCOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of dispatching a claimed call to one upstream.
enum DispatchResult {
    /// The call ended, with an answer or with an unknown outcome.
    Ended(Result<ServiceAnswer, Refusal>),
    /// The call was not executed; another upstream may be tried.
    NotRun(Refusal),
}

impl Services {
    pub(super) async fn serve_at_most_once(
        self: &Arc<Self>,
        mut call: Call,
    ) -> Result<ServiceAnswer, Refusal> {
        let key = match &call.caller_request.idempotency_key {
            Some(key) => key.clone(),
            None => {
                let generated_key = self.generate_key(&call)?;
                let mut caller_request = (*call.caller_request).clone();
                caller_request.idempotency_key = Some(generated_key.clone());
                call.caller_request = Arc::new(caller_request);
                generated_key
            }
        };
        match self.claims.key_binding(&key) {
            KeyBinding::Local { expires } => {
                self.run_at_most_once(call, ClaimLocation::Home { expires })
                    .await
            }
            KeyBinding::Table => self.run_at_most_once(call, ClaimLocation::Table).await,
            KeyBinding::Remote(home) => self.forward(call, home).await,
        }
    }

    /// Returns a key for a call without one, which binds the call to this incarnation.
    fn generate_key(&self, call: &Call) -> Result<compact_str::CompactString, Refusal> {
        let prefix = self.claims.prefix().ok_or_else(|| {
            Refusal::not_run(RefusalKind::Internal, "claim", "the fleet key is unusable")
        })?;
        Ok(prefix.key(&call.caller_request.request_id).into())
    }

    /// Executes a call whose key this daemon may claim.
    ///
    /// The call runs in a task of its own, which continues if the caller disconnects.
    pub(super) async fn run_at_most_once(
        self: &Arc<Self>,
        call: Call,
        location: ClaimLocation,
    ) -> Result<ServiceAnswer, Refusal> {
        let remaining = self.time_left(&call);
        let this = self.clone();
        let task = tokio::spawn(async move { this.claim_and_run(&call, location).await });
        match timeout(remaining, task).await {
            Ok(Ok(result)) => result,
            Ok(Err(e)) => Err(unknown(RefusalKind::Internal, &e.to_string())),
            Err(_) => Err(unknown(
                RefusalKind::DeadlineExceeded,
                "no answer before the deadline",
            )),
        }
    }

    async fn claim_and_run(
        &self,
        call: &Call,
        location: ClaimLocation,
    ) -> Result<ServiceAnswer, Refusal> {
        let caller_request = &call.caller_request;
        let claim_request = ClaimRequest {
            id: claim_id(call),
            fingerprint: caller_request.fingerprint(),
            deadline: call.deadline,
            location,
        };
        match self.claims.claim(claim_request).await {
            ClaimResult::Held(token) => {
                self.record_decision(call, "claim", format_args!("held={}", token.attempt));
                self.run_claimed(call, &token).await
            }
            ClaimResult::Repeat(answer) => self.replay_answer(call, &answer).await,
            ClaimResult::Refused(refused) => {
                self.record_decision(call, "claim", format_args!("refused={}", refused.reason));
                Err(claim_refusal(refused))
            }
        }
    }

    /// Returns the answer of an earlier attempt after recording its bill, which may not yet be
    /// durable.
    pub(super) async fn replay_answer(
        &self,
        call: &Call,
        answer: &Answer,
    ) -> Result<ServiceAnswer, Refusal> {
        self.record_decision(call, "claim", "repeated");
        self.bill(call).await?;
        Ok(answer.into())
    }

    async fn run_claimed(&self, call: &Call, token: &ClaimToken) -> Result<ServiceAnswer, Refusal> {
        let mut tried_upstreams = Vec::new();
        loop {
            match self.dispatch(call, token, &mut tried_upstreams).await {
                DispatchResult::Ended(Ok(answer)) => {
                    let retained = Arc::new(Answer::from(&answer));
                    self.claims.record_end(token, Ended::Answered(retained));
                    self.bill(call).await?;
                    return Ok(answer);
                }
                DispatchResult::Ended(Err(refusal)) => {
                    self.claims.record_end(token, Ended::Unknown);
                    return Err(refusal);
                }
                DispatchResult::NotRun(refusal) => {
                    let may_retry =
                        !tried_upstreams.is_empty() && tried_upstreams.len() < MAX_ATTEMPTS;
                    if !may_retry || self.time_left(call).is_zero() {
                        let still_held = self.claims.record_end(token, Ended::NotRun);
                        let run = if still_held {
                            refusal.run
                        } else {
                            ExecutionState::Unknown
                        };
                        return Err(Refusal { run, ..refusal });
                    }
                }
            }
        }
    }

    async fn dispatch(
        &self,
        call: &Call,
        token: &ClaimToken,
        tried_upstreams: &mut Vec<UpstreamName>,
    ) -> DispatchResult {
        if let Err(refusal) = self.check_ready() {
            tried_upstreams.clear();
            return DispatchResult::NotRun(refusal);
        }
        let service = &call.caller_request.service;
        let slot = match self
            .upstreams
            .reserve(service, tried_upstreams, call.deadline)
            .await
        {
            Ok(slot) => slot,
            Err(reason) => {
                tried_upstreams.clear();
                return DispatchResult::NotRun(no_slot_refusal(reason));
            }
        };
        tried_upstreams.push(slot.upstream.clone());
        let upstream = &slot.upstream;
        self.record_decision(call, "route", format_args!("upstream={upstream} once=true"));
        match self.send_at_most_once(call, token, &slot).await {
            Ok(answer) => DispatchResult::Ended(Ok(answer)),
            Err(e) => {
                self.record_decision(
                    call,
                    "dispatch",
                    format_args!("upstream={upstream} failed={e:?} not_run={}", e.not_run()),
                );
                if e.not_run() {
                    self.claims.not_sent(token);
                    return DispatchResult::NotRun(not_run(&e).with_peer(upstream.clone()));
                }
                let refusal = unknown(RefusalKind::UpstreamFailed, &e.to_string());
                DispatchResult::Ended(Err(refusal.with_peer(upstream.clone())))
            }
        }
    }

    async fn send_at_most_once(
        &self,
        call: &Call,
        token: &ClaimToken,
        slot: &UpstreamSlot,
    ) -> Result<ServiceAnswer, AttemptError> {
        let attempt = self.next_attempt_id();
        let req = build_request(&call.caller_request, &attempt)?;
        let connection = slot.http.open(CONNECT_TIMEOUT).await?;
        if !self.upstreams.still_in_service(slot) {
            return Err(AttemptError::OutOfService);
        }
        if !self.claims.dispatch(token) {
            return Err(AttemptError::TooLate);
        }
        let limit = self.time_left(call) + LATE_ANSWER_WAIT;
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            head: limit,
            chunk: limit,
        };
        let mut exchange = connection.send(req, timeouts).await?;
        read_answer(&mut exchange, &attempt).await
    }
}

/// Returns the claim id of a call that has a key.
pub(super) fn claim_id(call: &Call) -> ClaimId {
    ClaimId {
        customer: call.caller_request.customer.clone(),
        key: call
            .caller_request
            .idempotency_key
            .clone()
            .unwrap_or_default(),
    }
}

fn not_run(e: &AttemptError) -> Refusal {
    let kind = match e {
        AttemptError::TooLate => RefusalKind::DeadlineExceeded,
        AttemptError::OutOfService => RefusalKind::NoUpstream,
        AttemptError::Request(_) => RefusalKind::Malformed,
        _ => RefusalKind::UpstreamFailed,
    };
    Refusal::not_run(kind, "dispatch", e.to_string()).retry_after(OUTCOME_RETRY_AFTER)
}

fn unknown(kind: RefusalKind, detail: &str) -> Refusal {
    Refusal::unknown(kind, "dispatch", detail).retry_after(OUTCOME_RETRY_AFTER)
}

/// Converts the reason why a key could not be claimed to a refusal.
pub(super) fn claim_refusal(refused: Refused) -> Refusal {
    let (kind, detail) = match refused.reason {
        Reason::KeyReused => (
            RefusalKind::KeyReused,
            "the idempotency key was already used for a different request",
        ),
        Reason::InProgress => (
            RefusalKind::InProgress,
            "a request with this idempotency key is still in progress",
        ),
        Reason::AnswerGone => (
            RefusalKind::InProgress,
            "the request was executed before; its answer is no longer stored",
        ),
        Reason::OutcomeUnknown => (
            RefusalKind::UpstreamFailed,
            "the request was dispatched before and no answer that settles its outcome was received",
        ),
        Reason::Expired => (
            RefusalKind::NotReady,
            "the idempotency key's prefix has expired; use a new prefix for a new request",
        ),
        Reason::Full => (
            RefusalKind::Overloaded,
            "the daemon stores the maximum number of claims",
        ),
        Reason::Closing => (RefusalKind::NotReady, "the daemon is shutting down"),
        Reason::Undecided => (
            RefusalKind::NotReady,
            "could not determine from the table whether the idempotency key was used",
        ),
        Reason::HolderSilent => (
            RefusalKind::InProgress,
            "the daemon that may have executed the request is unreachable",
        ),
        Reason::DeadlinePassed => (RefusalKind::DeadlineExceeded, "the deadline has passed"),
    };
    let refusal = if refused.not_run {
        Refusal::not_run(kind, "claim", detail)
    } else {
        Refusal::unknown(kind, "claim", detail)
    };
    refusal.retry_after(OUTCOME_RETRY_AFTER)
}
