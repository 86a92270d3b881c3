//! A caller's request, read completely and matched to its route.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use http::{HeaderMap, Method, Request, Version, uri::PathAndQuery};
use hyper::body::Incoming;
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
    transport::{
        body_memory::{BodyError, HeldBody},
        caller_stream::RequestBody,
    },
};

/// Default time that a caller waits, used when the request has no deadline.
pub(super) const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

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
    pub body: HeldBody,
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
    pub async fn read(
        shared: &Shared,
        req: Request<RequestBody<Incoming>>,
    ) -> Result<Self, RefusalReason> {
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
        let route = matched.route;
        let caller_timeout = head
            .caller_timeout
            .unwrap_or(DEFAULT_CALLER_TIMEOUT)
            .min(route.timeout);
        let limit = routes.configuration().limits.body_bytes;
        let body = shared.request_bodies.read(body, limit);
        // The rest of a body that is late would be in vain.
        let body = tokio::time::timeout(caller_timeout, body)
            .await
            .map_err(|_| RefusalReason::BodyTimeout)?
            .map_err(refusal_reason)?;
        let session = head
            .session
            .as_deref()
            .or(head.id.as_deref())
            .unwrap_or_default();
        Ok(Self {
            session: xxh3_64(session.as_bytes()),
            suspects: poison::suspects(
                poison::fingerprint(matched.customer.as_deref(), path.as_str(), body.blocks()),
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

fn refusal_reason(e: BodyError) -> RefusalReason {
    match e {
        BodyError::TooLarge { .. } => RefusalReason::BodyTooLarge,
        BodyError::NoMemory => RefusalReason::NoMemory,
        BodyError::Broken(_) => RefusalReason::BodyBroken,
    }
}
