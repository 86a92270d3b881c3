//! A caller's request, read completely and matched to its route.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, Version, uri::PathAndQuery};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use platform::{
    CustomerName, ServiceName,
    configuration::{Route, RouteKind},
    headers::RequestHead,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    coordination::dispatch::{
        poison::{self, Suspects},
        routes::{RouteError, Routes},
    },
    gateway::{reply::RefusalReason, shared::Shared},
};

/// Default time that a caller waits, used when the request has no deadline.
pub(super) const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for each frame of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request to be served.
#[derive(Debug)]
pub struct Call {
    /// The decoded request head.
    pub head: RequestHead,
    /// The headers as received.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// The complete body.
    pub body: Bytes,
    /// The route that matched.
    pub route: Arc<Route>,
    /// The customer that the API key identifies; absent if the route needs no key.
    pub customer: Option<CustomerName>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The service selected among the targets of the route.
    pub service: ServiceName,
    /// Hash of the session, or of the request id if there is no session.
    pub session: u64,
    /// When the request head arrived.
    pub arrived_at: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
    /// What crashes of upstreams are counted by.
    pub suspects: Suspects,
    /// Generation of the configuration that the request was matched against.
    pub generation: u64,
}

impl Call {
    /// Reads a request and matches it to a route.
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
        if matched.route.kind == RouteKind::Streaming && parts.version < Version::HTTP_11 {
            return Err(RefusalReason::HttpVersion);
        }
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
            suspects: poison::suspects(
                poison::fingerprint(matched.customer.as_deref(), path.as_str(), &body),
                head.prompt.as_ref(),
            ),
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

    /// Returns the caller's id of the request, or `-` if there is none.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// Returns the time since the request arrived.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the models that the gateway may choose from, smallest first; empty if the caller named
    /// a model.
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
