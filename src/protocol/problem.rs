//! Refusals to callers as problem details (RFC 9457).

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::coordination::decisions::RequestId;

/// The media type of a refusal's body.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether a refused request may have run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ExecutionState {
    /// It has not run and will not run under this attempt.
    NotRun,
    /// It may have run, or may still be running.
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request could not be understood.
    Malformed,
    /// The body or the header is over its limit.
    TooLarge,
    /// The bearer key is missing or belongs to nobody.
    Unauthenticated,
    /// The customer may not use what it named.
    NotAllowed,
    /// The rule, service or path does not exist.
    NotFound,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// A request with the same idempotency key is still open elsewhere.
    InProgress,
    /// The session token was not issued by this fleet.
    SessionInvalid,
    /// The session's version has been withdrawn; the session is over.
    SessionEnded,
    /// The request has crashed upstreams before and is not tried again for now.
    Quarantined,
    /// The customer's queue or the fleet is full.
    Overloaded,
    /// The daemon cannot promise to keep what it must and takes no new work.
    NotReady,
    /// No upstream that may serve the request is in service.
    NoUpstream,
    /// The upstreams tried have failed.
    UpstreamFailed,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// A fault of the daemon itself.
    Internal,
}

impl RefusalKind {
    /// The HTTP status that goes with it.
    pub fn status(self) -> StatusCode {
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
    /// Why.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub run: ExecutionState,
    /// The step at which it was refused, such as `authenticate`, `admit` or `dispatch`.
    pub step: CompactString,
    /// The upstream, daemon or service at which it failed.
    pub peer: Option<CompactString>,
    /// When to come back, if coming back makes sense.
    pub retry_after: Option<Duration>,
    /// What a person should know.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that has not run.
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

    /// A refusal of a request that may have run.
    pub fn unknown(kind: RefusalKind, step: &str, detail: impl Into<String>) -> Self {
        Self {
            run: ExecutionState::Unknown,
            ..Self::not_run(kind, step, detail)
        }
    }

    /// Says that the request may have run, if an earlier attempt may have.
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

    /// Names the peer at which it failed.
    #[must_use]
    pub fn with_peer(self, peer: impl Into<CompactString>) -> Self {
        Self {
            peer: Some(peer.into()),
            ..self
        }
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URI that names the kind.
    #[serde(rename = "type")]
    pub uri: String,
    /// The kind in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What a person should know.
    pub detail: String,
    /// The request.
    pub request_id: RequestId,
    /// The kind.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub run: ExecutionState,
    /// The step at which it was refused.
    pub step: CompactString,
    /// The peer at which it failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<CompactString>,
    /// Milliseconds after which to come back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// The body that tells `refusal` to the sender of `request_id`.
    pub fn new(request_id: &str, refusal: &Refusal) -> Self {
        Self {
            uri: format!("urn:hibiscusyoke:problem:{}", refusal.kind),
            title: refusal.kind.to_string().replace('_', " "),
            status: refusal.kind.status().as_u16(),
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

/// The value of `Retry-After` in whole seconds, rounded up and at least one.
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
