//! Idempotent calls: retried or hedged when a connection is silent or a replica fails.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::StatusCode;
use tokio::time::timeout;

use super::{
    Call, ServiceAnswer, Services,
    attempt::{AttemptError, CONNECT_TIMEOUT, build_request, read_answer},
    upstreams::{NoSlotReason, UpstreamSlot},
};
use crate::{
    protocol::problem::{Refusal, RefusalKind},
    state::objects::UpstreamName,
    transport::http_client::{HttpClient, Reuse, Timeouts},
};

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: usize = 3;
/// Time without an answer after which a hedged attempt is started.
const HEDGE_DELAY: Duration = Duration::from_millis(900);
/// Maximum number of extra attempts accumulated in the budget.
const MAX_BUDGET: f64 = 64.0;
/// Extra attempts that each call adds to the budget.
const BUDGET_PER_CALL: f64 = 0.2;

/// Limits retries and hedged attempts to a fraction of all calls.
#[derive(Debug)]
pub(super) struct RetryBudget(Mutex<f64>);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(Mutex::new(MAX_BUDGET))
    }
}

impl RetryBudget {
    fn deposit(&self) {
        let mut balance = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + BUDGET_PER_CALL).min(MAX_BUDGET);
    }

    fn try_withdraw(&self) -> bool {
        let mut balance = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_sufficient = *balance >= 1.0;
        if is_sufficient {
            *balance -= 1.0;
        }
        is_sufficient
    }
}

type AttemptResult = Result<ServiceAnswer, AttemptError>;

/// The attempts of one call.
struct Attempts<'a> {
    running: FuturesUnordered<BoxFuture<'a, AttemptResult>>,
    tried_upstreams: Vec<UpstreamName>,
    clients: Vec<HttpClient>,
    possibly_sent: usize,
    last_error: Option<AttemptError>,
    unavailable_answer: Option<ServiceAnswer>,
}

impl Services {
    pub(super) async fn serve_idempotent(&self, call: &Call) -> Result<ServiceAnswer, Refusal> {
        self.retry_budget.deposit();
        let service = &call.caller_request.service;
        let first = self.upstreams.reserve(service, &[], call.deadline).await;
        let first = first.map_err(no_slot_refusal)?;
        let mut attempts = Attempts {
            running: FuturesUnordered::new(),
            tried_upstreams: Vec::new(),
            clients: Vec::new(),
            possibly_sent: 0,
            last_error: None,
            unavailable_answer: None,
        };
        self.start_attempt(call, &mut attempts, first, Reuse::Idle, "first");
        loop {
            let remaining = self.time_left(call);
            if remaining.is_zero() {
                return Err(attempts.refusal(RefusalKind::DeadlineExceeded));
            }
            let may_retry = attempts.tried_upstreams.len() < MAX_ATTEMPTS;
            let wait = if may_retry {
                remaining.min(HEDGE_DELAY)
            } else {
                remaining
            };
            match timeout(wait, attempts.running.next()).await {
                Ok(Some(result)) => {
                    if let Some(answer) = attempts.handle_result(result) {
                        return Ok(answer);
                    }
                    self.start_retry(call, &mut attempts, "failed");
                }
                Ok(None) => return attempts.finish(),
                Err(_) if may_retry => {
                    attempts.clients.iter().for_each(HttpClient::drop_idle);
                    self.start_retry(call, &mut attempts, "silent");
                }
                Err(_) => {}
            }
        }
    }

    /// Starts another attempt on a new connection, at another upstream if possible.
    fn start_retry<'a>(&'a self, call: &'a Call, attempts: &mut Attempts<'a>, reason: &str) {
        if attempts.tried_upstreams.len() >= MAX_ATTEMPTS {
            return;
        }
        let Ok(slot) = self
            .upstreams
            .try_reserve(&call.caller_request.service, &attempts.tried_upstreams)
        else {
            return;
        };
        if !self.retry_budget.try_withdraw() {
            self.record_decision(
                call,
                "retry",
                format_args!("refused=budget reason={reason}"),
            );
            return;
        }
        self.start_attempt(call, attempts, slot, Reuse::Fresh, reason);
    }

    fn start_attempt<'a>(
        &'a self,
        call: &'a Call,
        attempts: &mut Attempts<'a>,
        slot: UpstreamSlot,
        reuse: Reuse,
        reason: &str,
    ) {
        let number = attempts.tried_upstreams.len();
        let upstream = &slot.upstream;
        self.record_decision(
            call,
            "route",
            format_args!("upstream={upstream} try={number} reason={reason}"),
        );
        attempts.tried_upstreams.push(upstream.clone());
        attempts.clients.push(slot.http.clone());
        attempts.possibly_sent += 1;
        let result = async move { self.exchange(call, &slot, reuse).await };
        attempts.running.push(result.boxed());
    }

    async fn exchange(
        &self,
        call: &Call,
        slot: &UpstreamSlot,
        reuse: Reuse,
    ) -> Result<ServiceAnswer, AttemptError> {
        if !self.upstreams.still_in_service(slot) {
            return Err(AttemptError::OutOfService);
        }
        let attempt = self.next_attempt_id();
        let req = build_request(&call.caller_request, &attempt)?;
        let remaining = self.time_left(call);
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            head: remaining,
            chunk: remaining,
        };
        let mut exchange = slot.http.send(req, reuse, timeouts).await?;
        read_answer(&mut exchange, &attempt).await
    }
}

impl Attempts<'_> {
    /// Returns the answer, unless the attempt failed in a way that allows a retry.
    fn handle_result(&mut self, result: AttemptResult) -> Option<ServiceAnswer> {
        match result {
            Ok(answer) if is_unavailable(answer.status) => {
                self.unavailable_answer = Some(answer);
                None
            }
            Ok(answer) => Some(answer),
            Err(e) => {
                if e.not_run() {
                    self.possibly_sent -= 1;
                }
                self.last_error = Some(e);
                None
            }
        }
    }

    fn finish(self) -> Result<ServiceAnswer, Refusal> {
        match self.unavailable_answer {
            Some(answer) => Ok(answer),
            None => Err(self.refusal(RefusalKind::UpstreamFailed)),
        }
    }

    fn refusal(&self, kind: RefusalKind) -> Refusal {
        let detail = self.last_error.as_ref().map_or_else(
            || "no answer before the deadline".to_owned(),
            ToString::to_string,
        );
        let refusal = if self.possibly_sent == 0 {
            Refusal::not_run(kind, "dispatch", detail)
        } else {
            Refusal::unknown(kind, "dispatch", detail)
        };
        let refusal = refusal.retry_after(Duration::from_secs(1));
        match self.tried_upstreams.last() {
            Some(upstream) => refusal.with_peer(upstream.clone()),
            None => refusal,
        }
    }
}

/// Whether the status indicates that another replica may succeed.
fn is_unavailable(status: u16) -> bool {
    let unavailable = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    unavailable.iter().any(|s| s.as_u16() == status)
}

/// Converts the reason why no slot was reserved to a refusal.
pub(super) fn no_slot_refusal(reason: NoSlotReason) -> Refusal {
    let (kind, detail) = match reason {
        NoSlotReason::NoneInService => (RefusalKind::NoUpstream, "no upstream is in service"),
        NoSlotReason::Full => (
            RefusalKind::Overloaded,
            "too many calls are waiting for the service",
        ),
        NoSlotReason::TimedOut => (
            RefusalKind::DeadlineExceeded,
            "no upstream had a free slot before the deadline",
        ),
    };
    Refusal::not_run(kind, "route", detail).retry_after(Duration::from_secs(1))
}
