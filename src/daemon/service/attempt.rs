//! One exchange with an upstream, checked to be the answer to this attempt.

use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http::Request;
use http_body_util::Full;
use platform_api::engine::{ATTEMPT_HEADER, NOT_RUN_HEADER};

use super::{ServiceAnswer, ServiceCall};
use crate::{
    coordination::claims::Header,
    transport::http_client::{Exchange, HttpError, Sent},
};

/// The greatest length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The request header that names the idempotency key to the upstream.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The response headers that callers get.
const FORWARDED_HEADERS: [&str; 7] = [
    "cache-control",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
];

/// How long opening a connection may take.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Why an attempt failed.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum AttemptError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The upstream said that it did nothing with the request.
    #[error("the upstream refused with status {status} and did not run it")]
    Refused { status: u16 },
    /// The answer belongs to another attempt.
    #[error("the answer belongs to another attempt")]
    Crossed,
    /// The call could not be put into a request.
    #[error("not a request: {0}")]
    Request(String),
    /// The deadline passed before dispatch, or the claim was given up.
    #[error("the deadline passed before dispatch")]
    TooLate,
    /// The upstream was taken out of service meanwhile.
    #[error("the upstream was taken out of service")]
    OutOfService,
}

impl AttemptError {
    /// Whether the upstream has certainly not run the request.
    pub(super) fn not_run(&self) -> bool {
        match self {
            Self::Http(e) => e.sent == Sent::No,
            Self::Crossed => false,
            Self::Refused { .. } | Self::Request(_) | Self::TooLate | Self::OutOfService => true,
        }
    }
}

/// The request that carries a call as the given attempt.
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

/// Reads the whole answer, which must belong to the attempt.
///
/// Only a refusal that was not run may come without the attempt's id.
pub(super) async fn read_answer(
    exchange: &mut Exchange,
    attempt: &str,
) -> Result<ServiceAnswer, AttemptError> {
    let status = exchange.status().as_u16();
    let is_refused = exchange.header(NOT_RUN_HEADER) == Some("true");
    match exchange.header(ATTEMPT_HEADER) {
        Some(echoed) if echoed != attempt => return Err(AttemptError::Crossed),
        None if !is_refused => return Err(AttemptError::Crossed),
        _ => {}
    }
    if is_refused {
        return Err(AttemptError::Refused { status });
    }
    let headers = forwarded_headers(exchange);
    let body = exchange.bytes(MAX_ANSWER_BYTES).await?;
    Ok(ServiceAnswer {
        status,
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
