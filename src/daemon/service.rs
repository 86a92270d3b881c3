//! Calls of plain services: idempotent ones are retried, the others run at most once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use crate::{
    coordination::{
        bills::Bill,
        claims::{Answer, Fingerprint, Header, IdempotencyKey},
        decisions::RequestId,
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

/// A caller's call of a plain service, its customer authenticated.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The request's id for logs, and its bill's key where there is no idempotency key.
    pub request_id: RequestId,
    /// Who calls.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: CompactString,
    /// The path and query after the service's name, with a leading slash.
    pub path: String,
    /// The headers for the upstream.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the caller stops waiting; `None` for the service's default.
    pub deadline: Option<Instant>,
}

/// An upstream's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// A call with all that is known of it.
#[derive(Clone, Debug)]
struct Call {
    asked: Arc<ServiceCall>,
    deadline: Instant,
}

/// Serves calls of plain services.
pub struct Services {
    core: Arc<Core>,
    claims: Arc<Claims>,
    billing: Arc<Billing>,
    configuration: Arc<Configuration>,
    upstreams: Upstreams,
    attempts: AtomicU64,
    hedges: idempotent::Budget,
}

impl Services {
    /// Serves with the claims, bills and configuration of a running daemon.
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
            attempts: AtomicU64::new(0),
            hedges: idempotent::Budget::default(),
        })
    }

    /// Serves a call; the answer is billed when it is returned.
    pub async fn serve(self: &Arc<Self>, call: ServiceCall) -> Result<ServiceAnswer, Refusal> {
        let service = self.admit(&call)?;
        let default = Duration::from_millis(service.deadline_ms);
        let now = self.core.clock.now();
        let call = Call {
            deadline: call.deadline.unwrap_or(now + default),
            asked: Arc::new(call),
        };
        if is_non_idempotent(&service, &call.asked.method, &call.asked.path) {
            return self.serve_once(call).await;
        }
        self.check_ready()?;
        let answer = self.serve_idempotent(&call).await?;
        self.bill(&call).await?;
        Ok(answer)
    }

    /// Answers a peer's question about claims.
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
        let asked = &call.asked;
        let key = asked.idempotency_key.as_ref().unwrap_or(&asked.request_id);
        let at = self.core.clock.wall();
        let bill = Bill::for_service_call(&asked.customer, key, &asked.service, at);
        self.decide(
            call,
            "bill",
            format_args!("item={} units={}", bill.item, bill.units),
        );
        self.billing.record(bill).await.map_err(|e| {
            Refusal::unknown(RefusalKind::NotReady, "bill", e.to_string())
                .retry_after(Duration::from_secs(1))
        })
    }

    fn next_attempt(&self) -> CompactString {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format_compact!("{:016x}-s{number:x}", self.core.incarnation)
    }

    fn time_left(&self, call: &Call) -> Duration {
        call.deadline
            .saturating_duration_since(self.core.clock.now())
    }

    fn decide(&self, call: &Call, step: &str, detail: impl std::fmt::Display) {
        self.core
            .record_decision(&call.asked.request_id, step, detail);
    }
}

impl ServiceCall {
    /// A digest of what is asked for, by which a reused idempotency key is noticed.
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
