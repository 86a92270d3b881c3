//! Object store that keeps objects in memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use platform_api::objects::PATH;

use crate::{
    connection::FaultyConnection,
    control::Control,
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, full, json, read_bytes, refusal, with_content_type},
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{ObjectsStats, RoleStats},
};

/// Object store.
#[derive(Default)]
pub struct ObjectStore {
    store: Mutex<Store>,
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<CompactString, Bytes>,
    stats: ObjectsStats,
}

impl ObjectStore {
    /// Starts an empty store.
    pub async fn spawn(listen: impl Into<ListenAddresses>) -> Result<RoleHandle> {
        let role = Arc::new(Self::default());
        RoleHandle::spawn(role, Arc::default(), listen.into()).await
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, req: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let not_found = || refusal(StatusCode::NOT_FOUND, "no such object");
        let name = req.uri().path().strip_prefix(PATH).ok_or_else(not_found)?;
        let name = name.to_compact_string();
        match *req.method() {
            Method::PUT => {
                let object = read_bytes(req).await?;
                let mut store = self.store();
                store.stats.writes += 1;
                store.objects.insert(name, object);
                Ok(json(&()))
            }
            Method::GET => {
                let mut store = self.store();
                store.stats.reads += 1;
                let object = store.objects.get(&name).ok_or_else(not_found)?;
                Ok(with_content_type(
                    "application/octet-stream",
                    full(object.clone()),
                ))
            }
            _ => Err(refusal(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT")),
        }
    }
}

impl RequestHandler for ObjectStore {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.execute(req).await.unwrap_or_else(|refused| refused) })
    }
}

impl Role for ObjectStore {
    fn name(&self) -> &'static str {
        "objects"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        exchange::serve(self, connection, faults)
    }

    fn control(&self, _: &Control) -> bool {
        false
    }

    fn stats(&self) -> RoleStats {
        RoleStats::Objects(self.store().stats.clone())
    }
}
