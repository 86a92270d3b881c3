//! Plain HTTP service that counts the executions of each request.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use compact_str::{CompactString, ToCompactString};
use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use platform_api::engine::ATTEMPT_HEADER;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    connection::FaultyConnection,
    control::Control,
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, header, json, read_bytes, set_header},
    millis,
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{Execution, RoleStats, ServiceStats},
};

/// Request header with the idempotency key, which identifies retries of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Settings of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Processing time of a request after it has been counted.
    #[serde(with = "millis")]
    pub work: Duration,
    /// A request whose body contains this text crashes the service.
    pub poison: Option<CompactString>,
    /// How long the listener stays closed after such a crash.
    #[serde(with = "millis")]
    pub restart: Duration,
}

/// Response body of each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Idempotency key; empty if the request had none.
    pub key: CompactString,
    /// Request path.
    pub path: CompactString,
    /// Number of requests executed before this one, on all paths.
    pub serial: u64,
}

/// Plain HTTP service.
pub struct Service {
    cfg: ServiceConfig,
    faults: Arc<Faults>,
    log: Mutex<ExecutionLog>,
    /// Whether responses are held.
    holds_responses: watch::Sender<bool>,
}

#[derive(Default)]
struct ExecutionLog {
    executed: u64,
    executions: BTreeMap<CallId, u32>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CallId {
    key: CompactString,
    path: CompactString,
}

impl Service {
    /// Starts a plain service.
    pub async fn spawn(
        cfg: ServiceConfig,
        listen: impl Into<ListenAddresses>,
    ) -> Result<RoleHandle> {
        let faults = Arc::new(Faults::default());
        let role = Arc::new(Self {
            cfg,
            faults: faults.clone(),
            log: Mutex::default(),
            holds_responses: watch::Sender::new(false),
        });
        RoleHandle::spawn(role, faults, listen.into()).await
    }

    async fn execute(&self, req: Request<Incoming>) -> HttpResponse {
        let key = header(&req, IDEMPOTENCY_HEADER)
            .unwrap_or_default()
            .to_compact_string();
        let path = req.uri().path().to_compact_string();
        let attempt = header(&req, ATTEMPT_HEADER).map(CompactString::from);
        let body = match read_bytes(req).await {
            Ok(body) => body,
            Err(res) => return res,
        };
        let serial = self.count(&key, &path);
        if self.is_poison(&body) {
            self.faults.crash(self.cfg.restart);
            return std::future::pending().await;
        }
        tokio::time::sleep(self.cfg.work).await;
        let mut holds = self.holds_responses.subscribe();
        // Fails only if the sender is gone, and it is a field of `self`.
        let _ = holds.wait_for(|holds| !holds).await;
        let mut res = json(&ServiceAnswer { key, path, serial });
        if let Some(attempt) = attempt {
            set_header(&mut res, ATTEMPT_HEADER, &attempt);
        }
        res
    }

    fn count(&self, key: &CompactString, path: &CompactString) -> u64 {
        let mut log = self.log();
        let id = CallId {
            key: key.clone(),
            path: path.clone(),
        };
        *log.executions.entry(id).or_default() += 1;
        log.executed += 1;
        log.executed - 1
    }

    fn is_poison(&self, body: &[u8]) -> bool {
        let Some(poison) = &self.cfg.poison else {
            return false;
        };
        String::from_utf8_lossy(body).contains(poison.as_str())
    }

    fn log(&self) -> MutexGuard<'_, ExecutionLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestHandler for Service {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.execute(req).await })
    }
}

impl Role for Service {
    fn name(&self) -> &'static str {
        "service"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        exchange::serve(self, connection, faults)
    }

    fn control(&self, control: &Control) -> bool {
        let Control::HoldResponses { hold } = control else {
            return false;
        };
        self.holds_responses.send_replace(*hold);
        true
    }

    fn stats(&self) -> RoleStats {
        let log = self.log();
        let executions = log.executions.iter().map(|(id, count)| Execution {
            key: id.key.clone(),
            path: id.path.clone(),
            count: *count,
        });
        RoleStats::Service(ServiceStats {
            executed: log.executed,
            executions: executions.collect(),
        })
    }
}
