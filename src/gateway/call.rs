//! A caller's request, read whole and matched to its route.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, uri::PathAndQuery};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use platform::{CustomerName, ServiceName, configuration::Route, headers::RequestHead};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    coordination::dispatch::{
        poison::{Fingerprint, fingerprint},
        routes::{RouteError, Routes},
    },
    gateway::{reply::RefusalReason, shared::Shared},
};

/// The time that a caller is taken to wait if it does not say so.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that is to be served.
#[derive(Debug)]
pub struct Call {
    /// What its head says.
    pub head: RequestHead,
    /// Its headers, as sent.
    pub headers: HeaderMap,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its body.
    pub body: Bytes,
    /// The route that serves it.
    pub route: Arc<Route>,
    /// The customer.
    pub customer: Option<CustomerName>,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// The service that runs it.
    pub service: ServiceName,
    /// A hash of its session, or of its id.
    pub session: u64,
    /// When its head arrived.
    pub arrived_at: Instant,
    /// When it must have had its final answer.
    pub deadline: Instant,
    /// What it looks like if it comes again.
    pub fingerprint: Fingerprint,
    /// The generation by which it was matched.
    pub generation: u64,
}

impl Call {
    /// Reads a request and matches it.
    pub async fn read(shared: &Shared, req: Request<Incoming>) -> Result<Self, RefusalReason> {
        let arrived_at = shared.now();
        let routes = shared
            .dispatcher()
            .routes()
            .ok_or(RefusalReason::NoConfiguration)?;
        let (parts, body) = req.into_parts();
        let head = RequestHead::decode(&parts.headers).map_err(|e| {
            log::warn!("event=bad_head error=\"{e}\"");
            RefusalReason::BadRequest
        })?;
        let path = parts
            .uri
            .path_and_query()
            .cloned()
            .ok_or(RefusalReason::BadRequest)?;
        let matched = routes
            .find(&head.host, path.path(), head.key.as_deref())
            .map_err(|route_error| match route_error {
                RouteError::NoRoute => RefusalReason::NoRoute,
                RouteError::NoCustomer => RefusalReason::NoCustomer,
            })?;
        let limit = routes.configuration().limits.body_bytes;
        let body = read_body(body, limit).await?;
        let route = matched.route;
        let caller_timeout = head
            .caller_timeout
            .unwrap_or(DEFAULT_CALLER_TIMEOUT)
            .min(route.timeout);
        let session = head
            .session
            .as_deref()
            .or(head.id.as_deref())
            .unwrap_or_default();
        Ok(Self {
            session: xxh3_64(session.as_bytes()),
            fingerprint: fingerprint(matched.customer.as_deref(), path.as_str(), &body),
            customer: matched.customer,
            priority: matched.priority,
            service: select_service(shared, &routes, &route)?,
            generation: routes.configuration().generation,
            head,
            headers: parts.headers,
            method: parts.method,
            path,
            body,
            route,
            arrived_at,
            deadline: arrived_at + caller_timeout,
        })
    }

    /// The id with which the caller names this attempt.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// The time since it arrived.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }

    /// The time that is left.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The models that the system may choose from, smallest first.
    pub fn models(&self) -> &[CompactString] {
        match self.head.any_model {
            true => &self.route.models,
            false => &[],
        }
    }
}

fn select_service(
    shared: &Shared,
    routes: &Routes,
    route: &Route,
) -> Result<ServiceName, RefusalReason> {
    let service = shared.dispatcher().pick_service(route).ok_or_else(|| {
        let generation = routes.configuration().generation;
        log::error!(
            "event=route_without_service route={} generation={generation}",
            route.name
        );
        RefusalReason::NoSlot
    })?;
    Ok(service)
}

async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, RefusalReason> {
    if body.size_hint().lower() > u64::try_from(limit).unwrap_or(u64::MAX) {
        return Err(RefusalReason::BodyTooLarge);
    }
    let mut first = None;
    let mut more = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(BODY_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => return Err(RefusalReason::BodyBroken),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match &first {
            None => first = Some(data),
            Some(_) => more.extend_from_slice(&data),
        }
        let received = first.as_ref().map_or(0, Bytes::len) + more.len();
        if received > limit {
            return Err(RefusalReason::BodyTooLarge);
        }
    }
    let first = first.unwrap_or_default();
    if more.is_empty() {
        return Ok(first);
    }
    let mut all = BytesMut::with_capacity(first.len() + more.len());
    all.extend_from_slice(&first);
    all.extend_from_slice(&more);
    Ok(all.freeze())
}
