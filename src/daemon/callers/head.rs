//! What a caller says in the head of its request.

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
};

/// Header with the time in which an answer is wanted, in milliseconds.
pub(super) const DEADLINE_HEADER: &str = "deadline";
/// Header with the key under which a request may be sent again without running twice.
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with a session token, or `new` to open a session.
pub(super) const SESSION_HEADER: &str = "session";
/// The headers that go on to a plain service.
const FORWARDED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
];
/// The greatest length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(6 * 3_600);

/// The head of one request, its caller known.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    /// Who calls.
    pub(super) customer: CustomerName,
    /// When the head was read.
    pub(super) received: Instant,
    /// The time in which an answer is wanted, if the caller says.
    pub(super) time_limit: Option<Duration>,
    /// The idempotency key, if there is one.
    pub(super) idempotency_key: Option<CompactString>,
    /// The session header, if there is one.
    pub(super) session: Option<CompactString>,
    /// The headers that go on to a plain service.
    pub(super) forwarded_headers: Vec<Header>,
}

impl RequestHead {
    /// Reads the head and authenticates the caller; the body comes back unread.
    pub(super) fn read(components: &Components, req: Request) -> Result<(Self, Body), Refusal> {
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
        Ok((head, req.into_body()))
    }

    /// The moment by which an answer is wanted; `default` from receipt if the caller did not say.
    pub(super) fn deadline_at(&self, default: Duration) -> Instant {
        self.received + self.time_limit.unwrap_or(default)
    }
}

/// Finds the customer to whom the bearer key belongs.
pub(super) fn authenticate(
    components: &Components,
    req: &Request,
) -> Result<CustomerName, Refusal> {
    let header = req.headers().get(AUTHORIZATION);
    let header = header.and_then(|h| h.to_str().ok());
    let key = header
        .and_then(|h| h.strip_prefix("Bearer "))
        .ok_or_else(|| unauthenticated("a bearer key is required"))?;
    let snapshot = components.core.snapshot();
    let customer = snapshot.customer_by_key(&hash_key(key));
    customer
        .map(|(name, _)| name.clone())
        .ok_or_else(|| unauthenticated("the key belongs to no customer"))
}

fn time_limit(req: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header_text(req, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| malformed("deadline is not a number of milliseconds"))?;
    Ok(Some(Duration::from_millis(millis).min(MAX_DEADLINE)))
}

fn idempotency_key(req: &Request) -> Result<Option<CompactString>, Refusal> {
    let key = header_text(req, IDEMPOTENCY_HEADER)?;
    match &key {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(malformed(format!(
            "an idempotency key has 1 to {MAX_KEY_BYTES} bytes"
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
        .map_err(|_| malformed(format!("header {name} is not printable ASCII")))?;
    Ok(Some(text.into()))
}
