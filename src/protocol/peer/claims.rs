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

/// A request about claims on idempotency keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Queries the state of an attempt made by the peer.
    Attempt(AttemptQuery),
    /// Executes a request whose key is bound to the peer.
    Run(ForwardedCall),
}

/// A query for the state of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptQuery {
    /// Incarnation of the peer that made the attempt.
    pub incarnation: Incarnation,
    /// The claim.
    pub id: ClaimId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Maximum time that the peer waits for the attempt to end.
    pub wait: Duration,
}

/// A caller's request to a plain service, forwarded to the home daemon of its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Incarnation of the peer that the key is bound to.
    pub incarnation: Incarnation,
    /// Id of the request.
    pub request_id: RequestId,
    /// The calling customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: CompactString,
    /// The path and query after the service's name, with a leading slash.
    pub path: String,
    /// Headers to send to the upstream.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// Time remaining until the deadline.
    pub time_left: Duration,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// State of the attempt.
    Attempt(AttemptState),
    /// Response of the upstream.
    Answered(Arc<Answer>),
    /// The request is refused.
    Refused(RefusalMessage),
    /// The peer has restarted and has no record of its earlier incarnations.
    OtherIncarnation,
}

/// A refusal sent between daemons.
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
