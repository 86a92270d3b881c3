//! One attempt at an upstream, and the check that the answer belongs to it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http::Request;
use http_body_util::Full;
use platform_api::engine::{ATTEMPT_HEADER, NOT_RUN_HEADER};

use super::{ServiceAnswer, ServiceCall};
use crate::{
    coordination::{claims::Header, execution::promises_not_run},
    transport::http_client::{Exchange, HttpError, Sent},
};

/// Maximum length of an answer body.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Request header that carries the idempotency key to the upstream.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Response headers that are forwarded to the caller.
const FORWARDED_HEADERS: [&str; 7] = [
    "cache-control",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
];

/// Timeout for opening a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason for the failure of an attempt.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum AttemptError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The upstream refused the request and stated that it did not execute it.
    #[error("the upstream refused the request with status {status} and did not execute it")]
    Refused { status: u16 },
    /// The upstream answered with a status that promises that it did not execute the request, but did not state it.
    #[error("the upstream may have executed the request and answered with status {status}")]
    Failed { status: u16 },
    /// The answer belongs to another attempt.
    #[error("the answer belongs to another attempt")]
    Crossed,
    /// The call could not be encoded as an HTTP request.
    #[error("cannot build the HTTP request: {0}")]
    Request(String),
    /// The deadline passed before dispatch, or the claim was abandoned.
    #[error("the deadline passed before dispatch")]
    TooLate,
    /// The upstream was taken out of service before dispatch.
    #[error("the upstream was taken out of service before dispatch")]
    OutOfService,
}

impl AttemptError {
    /// Whether it is certain that the upstream has not executed the request.
    pub(super) fn not_run(&self) -> bool {
        match self {
            Self::Http(e) => e.sent == Sent::No,
            Self::Crossed | Self::Failed { .. } => false,
            Self::Refused { .. } | Self::Request(_) | Self::TooLate | Self::OutOfService => true,
        }
    }
}

/// Builds the HTTP request for one attempt of a call.
pub(super) fn build_request(
    call: &ServiceCall,
    attempt: &str,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header(ATTEMPT_HEADER, attempt);
    for header in &call.headers {
        builder = builder.header(header.name.as_str(), header.value.as_str());
    }
    if let Some(key) = &call.idempotency_key {
        builder = builder.header(IDEMPOTENCY_HEADER, key.as_str());
    }
    builder
        .body(Full::new(call.body.clone()))
        .map_err(|e| AttemptError::Request(e.to_string()))
}

/// Reads the complete answer and checks that it belongs to the attempt.
///
/// The attempt's id may be missing only from a refusal of a request that was not executed, on a
/// connection that has carried no other request.
pub(super) async fn read_answer(
    exchange: &mut Exchange,
    attempt: &str,
) -> Result<ServiceAnswer, AttemptError> {
    let status = exchange.status();
    let is_refused = exchange.header(NOT_RUN_HEADER) == Some("true");
    match exchange.header(ATTEMPT_HEADER) {
        Some(echoed) if echoed != attempt => return Err(AttemptError::Crossed),
        None if !is_refused || exchange.is_reused() => return Err(AttemptError::Crossed),
        _ => {}
    }
    if is_refused {
        return Err(AttemptError::Refused {
            status: status.as_u16(),
        });
    }
    if promises_not_run(status) {
        return Err(AttemptError::Failed {
            status: status.as_u16(),
        });
    }
    let headers = forwarded_headers(exchange);
    let body = exchange.bytes(MAX_ANSWER_BYTES).await?;
    Ok(ServiceAnswer {
        status: status.as_u16(),
        headers,
        body,
    })
}

fn forwarded_headers(exchange: &Exchange) -> Vec<Header> {
    let forwarded = FORWARDED_HEADERS.iter().filter_map(|name| {
        let value = exchange.header(name)?.to_compact_string();
        let name = CompactString::from(*name);
        Some(Header { name, value })
    });
    forwarded.collect()
}
