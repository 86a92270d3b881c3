//! Calls to plain services: idempotent calls are retried, others are executed at most once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::StatusCode;

use crate::{
    coordination::{
        bills::Bill,
        claims::{Answer, Fingerprint, Header, IdempotencyKey},
        decisions::RequestId,
        execution::promises_not_run,
    },
    daemon::{
        billing::Billing, claims::Claims, configuration::Configuration, core::Core, readiness,
    },
    protocol::{
        peer::claims::{Request, Response},
        problem::{Refusal, RefusalKind},
    },
    state::objects::{CustomerName, Service, ServiceName},
};

mod attempt;
mod forward;
mod idempotent;
mod once;
mod operation;
mod upstreams;

pub use operation::is_non_idempotent;

use upstreams::Upstreams;

/// A call to a plain service by an authenticated customer.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The request's id in logs, also the key of its bill if there is no idempotency key.
    pub request_id: RequestId,
    /// The calling customer.
    pub customer: CustomerName,
    /// The called service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: CompactString,
    /// The path and query that follow the service's name, with a leading slash.
    pub path: String,
    /// The headers to send to the upstream.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the caller stops waiting; `None` for the service's default deadline.
    pub deadline: Option<Instant>,
}

/// The complete answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers to return to the caller.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// A call and its effective deadline.
#[derive(Clone, Debug)]
struct Call {
    caller_request: Arc<ServiceCall>,
    deadline: Instant,
}

/// Serves calls to plain services.
pub struct Services {
    core: Arc<Core>,
    claims: Arc<Claims>,
    billing: Arc<Billing>,
    configuration: Arc<Configuration>,
    upstreams: Upstreams,
    attempt_counter: AtomicU64,
    retry_budget: idempotent::RetryBudget,
}

impl Services {
    /// Creates the service layer from the claims, billing and configuration of a running daemon.
    pub fn spawn(
        core: Arc<Core>,
        claims: Arc<Claims>,
        billing: Arc<Billing>,
        configuration: Arc<Configuration>,
    ) -> Arc<Self> {
        Arc::new(Self {
            upstreams: Upstreams::new(core.clone()),
            core,
            claims,
            billing,
            configuration,
            attempt_counter: AtomicU64::new(0),
            retry_budget: idempotent::RetryBudget::default(),
        })
    }

    /// Serves a call. The answer's bill is durable before the answer is returned.
    pub async fn serve(self: &Arc<Self>, call: ServiceCall) -> Result<ServiceAnswer, Refusal> {
        let service = self.admit(&call)?;
        let default = Duration::from_millis(service.deadline_ms);
        let now = self.core.clock.now();
        let call = Call {
            deadline: call.deadline.unwrap_or(now + default),
            caller_request: Arc::new(call),
        };
        if is_non_idempotent(
            &service,
            &call.caller_request.method,
            &call.caller_request.path,
        ) {
            return checked(self.serve_at_most_once(call).await?);
        }
        self.check_ready()?;
        let answer = self.serve_idempotent(&call).await?;
        self.bill(&call).await?;
        checked(answer)
    }

    /// Handles a peer's request about a claim.
    pub async fn answer(self: &Arc<Self>, req: Request) -> Response {
        match req {
            Request::Attempt(query) => self.claims.attempt_state(query).await,
            Request::Run(forwarded) => self.run_forwarded(forwarded).await,
        }
    }

    fn admit(&self, call: &ServiceCall) -> Result<Service, Refusal> {
        let snapshot = self.core.snapshot();
        let name = &call.service;
        let refuse = |kind, detail: String| Err(Refusal::not_run(kind, "admit", detail));
        let Some(service) = snapshot.objects.services.get(name) else {
            return refuse(RefusalKind::NotFound, format!("no service {name:?}"));
        };
        let customer = snapshot.objects.customers.get(&call.customer);
        if !customer.is_some_and(|c| c.services.contains(name)) {
            let detail = format!("the customer may not call service {name:?}");
            return refuse(RefusalKind::NotAllowed, detail);
        }
        Ok(service.clone())
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        readiness::check(&self.configuration, &self.billing)
    }

    async fn bill(&self, call: &Call) -> Result<(), Refusal> {
        let caller_request = &call.caller_request;
        let key = caller_request
            .idempotency_key
            .as_ref()
            .unwrap_or(&caller_request.request_id);
        let at = self.core.clock.wall();
        let bill =
            Bill::for_service_call(&caller_request.customer, key, &caller_request.service, at);
        self.record_decision(
            call,
            "bill",
            format_args!("item={} units={}", bill.item, bill.units),
        );
        self.billing.record(bill).await.map_err(|e| {
            Refusal::unknown(RefusalKind::NotReady, "bill", e.to_string())
                .retry_after(Duration::from_secs(1))
        })
    }

    fn next_attempt_id(&self) -> CompactString {
        let number = self.attempt_counter.fetch_add(1, Ordering::Relaxed);
        format_compact!("{:016x}-s{number:x}", self.core.incarnation)
    }

    fn time_left(&self, call: &Call) -> Duration {
        call.deadline
            .saturating_duration_since(self.core.clock.now())
    }

    fn record_decision(&self, call: &Call, step: &str, detail: impl std::fmt::Display) {
        self.core
            .record_decision(&call.caller_request.request_id, step, detail);
    }
}

/// Refuses to pass on an answer whose status promises that the request has not run. Daemons of earlier builds
/// record and forward such answers.
fn checked(answer: ServiceAnswer) -> Result<ServiceAnswer, Refusal> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if promises_not_run(status) {
        let detail =
            format!("the upstream may have executed the request and answered with {status}");
        return Err(Refusal::unknown(
            RefusalKind::UpstreamFailed,
            "dispatch",
            detail,
        ));
    }
    Ok(answer)
}

impl ServiceCall {
    /// Returns a digest of the request that reveals an idempotency key reused for another request.
    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&[
            self.service.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}

impl From<&ServiceAnswer> for Answer {
    fn from(answer: &ServiceAnswer) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.to_vec(),
        }
    }
}

impl From<&Answer> for ServiceAnswer {
    fn from(answer: &Answer) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers.clone(),
            body: Bytes::copy_from_slice(&answer.body),
        }
    }
}
