//! Parses the head of callers' requests.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::header::AUTHORIZATION;
use viz::{Body, Request};

use crate::{
    coordination::claims::Header,
    daemon::{
        callers::{malformed, unauthenticated},
        components::Components,
    },
    protocol::problem::Refusal,
    state::{credentials::hash_key, objects::CustomerName},
    transport::caller_stream::RequestBody,
};

/// Header with the time limit of the request, in milliseconds.
pub(super) const DEADLINE_HEADER: &str = "deadline";
/// Header with the key under which a request can be retried without being executed twice.
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with a session token, or `new` to open a session.
pub(super) const SESSION_HEADER: &str = "session";
/// Headers forwarded to plain services.
const FORWARDED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
];
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Maximum time limit of a request; larger values are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(6 * 3_600);

/// Head of an authenticated request.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    /// Customer to whom the bearer key belongs.
    pub(super) customer: CustomerName,
    /// When the head was read.
    pub(super) received: Instant,
    /// Time limit requested by the caller, if any.
    pub(super) time_limit: Option<Duration>,
    /// Idempotency key, if any.
    pub(super) idempotency_key: Option<CompactString>,
    /// Value of the session header, if any.
    pub(super) session: Option<CompactString>,
    /// Headers to forward to a plain service.
    pub(super) forwarded_headers: Vec<Header>,
}

impl RequestHead {
    /// Parses the head and authenticates the caller; returns the body unread.
    pub(super) fn read(
        components: &Components,
        mut req: Request,
    ) -> Result<(Self, RequestBody<Body>), Refusal> {
        let received = components.core.clock.now();
        let customer = authenticate(components, &req)?;
        let head = Self {
            customer,
            received,
            time_limit: time_limit(&req)?,
            idempotency_key: idempotency_key(&req)?,
            session: header_text(&req, SESSION_HEADER)?,
            forwarded_headers: forwarded_headers(&req)?,
        };
        Ok((head, RequestBody::take(&mut req)))
    }

    /// Returns the deadline of the request; `default` applies if the caller set no time limit.
    pub(super) fn deadline_at(&self, default: Duration) -> Instant {
        self.received + self.time_limit.unwrap_or(default)
    }
}

/// Returns the customer to whom the bearer key belongs.
pub(super) fn authenticate(
    components: &Components,
    req: &Request,
) -> Result<CustomerName, Refusal> {
    let header = req.headers().get(AUTHORIZATION);
    let header = header.and_then(|h| h.to_str().ok());
    let key = header
        .and_then(|h| h.strip_prefix("Bearer "))
        .ok_or_else(|| unauthenticated("the Authorization header has no bearer key"))?;
    let snapshot = components.core.snapshot();
    let customer = snapshot.customer_by_key(&hash_key(key));
    customer
        .map(|(name, _)| name.clone())
        .ok_or_else(|| unauthenticated("the bearer key is unknown"))
}

fn time_limit(req: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header_text(req, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| malformed("header deadline must be a number of milliseconds"))?;
    Ok(Some(Duration::from_millis(millis).min(MAX_DEADLINE)))
}

fn idempotency_key(req: &Request) -> Result<Option<CompactString>, Refusal> {
    let key = header_text(req, IDEMPOTENCY_HEADER)?;
    match &key {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(malformed(format!(
            "an idempotency key must have 1 to {MAX_KEY_BYTES} bytes"
        ))),
        _ => Ok(key),
    }
}

fn forwarded_headers(req: &Request) -> Result<Vec<Header>, Refusal> {
    let mut forwarded_headers = Vec::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = header_text(req, name)? {
            let name = name.into();
            forwarded_headers.push(Header { name, value });
        }
    }
    Ok(forwarded_headers)
}

fn header_text(req: &Request, name: &str) -> Result<Option<CompactString>, Refusal> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| malformed(format!("header {name} must be printable ASCII")))?;
    Ok(Some(text.into()))
}
