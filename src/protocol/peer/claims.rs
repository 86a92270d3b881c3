//! Peer messages about claims on idempotency keys.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        claims::{Answer, AttemptId, AttemptState, ClaimId, Header, IdempotencyKey},
        decisions::RequestId,
        membership::Incarnation,
    },
    protocol::problem::{ExecutionState, Refusal, RefusalKind},
    state::objects::{CustomerName, ServiceName},
};

/// A question about claims on idempotency keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// What became of an attempt of the peer's.
    Attempt(AttemptQuery),
    /// Runs a request whose key is bound to the peer.
    Run(ForwardedCall),
}

/// Asks about an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptQuery {
    /// The start of the peer that made it.
    pub incarnation: Incarnation,
    /// The key.
    pub id: ClaimId,
    /// The attempt.
    pub attempt: AttemptId,
    /// How long the peer may wait for the attempt's end.
    pub wait: Duration,
}

/// A caller's request to a plain service, sent on to its key's home.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The start of the peer that the key is bound to.
    pub incarnation: Incarnation,
    /// The request.
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
    pub body: Vec<u8>,
    /// The key.
    pub key: IdempotencyKey,
    /// The time left to the deadline.
    pub time_left: Duration,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// What became of the attempt.
    Attempt(AttemptState),
    /// The upstream's answer.
    Answered(Arc<Answer>),
    /// The request is refused.
    Refused(RefusalMessage),
    /// The peer has started anew since, and knows nothing of what it did before.
    OtherIncarnation,
}

/// A refusal on its way between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefusalMessage {
    kind: RefusalKind,
    run: ExecutionState,
    step: CompactString,
    peer: Option<CompactString>,
    retry_after: Option<Duration>,
    detail: String,
}

impl From<Refusal> for RefusalMessage {
    fn from(refusal: Refusal) -> Self {
        Self {
            kind: refusal.kind,
            run: refusal.run,
            step: refusal.step,
            peer: refusal.peer,
            retry_after: refusal.retry_after,
            detail: refusal.detail,
        }
    }
}

impl From<RefusalMessage> for Refusal {
    fn from(message: RefusalMessage) -> Self {
        Self {
            kind: message.kind,
            run: message.run,
            step: message.step,
            peer: message.peer,
            retry_after: message.retry_after,
            detail: message.detail,
        }
    }
}
