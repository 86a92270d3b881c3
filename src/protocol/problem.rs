//! Refusals returned to callers as problem details (RFC 9457).

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::coordination::{decisions::RequestId, execution::promises_not_run};

/// Media type of a refusal body.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether a refused request may have been executed on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ExecutionState {
    /// The request was not executed and will not be under this attempt.
    NotRun,
    /// The request may have been executed or may still be running.
    Unknown,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed.
    Malformed,
    /// The body or the header exceeds its size limit.
    TooLarge,
    /// The bearer key is missing or unknown.
    Unauthenticated,
    /// The customer is not allowed to use the requested resource.
    NotAllowed,
    /// The rule, service or path does not exist.
    NotFound,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// Another request with the same idempotency key is still in progress.
    InProgress,
    /// The session token was not issued by this fleet.
    SessionInvalid,
    /// The session ended because its version was withdrawn.
    SessionEnded,
    /// The request has crashed upstreams and is temporarily not retried.
    Quarantined,
    /// The customer's queue or the fleet is full.
    Overloaded,
    /// The daemon cannot currently meet its guarantees and accepts no new requests.
    NotReady,
    /// No upstream that can serve the request is in service.
    NoUpstream,
    /// All attempted upstreams failed.
    UpstreamFailed,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// An internal error of the daemon.
    Internal,
}

impl RefusalKind {
    /// Returns the HTTP status of a refusal of this kind whose request has not run.
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::NotAllowed => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::KeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress => StatusCode::CONFLICT,
            Self::SessionInvalid => StatusCode::BAD_REQUEST,
            Self::SessionEnded => StatusCode::GONE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::NoUpstream => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// A final refusal of one request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} at {step}: {detail}")]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Whether the request may have been executed.
    pub run: ExecutionState,
    /// Processing step that refused the request, such as `authenticate`, `admit` or `dispatch`.
    pub step: CompactString,
    /// Upstream, daemon or service at which the request failed.
    pub peer: Option<CompactString>,
    /// Delay before a retry, if a retry is useful.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation.
    pub detail: String,
}

impl Refusal {
    /// Returns the HTTP status. If the request may have run, it is none that promises that it has not.
    pub fn status(&self) -> StatusCode {
        let status = self.kind.status();
        match self.run {
            ExecutionState::Unknown if promises_not_run(status) => StatusCode::BAD_GATEWAY,
            ExecutionState::Unknown | ExecutionState::NotRun => status,
        }
    }

    /// Creates a refusal of a request that was not executed.
    pub fn not_run(kind: RefusalKind, step: &str, detail: impl Into<String>) -> Self {
        Self {
            kind,
            run: ExecutionState::NotRun,
            step: step.into(),
            peer: None,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request that may have been executed.
    pub fn unknown(kind: RefusalKind, step: &str, detail: impl Into<String>) -> Self {
        Self {
            run: ExecutionState::Unknown,
            ..Self::not_run(kind, step, detail)
        }
    }

    /// Sets the execution state to unknown if an earlier attempt may have been executed.
    #[must_use]
    pub fn with_may_have_run(self, may_have_run: bool) -> Self {
        if may_have_run {
            return Self {
                run: ExecutionState::Unknown,
                ..self
            };
        }
        self
    }

    /// Sets the peer at which the request failed.
    #[must_use]
    pub fn with_peer(self, peer: impl Into<CompactString>) -> Self {
        Self {
            peer: Some(peer.into()),
            ..self
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}

/// Response body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URI that identifies the kind.
    #[serde(rename = "type")]
    pub uri: String,
    /// The kind as words.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Human-readable explanation.
    pub detail: String,
    /// Id of the request.
    pub request_id: RequestId,
    /// Kind of the refusal.
    pub kind: RefusalKind,
    /// Whether the request may have been executed.
    pub run: ExecutionState,
    /// Processing step that refused the request.
    pub step: CompactString,
    /// Peer at which the request failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<CompactString>,
    /// Delay before a retry in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates the response body for `refusal` of the request `request_id`.
    pub fn new(request_id: &str, refusal: &Refusal) -> Self {
        Self {
            uri: format!("urn:hibiscusyoke:problem:{}", refusal.kind),
            title: refusal.kind.to_string().replace('_', " "),
            status: refusal.status().as_u16(),
            detail: refusal.detail.clone(),
            request_id: request_id.into(),
            kind: refusal.kind,
            run: refusal.run,
            step: refusal.step.clone(),
            peer: refusal.peer.clone(),
            retry_after_ms: refusal.retry_after.map(millis),
        }
    }
}

/// Returns the value of `Retry-After` in whole seconds, rounded up and at least one.
pub fn retry_after_seconds(after: Duration) -> u64 {
    after
        .as_millis()
        .div_ceil(1_000)
        .max(1)
        .try_into()
        .unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
