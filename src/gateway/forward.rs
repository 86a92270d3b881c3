//! Handling of a request: selection of an upstream, attempts and the response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use derive_more::Display;
use http::{Request, Response, Uri, header};
use hyper::body::Incoming;
use platform::{
    UpstreamId,
    headers::{ResponseHead, UpstreamHead, headers_for_upstream, request_id},
};

use crate::{
    coordination::{
        body_budget::STALL_TIME,
        dispatch::{crash_evidence::Suspect, heartbeat::DaemonName, waiting::Rejection},
        execution::ExecutionEvidence,
    },
    gateway::{
        attempt::UpstreamResponse,
        call::Call,
        delegate::{self, EarlierAttempts},
        drain::{DrainRequest, Leaving, WorkGuard},
        metrics,
        outcome::AttemptAnswer,
        reply::{Body, CallerResponse, RefusalReason, UpstreamAnswer},
        retry_permit::RetryPermit,
        shared::{Shared, SlotGuard},
        target::Target,
    },
    transport::{body_memory::HeldBodyStream, caller_stream::RequestBody},
};

/// Maximum number of upstreams that may be unreachable before a request is refused.
const MAX_UNREACHABLE_UPSTREAMS: u32 = 4;
/// Minimum remaining time for another attempt to be worthwhile.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);
/// Retry-After while this daemon starts up, or when no upstream accepted the request.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After for a request that has crashed upstreams.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Origin {
    /// From a caller.
    Caller,
    /// From another daemon that cannot reach the upstreams; it is not delegated again.
    Peer,
}

/// Serves a request.
pub async fn serve(
    shared: Arc<Shared>,
    origin: Origin,
    mut req: Request<RequestBody<Incoming>>,
) -> Response<Body> {
    let arrived_at = shared.now();
    let id: CompactString = request_id(req.headers()).unwrap_or("-").into();
    shared.await_tables().await;
    let earlier = match origin {
        Origin::Caller => EarlierAttempts::default(),
        Origin::Peer => EarlierAttempts::take_from(req.headers_mut()),
    };
    let call = match Call::read(&shared, req).await {
        Ok(call) => call,
        Err(reason) => {
            let wait = match reason {
                RefusalReason::NoConfiguration => Some(STARTUP_RETRY_AFTER),
                // Bodies that stop short give way by then.
                RefusalReason::NoMemory => Some(STALL_TIME),
                _ => None,
            };
            let routes = shared.dispatcher().routes();
            let generation = routes.map_or(0, |routes| routes.configuration().generation);
            log::info!("event=refused id={id} reason={reason} generation={generation}");
            let elapsed = shared.now().saturating_duration_since(arrived_at);
            metrics::request(&reason.to_string(), elapsed);
            let not_sent = ExecutionEvidence::default().not_run();
            let mut response = CallerResponse::refusal(reason, wait, not_sent);
            if origin == Origin::Peer {
                delegate::mark_refusal(&mut response, earlier.count);
            }
            return add_connection_close(&shared, response);
        }
    };
    let call = Arc::new(call);
    let exchange = Exchange {
        origin,
        attempts: earlier.count,
        is_counted: earlier.is_counted,
        ..Exchange::new(shared.clone(), call.clone())
    };
    let response = tokio::select! {
        response = exchange.run() => response,
        () = shared.drain.expired() => answer_before_exit(&shared, &call),
    };
    add_connection_close(&shared, response)
}

/// Answers a request that still runs when the process must exit; it may have run.
fn answer_before_exit(shared: &Shared, call: &Call) -> CallerResponse {
    let reason = RefusalReason::NoAnswer;
    let elapsed = call.age(shared.now());
    log::warn!(
        "event=refused id={} route={} reason={reason} why=exit generation={} ms={}",
        call.id(),
        call.route.name,
        call.generation,
        elapsed.as_millis()
    );
    metrics::request(&reason.to_string(), elapsed);
    CallerResponse::refusal(reason, None, None)
}

/// Tells the caller to reconnect, possibly to another daemon, if this daemon is shutting down.
fn add_connection_close(shared: &Shared, mut response: CallerResponse) -> Response<Body> {
    if shared.is_leaving() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.into_inner()
}

/// The state of one request across its attempts.
pub struct Exchange {
    /// State shared by the gateway's tasks.
    pub shared: Arc<Shared>,
    /// The request.
    pub call: Arc<Call>,
    /// The model to use; absent if the caller named one.
    pub model: Option<CompactString>,
    /// Where the request comes from.
    pub(super) origin: Origin,
    /// The upstreams that were tried.
    pub(super) tried: Vec<UpstreamId>,
    /// The daemons that it was delegated to.
    pub(super) delegates: Vec<DaemonName>,
    /// Whether a daemon, this or another one, counts it towards the retry budget.
    pub(super) is_counted: bool,
    /// The time as of which this daemon counts it, if it is this one.
    pub(super) counted_at: Option<Instant>,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// The retry that is reserved for the next attempt.
    pub(super) retry_permit: Option<RetryPermit>,
    /// Number of upstreams that could not be reached.
    pub(super) unreachable: u32,
    /// Number of open connections that were lost.
    pub(super) broken: u32,
    /// What the attempts show of whether the request has run.
    pub(super) evidence: ExecutionEvidence,
    /// An upstream's error response, forwarded if no later attempt succeeds.
    pub(super) failure: Option<AttemptAnswer>,
    /// Another daemon's refusal, forwarded if nothing else can serve the request.
    pub(super) peer_refusal: Option<UpstreamAnswer>,
    /// Why it was rejected for lack of capacity.
    pub(super) rejection: Option<Rejection>,
    /// Keeps the daemon running during shutdown until the response is complete.
    pub(super) work: WorkGuard,
}

/// What to do after an attempt.
pub(super) enum NextStep {
    Done(CallerResponse),
    /// Repeat the request with a larger model; a retry is already reserved.
    Escalated,
    Retry,
    GiveUp(RefusalReason),
}

impl Exchange {
    /// Creates the state of a request before its first attempt.
    pub fn new(shared: Arc<Shared>, call: Arc<Call>) -> Self {
        Self {
            work: shared.drain.start_work(),
            model: call.models().first().cloned(),
            shared,
            call,
            origin: Origin::Caller,
            tried: Vec::new(),
            delegates: Vec::new(),
            is_counted: false,
            counted_at: None,
            attempts: 0,
            retry_permit: None,
            unreachable: 0,
            broken: 0,
            evidence: ExecutionEvidence::default(),
            failure: None,
            peer_refusal: None,
            rejection: None,
        }
    }

    /// Makes attempts until there is a response for the caller.
    pub async fn run(mut self) -> CallerResponse {
        let now = self.shared.now();
        if let Some(leaving) = self.leaving(now) {
            return self.refuse(RefusalReason::Leaving, Some(leaving.retry_after));
        }
        self.count(now);
        if let Some(suspect) = self.poison() {
            log::info!("event=poison_refused id={} {suspect}", self.call.id());
            return self.refuse(RefusalReason::Poison, Some(POISON_RETRY_AFTER));
        }
        loop {
            let next_step = match self.choose_target().await {
                Ok(Target::Upstream(slot)) => self.attempt(slot).await,
                Ok(Target::Peer(delegation)) => self.delegate(delegation).await,
                Err((reason, wait)) => return self.refuse_or_pass_refusal(reason, wait),
            };
            let reason = match next_step {
                NextStep::Done(response) => return response,
                NextStep::Escalated => continue,
                NextStep::Retry if self.may_retry() => continue,
                NextStep::Retry => self.failure_reason(),
                NextStep::GiveUp(reason) => reason,
            };
            let reason = reason.proved_by(self.evidence.not_run());
            let wait = (reason == RefusalReason::RefusedByUpstreams).then_some(STARTUP_RETRY_AFTER);
            return self.give_up(reason, wait);
        }
    }

    /// Counts the request towards the retry budget, unless another daemon does.
    fn count(&mut self, now: Instant) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        let mut dispatcher = self.shared.dispatcher();
        self.counted_at = Some(dispatcher.record_request(&self.call.service, now));
    }

    /// Builds the request for the upstream of a slot; `after` resumes a stream after that event.
    pub fn request(&self, slot: &SlotGuard, after: Option<u64>) -> Request<HeldBodyStream> {
        let remaining = self.call.remaining(self.shared.now());
        let headers = headers_for_upstream(
            &self.call.headers,
            &UpstreamHead {
                remaining,
                upstream: &slot.assignment.upstream,
                customer: self.call.customer.as_deref(),
                model: self.model.as_deref(),
                priority: self.call.priority,
                last_event_id: after,
            },
        );
        let mut request = Request::new(HeldBodyStream::from(self.call.body.clone()));
        *request.method_mut() = self.call.method.clone();
        *request.uri_mut() = Uri::from(self.call.path.clone());
        *request.headers_mut() = headers;
        request
    }

    /// Charges the attempt that is sent now to the retry budget, unless it is the first one.
    pub(super) fn spend_retry(&mut self) {
        if let Some(permit) = self.retry_permit.take() {
            permit.spend();
        }
    }

    /// Whether another attempt is allowed, worthwhile and within the retry budget, where it is reserved.
    pub fn may_retry(&mut self) -> bool {
        let now = self.shared.now();
        let sent_before = self.attempts > 0;
        if self.evidence.may_have_run() && !self.call.route.is_retryable() {
            return false;
        }
        if self.attempts >= self.call.route.max_attempts
            || self.unreachable > MAX_UNREACHABLE_UPSTREAMS
        {
            return false;
        }
        if self.call.remaining(now) < MIN_ATTEMPT_TIME || self.poison().is_some() {
            return false;
        }
        self.retry_permit = None;
        if sent_before {
            self.retry_permit = RetryPermit::reserve(&self.shared, &self.call.service);
        }
        let allowed = !sent_before || self.retry_permit.is_some();
        if !allowed {
            let service = &self.call.service;
            let usage = self.shared.dispatcher().retry_usage(service, now);
            log::info!(
                "event=repeat_over_budget id={} service={service} {usage}",
                self.call.id()
            );
        }
        allowed
    }

    /// Returns whether the request is refused because the daemon shuts down.
    pub(super) fn leaving(&self, now: Instant) -> Option<Leaving> {
        let request = DrainRequest {
            remaining: self.call.remaining(now),
            is_retryable: self.call.route.is_retryable(),
        };
        let has_successor = || self.shared.has_ready_peer(now);
        self.shared.drain.refuses(request, has_successor, now)
    }

    /// Returns the suspect for which the request is refused, if any.
    fn poison(&self) -> Option<Suspect> {
        self.shared.dispatcher().poison.poison(&self.call.suspects)
    }

    pub(super) fn record_tried(&mut self, slot: &SlotGuard) {
        self.tried.push(slot.assignment.upstream.clone());
    }

    /// Decodes the head of a response to this request.
    pub fn response_head(&self, upstream_response: &UpstreamResponse) -> ResponseHead {
        ResponseHead::decode(
            upstream_response.response.status(),
            upstream_response.response.headers(),
            self.call.head.id.as_deref(),
        )
    }

    /// Returns how long to wait for a response head before another attempt is considered; `None` if none may follow.
    pub(super) fn late_after(&self, slot: &SlotGuard) -> Option<Duration> {
        let is_last = self.attempts + 1 >= self.call.route.max_attempts;
        if is_last || !self.call.route.is_retryable() {
            return None;
        }
        let now = self.shared.now();
        let objective = self.call.route.latency_objective;
        let dispatcher = self.shared.dispatcher();
        let late_after = dispatcher.late_after(&slot.assignment, objective, now);
        (late_after < self.call.remaining(now)).then_some(late_after)
    }

    fn failure_reason(&self) -> RefusalReason {
        match self.attempts {
            0 => RefusalReason::NoSlot,
            _ => RefusalReason::RefusedByUpstreams,
        }
    }
}
