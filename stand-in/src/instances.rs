//! Instance list whose changes become visible after a delay.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use platform_api::instances::{Instance, Instances, PATH};
use serde::{Deserialize, Serialize};

use crate::{
    connection::FaultyConnection,
    control::Control,
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, json, refusal},
    lagging::Lagging,
    millis,
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{InstancesStats, RoleStats},
};

/// Settings of the instance list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstancesConfig {
    /// Delay after which changes become visible.
    #[serde(with = "millis")]
    pub lag: Duration,
    /// Instances listed at startup.
    pub instances: Vec<Instance>,
}

/// Instance list.
pub struct InstanceList {
    state: Mutex<State>,
}

struct State {
    list: Lagging<Arc<Instances>>,
    reads: u64,
}

impl InstanceList {
    /// Starts the instance list.
    pub async fn spawn(
        cfg: InstancesConfig,
        listen: impl Into<ListenAddresses>,
    ) -> Result<RoleHandle> {
        let instances = cfg.instances;
        let list = Lagging::new(cfg.lag, Arc::new(Instances { instances }));
        let state = Mutex::new(State { list, reads: 0 });
        let role = Arc::new(Self { state });
        RoleHandle::spawn(role, Arc::default(), listen.into()).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, path: &str) -> HttpResponse {
        if path != PATH {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        }
        let list = {
            let mut state = self.state();
            state.reads += 1;
            state.list.read(Instant::now())
        };
        json(&*list)
    }
}

impl RequestHandler for InstanceList {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.read(req.uri().path()) })
    }
}

impl Role for InstanceList {
    fn name(&self) -> &'static str {
        "instances"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        exchange::serve(self, connection, faults)
    }

    fn control(&self, control: &Control) -> bool {
        match control {
            Control::SetInstances { instances } => {
                let instances = instances.clone();
                let list = Arc::new(Instances { instances });
                self.state().list.write(Instant::now(), list);
            }
            Control::SetLag { lag } => self.state().list.set_lag(*lag),
            _ => return false,
        }
        true
    }

    fn stats(&self) -> RoleStats {
        let reads = self.state().reads;
        RoleStats::Instances(InstancesStats { reads })
    }
}
