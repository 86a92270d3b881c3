//! Delegates requests to other daemons while this one cannot reach the upstreams.
//!
//! The other daemon serves the request like one of its own callers, but does not delegate it again.
//! What it answers is passed on as it is, unless it refuses the request as not run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::ToCompactString;
use derive_more::Display;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, Uri};
use platform::{
    configuration::RouteKind,
    headers::{self, headers_for_daemon},
};

use crate::{
    coordination::{dispatch::heartbeat::DaemonName, execution::SentAttempt},
    gateway::{
        attempt::{self, AttemptError, UpstreamResponse},
        forward::{Exchange, NextStep},
        metrics,
        outcome::AttemptAnswer,
        reply::{CallerResponse, RefusalReason, UpstreamAnswer},
        settings::Settings,
        target::Target,
    },
    transport::body_memory::HeldBodyStream,
};

/// Header with the number of upstreams that a delegated request has been sent to, in the request and in a refusal.
const ATTEMPTS: HeaderName = HeaderName::from_static("hibiscusyoke-attempts");
/// Header of a delegated request that the receiver must not count towards the retry budget.
const COUNTED: HeaderName = HeaderName::from_static("hibiscusyoke-counted");
/// Header of a daemon's own refusal of a delegated request that has not run.
const NOT_RUN: HeaderName = HeaderName::from_static("hibiscusyoke-not-run");

/// A request's way to another daemon.
#[derive(Clone, Debug, Display)]
#[display("peer={peer}")]
pub struct Delegation {
    peer: DaemonName,
    address: SocketAddr,
    started_at: Instant,
}

impl Delegation {
    /// Creates one to a daemon whose datagrams come from `address`; `None` if daemons take no
    /// delegated requests. All daemons use the same ports.
    pub(super) fn to(
        peer: DaemonName,
        address: SocketAddr,
        settings: &Settings,
        now: Instant,
    ) -> Option<Self> {
        let port = settings.delegation_address()?.port();
        Some(Self {
            peer,
            address: SocketAddr::new(address.ip(), port),
            started_at: now,
        })
    }

    /// Returns the name of the daemon.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns the time since the request was delegated.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}

/// Which daemon counts a delegated request towards the retry budget.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub(super) enum CountedBy {
    /// The one that receives it.
    Receiver,
    /// The one that sends it, or one that received it before.
    Sender,
}

/// What a daemon tells of a request that it delegates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EarlierAttempts {
    /// Number of upstreams that it may have reached.
    pub(super) count: u32,
    /// Whether another daemon counts it towards the retry budget.
    pub(super) is_counted: bool,
}

impl EarlierAttempts {
    /// Removes it from the headers of a delegated request.
    pub(super) fn take_from(headers: &mut HeaderMap) -> Self {
        let count = attempts_in(headers);
        headers.remove(ATTEMPTS);
        Self {
            count,
            is_counted: headers.remove(COUNTED).is_some(),
        }
    }

    /// Adds it to the headers of a request that is delegated.
    fn add_to(self, headers: &mut HeaderMap) {
        headers.insert(ATTEMPTS, self.count.into());
        headers.remove(COUNTED);
        if self.is_counted {
            headers.insert(COUNTED, HeaderValue::from_static("1"));
        }
    }
}

/// Returns the number of upstreams to which a request has been sent, according to another daemon.
fn attempts_in(headers: &HeaderMap) -> u32 {
    let attempts = headers.get(ATTEMPTS);
    let attempts = attempts.and_then(|v| v.to_str().ok()?.parse().ok());
    attempts.unwrap_or_default()
}

/// Returns the headers of an answer to forward to the caller. An upstream's answer cannot pass for the
/// refusal of a daemon.
pub(super) fn headers_for_caller(answer: &HeaderMap) -> HeaderMap {
    let mut headers = headers::headers_for_caller(answer);
    headers.remove(NOT_RUN);
    headers.remove(ATTEMPTS);
    headers
}

/// Marks a daemon's own refusal of a delegated request, if that says that the request has not run, with the number
/// of upstreams that it was sent to.
pub(super) fn mark_refusal(response: &mut CallerResponse, attempts: u32) {
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(NOT_RUN, value);
        response.headers_mut().insert(ATTEMPTS, attempts.into());
    }
}

impl Exchange {
    /// Sends the request to another daemon; `after` resumes a stream after that event.
    pub(super) async fn send_to_peer(
        &self,
        delegation: &Delegation,
        after: Option<u64>,
        counted_by: CountedBy,
    ) -> Result<UpstreamResponse, AttemptError> {
        let remaining = self.call.remaining(self.shared.now());
        // A daemon that hangs must leave time for another one.
        let response_timeout = match self.call.route.is_retryable() {
            true => remaining / 2,
            false => remaining,
        };
        log::info!(
            "event=delegated id={} {delegation} attempts={} counted_by={counted_by}",
            self.call.id(),
            self.attempts
        );
        let mut headers = headers_for_daemon(&self.call.headers, remaining, after);
        let earlier = EarlierAttempts {
            count: self.attempts,
            is_counted: counted_by == CountedBy::Sender,
        };
        earlier.add_to(&mut headers);
        let mut request = Request::new(HeldBodyStream::from(self.call.body.clone()));
        *request.method_mut() = self.call.method.clone();
        *request.uri_mut() = Uri::from(self.call.path.clone());
        *request.headers_mut() = headers;
        let local = self.shared.settings.ip;
        attempt::send(local, delegation.address, request, response_timeout).await
    }

    /// Has another daemon serve the request.
    pub(super) async fn delegate(&mut self, delegation: Delegation) -> NextStep {
        self.spend_retry();
        let attempt = self.evidence.attempt_sent();
        let handed_over = self.hand_over_count();
        let counted_by = match handed_over {
            Some(_) => CountedBy::Receiver,
            None => CountedBy::Sender,
        };
        let response = match self.send_to_peer(&delegation, None, counted_by).await {
            Ok(response) => response,
            Err(e) => {
                if let (AttemptError::Unreachable(_), Some(at)) = (&e, handed_over) {
                    self.take_count_back(at);
                }
                return self.handle_delegation_failure(&delegation, attempt, &e);
            }
        };
        let head = self.response_head(&response);
        let is_stream = self.call.route.kind == RouteKind::Streaming && head.status.is_success();
        if is_stream && head.signed && head.matches_request {
            self.attempts += 1;
            return self.relay(Target::Peer(delegation), response);
        }
        self.pass_on(delegation, attempt, response).await
    }

    /// Stops counting the request towards the retry budget, as the daemon that receives it counts it; returns the
    /// time as of which it counted. What becomes of the request there doesn't matter: it may have counted it.
    fn hand_over_count(&mut self) -> Option<Instant> {
        let at = self.counted_at.take()?;
        let mut dispatcher = self.shared.dispatcher();
        dispatcher.withdraw_request(&self.call.service, at);
        Some(at)
    }

    /// Counts the request again, as no other daemon has received it.
    fn take_count_back(&mut self, at: Instant) {
        self.shared
            .dispatcher()
            .count_request(&self.call.service, at);
        self.counted_at = Some(at);
    }

    /// Passes on what another daemon answered, unless it refused the request as not run.
    async fn pass_on(
        &mut self,
        delegation: Delegation,
        attempt: SentAttempt,
        response: UpstreamResponse,
    ) -> NextStep {
        let remaining = self.call.remaining(self.shared.now());
        let status = response.response.status();
        let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE
            && response.response.headers().contains_key(NOT_RUN);
        let attempts = attempts_in(response.response.headers());
        let headers = headers_for_caller(response.response.headers());
        let body = self.shared.read_response(response.response.into_body());
        let body = match tokio::time::timeout(remaining, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                self.attempts += 1;
                log::info!("event=answer_broken id={} error=\"{e}\"", self.call.id());
                self.log_delegation_end(&delegation, "broken");
                return NextStep::Retry;
            }
            Err(_) => return NextStep::GiveUp(RefusalReason::Timeout),
        };
        let answer = UpstreamAnswer {
            status,
            headers,
            body,
        };
        if is_refusal {
            self.evidence.attempt_not_run(attempt);
            self.attempts = self.attempts.max(attempts);
            self.log_delegation_end(&delegation, "refused_by_peer");
            self.peer_refusal = Some(answer);
            return NextStep::Retry;
        }
        let outcome = match status.is_success() {
            true => "served",
            false => "failed",
        };
        self.log_delegation_end(&delegation, outcome);
        NextStep::Done(self.respond(AttemptAnswer {
            source: delegation.to_compact_string(),
            outcome,
            answer,
        }))
    }

    fn handle_delegation_failure(
        &mut self,
        delegation: &Delegation,
        attempt: SentAttempt,
        e: &AttemptError,
    ) -> NextStep {
        log::info!(
            "event=attempt_failed id={} {delegation} {e}",
            self.call.id()
        );
        metrics::attempt("delegation_failed");
        match e {
            AttemptError::Unreachable(_) => self.evidence.attempt_not_run(attempt),
            AttemptError::Broken(_) | AttemptError::TimedOut(_) => self.attempts += 1,
        }
        if self.call.remaining(self.shared.now()).is_zero() {
            return NextStep::GiveUp(RefusalReason::Timeout);
        }
        NextStep::Retry
    }
}
