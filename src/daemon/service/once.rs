//! Calls that may run at most once: claimed first, then dispatched on a new connection.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{
    Call, ServiceAnswer, Services,
    attempt::{AttemptError, CONNECT_TIMEOUT, answer, request},
    idempotent::no_place,
    upstreams::Place,
};
use crate::{
    coordination::claims::{
        Answer, ClaimId, ClaimLocation, ClaimRequest, ClaimToken, Ended, Reason, Refused,
    },
    daemon::claims::{Claim, KeyPlace},
    protocol::problem::{ExecutionState, Refusal, RefusalKind},
    state::objects::UpstreamName,
    transport::http_client::Timeouts,
};

/// The greatest number of upstreams tried while none has run the request.
const MAX_TRIES: usize = 3;
/// How long an answer is still awaited, for repeats, after the caller's deadline.
const LINGER: Duration = Duration::from_secs(10);
/// When to come back to ask for an outcome that is not known yet.
const OUTCOME_RETRY: Duration = Duration::from_secs(1);

/// How a claimed call went at one upstream.
enum Dispatched {
    /// It ended, with an answer or without.
    Ended(Result<ServiceAnswer, Refusal>),
    /// Nothing ran; another upstream may be tried.
    NotRun(Refusal),
}

impl Services {
    pub(super) async fn serve_once(
        self: &Arc<Self>,
        mut call: Call,
    ) -> Result<ServiceAnswer, Refusal> {
        let key = match &call.asked.idempotency_key {
            Some(key) => key.clone(),
            None => {
                let own = self.own_key(&call)?;
                let mut asked = (*call.asked).clone();
                asked.idempotency_key = Some(own.clone());
                call.asked = Arc::new(asked);
                own
            }
        };
        match self.claims.place(&key) {
            KeyPlace::Here { expires } => {
                self.run_once(call, ClaimLocation::Home { expires }).await
            }
            KeyPlace::Table => self.run_once(call, ClaimLocation::Table).await,
            KeyPlace::Elsewhere(home) => self.forward(call, home).await,
        }
    }

    /// A key for a call that came without one; it binds the call to this daemon.
    fn own_key(&self, call: &Call) -> Result<compact_str::CompactString, Refusal> {
        let prefix = self.claims.prefix().ok_or_else(|| {
            Refusal::not_run(RefusalKind::Internal, "claim", "the fleet key is unusable")
        })?;
        Ok(prefix.key(&call.asked.request_id).into())
    }

    /// Runs a call whose key this daemon may claim; it goes on when the caller goes away.
    pub(super) async fn run_once(
        self: &Arc<Self>,
        call: Call,
        location: ClaimLocation,
    ) -> Result<ServiceAnswer, Refusal> {
        let left = self.time_left(&call);
        let this = self.clone();
        let task = tokio::spawn(async move { this.claim_and_run(&call, location).await });
        match timeout(left, task).await {
            Ok(Ok(result)) => result,
            Ok(Err(e)) => Err(unknown(RefusalKind::Internal, &e.to_string())),
            Err(_) => Err(unknown(RefusalKind::DeadlineExceeded, "no answer in time")),
        }
    }

    async fn claim_and_run(
        &self,
        call: &Call,
        location: ClaimLocation,
    ) -> Result<ServiceAnswer, Refusal> {
        let asked = &call.asked;
        let ask = ClaimRequest {
            id: claim_id(call),
            fingerprint: asked.fingerprint(),
            deadline: call.deadline,
            location,
        };
        match self.claims.claim(ask).await {
            Claim::Held(token) => {
                self.decide(call, "claim", format_args!("held={}", token.attempt));
                self.run_held(call, &token).await
            }
            Claim::Repeat(answer) => self.repeat(call, &answer).await,
            Claim::Refused(refused) => {
                self.decide(call, "claim", format_args!("refused={}", refused.reason));
                Err(refusal(refused))
            }
        }
    }

    /// Gives the answer of an earlier attempt; its bill may not be safe yet.
    pub(super) async fn repeat(
        &self,
        call: &Call,
        answer: &Answer,
    ) -> Result<ServiceAnswer, Refusal> {
        self.decide(call, "claim", "repeated");
        self.bill(call).await?;
        Ok(answer.into())
    }

    async fn run_held(&self, call: &Call, token: &ClaimToken) -> Result<ServiceAnswer, Refusal> {
        let mut used = Vec::new();
        loop {
            match self.dispatch(call, token, &mut used).await {
                Dispatched::Ended(Ok(answer)) => {
                    let kept = Arc::new(Answer::from(&answer));
                    self.claims.ended(token, Ended::Answered(kept));
                    self.bill(call).await?;
                    return Ok(answer);
                }
                Dispatched::Ended(Err(refusal)) => {
                    self.claims.ended(token, Ended::Unknown);
                    return Err(refusal);
                }
                Dispatched::NotRun(refusal) => {
                    let again = !used.is_empty() && used.len() < MAX_TRIES;
                    if !again || self.time_left(call).is_zero() {
                        let held = self.claims.ended(token, Ended::NotRun);
                        let run = if held {
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
        used: &mut Vec<UpstreamName>,
    ) -> Dispatched {
        if let Err(refusal) = self.check_ready() {
            used.clear();
            return Dispatched::NotRun(refusal);
        }
        let service = &call.asked.service;
        let place = match self.upstreams.wait(service, used, call.deadline).await {
            Ok(place) => place,
            Err(reason) => {
                used.clear();
                return Dispatched::NotRun(no_place(reason));
            }
        };
        used.push(place.upstream.clone());
        let upstream = &place.upstream;
        self.decide(call, "route", format_args!("upstream={upstream} once=true"));
        match self.send_once(call, token, &place).await {
            Ok(answer) => Dispatched::Ended(Ok(answer)),
            Err(e) => {
                self.decide(
                    call,
                    "dispatch",
                    format_args!("upstream={upstream} failed={e:?} not_run={}", e.not_run()),
                );
                if e.not_run() {
                    self.claims.not_sent(token);
                    return Dispatched::NotRun(not_run(&e).with_peer(upstream.clone()));
                }
                let refusal = unknown(RefusalKind::UpstreamFailed, &e.to_string());
                Dispatched::Ended(Err(refusal.with_peer(upstream.clone())))
            }
        }
    }

    async fn send_once(
        &self,
        call: &Call,
        token: &ClaimToken,
        place: &Place,
    ) -> Result<ServiceAnswer, AttemptError> {
        let attempt = self.next_attempt();
        let req = request(&call.asked, &attempt)?;
        let connection = place.http.open(CONNECT_TIMEOUT).await?;
        if !self.upstreams.still_in_service(place) {
            return Err(AttemptError::OutOfService);
        }
        if !self.claims.dispatch(token) {
            return Err(AttemptError::TooLate);
        }
        let limit = self.time_left(call) + LINGER;
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            head: limit,
            chunk: limit,
        };
        let mut exchange = connection.send(req, timeouts).await?;
        answer(&mut exchange, &attempt).await
    }
}

/// The claim of a call that has a key.
pub(super) fn claim_id(call: &Call) -> ClaimId {
    ClaimId {
        customer: call.asked.customer.clone(),
        key: call.asked.idempotency_key.clone().unwrap_or_default(),
    }
}

fn not_run(e: &AttemptError) -> Refusal {
    let kind = match e {
        AttemptError::TooLate => RefusalKind::DeadlineExceeded,
        AttemptError::OutOfService => RefusalKind::NoUpstream,
        AttemptError::Request(_) => RefusalKind::Malformed,
        _ => RefusalKind::UpstreamFailed,
    };
    Refusal::not_run(kind, "dispatch", e.to_string()).retry_after(OUTCOME_RETRY)
}

fn unknown(kind: RefusalKind, detail: &str) -> Refusal {
    Refusal::unknown(kind, "dispatch", detail).retry_after(OUTCOME_RETRY)
}

/// The refusal that says why a claim was not held.
pub(super) fn refusal(refused: Refused) -> Refusal {
    let (kind, detail) = match refused.reason {
        Reason::KeyReused => (
            RefusalKind::KeyReused,
            "the idempotency key was used with another request",
        ),
        Reason::InProgress => (
            RefusalKind::InProgress,
            "a request with this idempotency key is still running",
        ),
        Reason::AnswerGone => (
            RefusalKind::InProgress,
            "the request ran before; its answer is no longer kept",
        ),
        Reason::OutcomeUnknown => (
            RefusalKind::UpstreamFailed,
            "the request was dispatched before and no answer came",
        ),
        Reason::Expired => (
            RefusalKind::NotReady,
            "the idempotency key's prefix is too old; take a new one for a new request",
        ),
        Reason::Full => (RefusalKind::Overloaded, "too many claims are remembered"),
        Reason::Closing => (RefusalKind::NotReady, "the daemon is stopping"),
        Reason::Undecided => (
            RefusalKind::NotReady,
            "the table does not say whether the idempotency key was used",
        ),
        Reason::HolderSilent => (
            RefusalKind::InProgress,
            "the daemon that may have run the request does not answer",
        ),
        Reason::DeadlinePassed => (RefusalKind::DeadlineExceeded, "the deadline has passed"),
    };
    let refusal = if refused.not_run {
        Refusal::not_run(kind, "claim", detail)
    } else {
        Refusal::unknown(kind, "claim", detail)
    };
    refusal.retry_after(OUTCOME_RETRY)
}
