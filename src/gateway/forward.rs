//! The path of a request: choice of an upstream, attempts, and the answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, Response, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::{
    UpstreamId,
    configuration::Kind,
    headers::{AnswerHead, UpstreamHead, request_id, towards_caller, towards_upstream},
};

use crate::{
    coordination::dispatch::{
        Assignment, NoSlotReason, Placement, PlacementRequest, Quality,
        escalation::{EscalationDecision, decide_escalation},
        health::AttemptOutcome,
    },
    gateway::{
        attempt::{self, Answer, AttemptError},
        call::Call,
        metrics, peer_link, relay,
        reply::{self, Body, Reason},
        shared::{Place, Shared},
    },
};

/// Upstreams that may refuse connections before a request is refused.
const MAX_UNREACHABLE: u32 = 4;
/// The greatest whole answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The part of the latency objective for which an upstream may be silent beyond what is expected.
const SILENCE_PART: f64 = 0.8;
/// How many times the expected wait an upstream may take.
const EXPECTED_FACTOR: u32 = 4;
/// The least time that is left for a further attempt to be worth it.
const LEAST_REMAINING: Duration = Duration::from_millis(60);
/// When to come back to another daemon while this one starts.
const START_RETRY: Duration = Duration::from_millis(300);
/// When to come back with a request that has crashed upstreams.
const POISON_RETRY: Duration = Duration::from_secs(30);

/// Serves a caller's request.
pub async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let id: CompactString = request_id(req.headers()).unwrap_or("-").into();
    let call = match Call::read(&shared, req).await {
        Ok(call) => call,
        Err(reason) => {
            let wait = (reason == Reason::NoConfiguration).then_some(START_RETRY);
            let routes = shared.core().routes();
            let generation = routes.map_or(0, |routes| routes.configuration().generation);
            log::info!("event=refused id={id} reason={reason} generation={generation}");
            let took = shared.now().saturating_duration_since(arrived);
            metrics::request(&reason.to_string(), took);
            return closing(&shared, reply::refuse(reason, wait));
        }
    };
    let response = Exchange::new(shared.clone(), Arc::new(call)).run().await;
    closing(&shared, response)
}

/// Asks the caller to connect elsewhere next time, if this daemon is about to stop.
fn closing(shared: &Shared, mut response: Response<Body>) -> Response<Body> {
    if shared.is_leaving() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// The attempts made for one request.
pub struct Exchange {
    /// What the gateway's tasks share.
    pub shared: Arc<Shared>,
    /// The request.
    pub call: Arc<Call>,
    /// The model that is asked, where the system chooses it.
    pub model: Option<CompactString>,
    tried: Vec<UpstreamId>,
    attempts: u32,
    unreachable: u32,
    /// Whether an upstream may have run it.
    may_have_run: bool,
    /// A failure that an upstream answered with, to be passed on if nothing better comes.
    failure: Option<Response<Body>>,
}

/// What an attempt led to.
enum Step {
    Done(Response<Body>),
    /// A larger model is asked, and the repeat is paid for.
    Escalated,
    Again,
    GiveUp(Reason),
}

impl Exchange {
    /// No attempt has been made yet.
    pub fn new(shared: Arc<Shared>, call: Arc<Call>) -> Self {
        Self {
            model: call.models().first().cloned(),
            shared,
            call,
            tried: Vec::new(),
            attempts: 0,
            unreachable: 0,
            may_have_run: false,
            failure: None,
        }
    }

    /// Makes attempts until there is an answer.
    pub async fn run(mut self) -> Response<Body> {
        let now = self.shared.now();
        let poison = {
            let mut core = self.shared.core();
            core.record_request(&self.call.service, now);
            core.poison.is_poison(self.call.fingerprint)
        };
        if poison {
            return self.refuse(Reason::Poison, Some(POISON_RETRY));
        }
        loop {
            let place = match self.place().await {
                Ok(place) => place,
                Err((reason, wait)) => return self.refuse(reason, wait),
            };
            let patience = self.patience(&place);
            let step = match self.attempt(place, patience).await {
                Step::Done(response) => return response,
                Step::Escalated => continue,
                Step::Again if self.may_repeat() => continue,
                Step::Again => self.last_reason(),
                Step::GiveUp(reason) => reason,
            };
            if let Some(failure) = self.failure.take() {
                return failure;
            }
            let wait = (step == Reason::RefusedByUpstreams).then_some(START_RETRY);
            return self.refuse(step, wait);
        }
    }

    /// Takes a place on an upstream, waiting only while cold upstreams are paced.
    pub async fn place(&mut self) -> Result<Place, (Reason, Option<Duration>)> {
        loop {
            let now = self.shared.now();
            let remaining = self.call.remaining(now);
            if remaining.is_zero() {
                return Err((Reason::Timeout, None));
            }
            let ask = self.ask(self.model.as_ref());
            let choice = self.shared.core().select_upstream(&ask, now);
            match choice {
                Placement::Assigned(ticket) => {
                    self.log_choice(&ticket);
                    peer_link::announce(&self.shared, &ticket);
                    return Ok(Place::hold(self.shared.clone(), ticket));
                }
                Placement::Wait(wait) if wait < remaining => tokio::time::sleep(wait).await,
                Placement::Wait(wait) => return Err((Reason::NoPlace, Some(wait))),
                Placement::Refuse(NoSlotReason::NoneUsable, _) if !self.tried.is_empty() => {
                    // Every upstream has had it once; a second time is better than a failure.
                    self.tried.clear();
                    if self.attempts == 0 {
                        return Err((Reason::NoPlace, Some(START_RETRY)));
                    }
                    self.attempts = self.attempts.max(self.call.route.max_attempts - 1);
                }
                Placement::Refuse(why, wait) => {
                    log::info!("event=no_place id={} why={why}", self.call.id());
                    return Err((self.no_place_reason(), Some(wait)));
                }
            }
        }
    }

    fn ask<'a>(&'a self, model: Option<&'a CompactString>) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.call.service,
            route: &self.call.route.name,
            session: self.call.session,
            model: model.map(CompactString::as_str),
            prompt: self.call.head.prompt.as_ref(),
            body_bytes: self.call.body.len(),
            tried: &self.tried,
        }
    }

    /// The request as it is sent to the upstream of a place.
    pub fn request(&self, place: &Place, after: Option<u64>) -> Request<Full<Bytes>> {
        let remaining = self.call.remaining(self.shared.now());
        let headers = towards_upstream(
            &self.call.headers,
            &UpstreamHead {
                remaining,
                upstream: &place.ticket.upstream,
                customer: self.call.customer.as_deref(),
                model: self.model.as_deref(),
                priority: self.call.priority,
                last_event_id: after,
            },
        );
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.method.clone();
        *request.uri_mut() = Uri::from(self.call.path.clone());
        *request.headers_mut() = headers;
        request
    }

    /// Whether a further attempt is allowed, worth it and within the budget.
    pub fn may_repeat(&mut self) -> bool {
        let now = self.shared.now();
        let sent_before = self.attempts > 0;
        if self.may_have_run && !self.call.route.repeatable() {
            return false;
        }
        if self.attempts >= self.call.route.max_attempts || self.unreachable > MAX_UNREACHABLE {
            return false;
        }
        if self.call.remaining(now) < LEAST_REMAINING {
            return false;
        }
        let within = !sent_before || self.shared.core().try_retry(&self.call.service, now);
        if !within {
            log::info!("event=repeat_over_budget id={}", self.call.id());
        }
        within
    }

    async fn attempt(&mut self, mut place: Place, patience: Duration) -> Step {
        let request = self.request(&place, None);
        self.attempts += 1;
        let address = place.ticket.address;
        let answer = match attempt::send(address, request, patience).await {
            Ok(answer) => answer,
            Err(e) => return self.failed(&mut place, &e),
        };
        let head = self.answer_head(&answer);
        place.begun();
        self.note_tried(&place);
        if head.not_run {
            place.ended(AttemptOutcome::Refused);
            self.log_end(&place, "refused_by_upstream");
            return Step::Again;
        }
        self.may_have_run = true;
        if !head.own || (!head.signed && head.status.is_success()) {
            place.ended(AttemptOutcome::Failed);
            self.judge(&place, Quality::Failed);
            self.log_end(&place, "not_an_answer");
            return Step::Again;
        }
        match self.call.route.kind {
            Kind::Streaming if head.status.is_success() => self.stream(place, answer, &head),
            _ => self.whole(place, answer, &head).await,
        }
    }

    fn stream(&mut self, mut place: Place, answer: Answer, head: &AnswerHead) -> Step {
        if let Some(larger) = self.escalate(head)
            && self.may_repeat()
        {
            place.ended(AttemptOutcome::Served);
            self.judge(&place, Quality::Good);
            self.log_end(&place, "escalated");
            self.model = Some(larger);
            // The same upstream may run the larger model.
            self.tried.clear();
            return Step::Escalated;
        }
        let headers = towards_caller(answer.response.headers());
        let status = answer.response.status();
        let exchange = Self {
            shared: self.shared.clone(),
            call: self.call.clone(),
            model: self.model.clone(),
            tried: std::mem::take(&mut self.tried),
            attempts: self.attempts,
            unreachable: self.unreachable,
            may_have_run: true,
            failure: None,
        };
        let body = relay::spawn(exchange, place, answer);
        Step::Done(reply::stream(status, headers, body))
    }

    async fn whole(&mut self, mut place: Place, answer: Answer, head: &AnswerHead) -> Step {
        let remaining = self.call.remaining(self.shared.now());
        let headers = towards_caller(answer.response.headers());
        // The connection stays open until `answer` is dropped.
        let body = Limited::new(answer.response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = match tokio::time::timeout(remaining, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                place.ended(AttemptOutcome::Failed);
                self.judge(&place, Quality::Broken);
                log::info!("event=answer_broken id={} error=\"{e}\"", self.call.id());
                self.log_end(&place, "broken");
                return Step::Again;
            }
            Err(_) => return Step::GiveUp(Reason::Timeout),
        };
        let failed = head.status.is_server_error();
        place.ended(if failed {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Served
        });
        let quality = if failed {
            Quality::Failed
        } else {
            Quality::Good
        };
        self.judge(&place, quality);
        self.log_end(&place, if failed { "failed" } else { "served" });
        let response = reply::whole(head.status, headers, body);
        if !failed || !self.call.route.repeatable() {
            self.count(if failed { "failed" } else { "served" });
            return Step::Done(response);
        }
        self.failure = Some(response);
        Step::Again
    }

    fn failed(&mut self, place: &mut Place, e: &AttemptError) -> Step {
        self.note_tried(place);
        match e {
            AttemptError::Unreachable(_) => {
                self.attempts -= 1;
                self.unreachable += 1;
                place.ended(AttemptOutcome::Unreachable);
                self.shared.news.notify_one();
            }
            AttemptError::Broken(_) => {
                self.may_have_run = true;
                place.ended(AttemptOutcome::Failed);
                self.judge(place, Quality::Broken);
                self.broke(place);
            }
            AttemptError::Silent(_) => {
                self.may_have_run = true;
                place.ended(AttemptOutcome::Failed);
                self.judge(place, Quality::Failed);
            }
        }
        log::info!(
            "event=attempt_failed id={} upstream={} {e}",
            self.call.id(),
            place.ticket.upstream
        );
        metrics::attempt(match e {
            AttemptError::Unreachable(_) => "unreachable",
            AttemptError::Broken(_) => "broken",
            AttemptError::Silent(_) => "silent",
        });
        if self.call.remaining(self.shared.now()).is_zero() {
            return Step::GiveUp(Reason::Timeout);
        }
        Step::Again
    }

    /// Notes that an upstream broke off this request.
    pub fn broke(&self, place: &Place) {
        let now = self.shared.now();
        let upstream = place.ticket.upstream.clone();
        let mut core = self.shared.core();
        core.poison
            .connection_broken(upstream, self.call.fingerprint, now);
    }

    /// Notes the quality of an answer for a roll-out.
    pub fn judge(&self, place: &Place, quality: Quality) {
        let now = self.shared.now();
        let mut core = self.shared.core();
        core.record_quality(&place.ticket, quality, now);
    }

    /// Notes the pace of a stream's events for a roll-out.
    pub fn paced(&self, place: &Place, per_event: Duration) {
        let now = self.shared.now();
        self.shared
            .core()
            .record_pace(&place.ticket, per_event, now);
    }

    /// Notes an attempt that is about to be made to go on with a stream.
    pub fn note_attempt(&mut self, place: &Place) {
        self.attempts += 1;
        self.note_tried(place);
    }

    fn note_tried(&mut self, place: &Place) {
        self.tried.push(place.ticket.upstream.clone());
    }

    /// What the head of an answer to this request says.
    pub fn answer_head(&self, answer: &Answer) -> AnswerHead {
        AnswerHead::decode(
            answer.response.status(),
            answer.response.headers(),
            self.call.head.id.as_deref(),
        )
    }

    /// Counts the request's end.
    pub fn count(&self, outcome: &str) {
        metrics::request(outcome, self.call.age(self.shared.now()));
    }

    /// Writes down how an attempt ended.
    pub fn log_end(&self, place: &Place, outcome: &str) {
        metrics::attempt(outcome);
        log::info!(
            "event=attempt_ended id={} upstream={} outcome={outcome} ms={}",
            self.call.id(),
            place.ticket.upstream,
            place.age().as_millis()
        );
    }

    /// The larger model to ask, if the answer of this one is not to be trusted.
    fn escalate(&self, head: &AnswerHead) -> Option<CompactString> {
        let largest = self.call.models().last()?;
        if self.model.as_ref() == Some(largest) || self.attempts >= self.call.route.max_attempts {
            return None;
        }
        let now = self.shared.now();
        let waited = self.call.age(now);
        let wait = self
            .shared
            .core()
            .expected_wait(&self.ask(Some(largest)), now);
        let on_time = wait.is_some_and(|wait| waited + wait <= self.call.route.latency_objective);
        match decide_escalation(head.confidence, on_time) {
            EscalationDecision::Keep => None,
            EscalationDecision::Escalate => Some(largest.clone()),
        }
    }

    /// How long to wait for the head of an answer.
    fn patience(&self, place: &Place) -> Duration {
        let remaining = self.call.remaining(self.shared.now());
        let last = self.attempts + 1 >= self.call.route.max_attempts;
        if last || !self.call.route.repeatable() {
            return remaining;
        }
        let silence = self.call.route.latency_objective.mul_f64(SILENCE_PART);
        (silence + place.ticket.expected_first_event() * EXPECTED_FACTOR).min(remaining)
    }

    fn last_reason(&self) -> Reason {
        match self.may_have_run {
            true => Reason::NoAnswer,
            false if self.attempts == 0 => Reason::NoPlace,
            false => Reason::RefusedByUpstreams,
        }
    }

    fn no_place_reason(&self) -> Reason {
        match self.may_have_run {
            true => Reason::NoAnswer,
            false => Reason::NoPlace,
        }
    }

    fn refuse(&self, reason: Reason, wait: Option<Duration>) -> Response<Body> {
        let waited = self.call.age(self.shared.now());
        log::info!(
            "event=refused id={} route={} reason={reason} attempts={} generation={} ms={} retry_after_ms={}",
            self.call.id(),
            self.call.route.name,
            self.attempts,
            self.call.generation,
            waited.as_millis(),
            wait.unwrap_or_default().as_millis()
        );
        self.count(&reason.to_string());
        reply::refuse(reason, wait)
    }

    fn log_choice(&self, ticket: &Assignment) {
        log::info!(
            "event=chosen id={} session={:016x} route={} upstream={} version={} arm={} model={} attempt={} expected_ms={} generation={}",
            self.call.id(),
            self.call.session,
            self.call.route.name,
            ticket.upstream,
            ticket.version,
            ticket.arm.map_or("none", |arm| arm.name()),
            self.model.as_deref().unwrap_or("-"),
            self.attempts + 1,
            ticket.expected_first_event().as_millis(),
            self.call.generation
        );
    }
}
