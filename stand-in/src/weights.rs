//! Rate-limited weight store.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures::future::BoxFuture;
use http::{Request, StatusCode, header::RETRY_AFTER};
use hyper::body::Incoming;
use platform_api::weights::PATH;
use serde::{Deserialize, Serialize};

use crate::{
    connection::FaultyConnection,
    control::Control,
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, full, refusal, set_header, with_content_type},
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{RoleStats, WeightsStats},
};

/// Settings of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsConfig {
    /// Sustained rate limit in reads per second.
    pub reads_per_second: f64,
    /// Burst size of the token bucket.
    pub burst: f64,
    /// Length of the weights of each version.
    pub weight_bytes: usize,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self {
            reads_per_second: 2.0,
            burst: 2.0,
            weight_bytes: 1024,
        }
    }
}

/// Weight store.
pub struct WeightStore {
    state: Mutex<State>,
}

/// Token bucket and statistics.
struct State {
    cfg: WeightsConfig,
    tokens: f64,
    filled: Instant,
    stats: WeightsStats,
}

impl WeightStore {
    /// Starts the store.
    pub async fn spawn(
        cfg: WeightsConfig,
        listen: impl Into<ListenAddresses>,
    ) -> Result<RoleHandle> {
        let state = Mutex::new(State {
            tokens: cfg.burst,
            cfg,
            filled: Instant::now(),
            stats: WeightsStats::default(),
        });
        RoleHandle::spawn(Arc::new(Self { state }), Arc::default(), listen.into()).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, path: &str) -> HttpResponse {
        if !path.starts_with(PATH) {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        }
        let mut state = self.state();
        if state.try_take(Instant::now()) {
            let weights = vec![0; state.cfg.weight_bytes];
            return with_content_type("application/octet-stream", full(weights));
        }
        let mut res = refusal(StatusCode::TOO_MANY_REQUESTS, "over the rate");
        set_header(&mut res, RETRY_AFTER.as_str(), "1");
        res
    }
}

impl State {
    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.filled).as_secs_f64();
        let filled = self.tokens + elapsed * self.cfg.reads_per_second;
        self.tokens = filled.min(self.cfg.burst);
        self.filled = now;
        if self.tokens < 1.0 {
            self.stats.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.stats.served += 1;
        true
    }
}

impl RequestHandler for WeightStore {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.read(req.uri().path()) })
    }
}

impl Role for WeightStore {
    fn name(&self) -> &'static str {
        "weights"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        exchange::serve(self, connection, faults)
    }

    fn control(&self, control: &Control) -> bool {
        let Control::SetRate { reads_per_second } = control else {
            return false;
        };
        self.state().cfg.reads_per_second = *reads_per_second;
        true
    }

    fn stats(&self) -> RoleStats {
        RoleStats::Weights(self.state().stats.clone())
    }
}
