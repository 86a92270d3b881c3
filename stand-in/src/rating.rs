//! Rating service: returns the true quality that a fake engine encodes in its answers, plus noise.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use futures::future::BoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use platform_api::rating::{PATH, RateRequest, Rating};
use serde::{Deserialize, Serialize};

use crate::{
    connection::FaultyConnection,
    control::Control,
    engine::text::{StableHash, parse_true_quality},
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, json, read_json, refusal},
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{RatingStats, RoleStats},
};

/// Settings of the rating service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingConfig {
    /// Seed of the noise.
    pub seed: u64,
    /// Maximum error of a rating.
    pub noise: f64,
}

impl Default for RatingConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            noise: 0.05,
        }
    }
}

/// Rating service.
pub struct RatingService {
    seed: u64,
    noise: Mutex<f64>,
    rated: AtomicU64,
}

impl RatingService {
    /// Starts the service.
    pub async fn spawn(
        cfg: RatingConfig,
        listen: impl Into<ListenAddresses>,
    ) -> Result<RoleHandle> {
        let role = Arc::new(Self {
            seed: cfg.seed,
            noise: Mutex::new(cfg.noise),
            rated: AtomicU64::new(0),
        });
        RoleHandle::spawn(role, Arc::default(), listen.into()).await
    }

    async fn execute(&self, req: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        if req.uri().path() != PATH {
            return Err(refusal(StatusCode::NOT_FOUND, "no such path"));
        }
        let req: RateRequest = read_json(req).await?;
        self.rated.fetch_add(1, Ordering::Relaxed);
        Ok(json(&self.rate(&req)))
    }

    /// Rates an answer. The same request always gets the same rating; an answer without an encoded
    /// quality gets the lowest rating.
    fn rate(&self, req: &RateRequest) -> Rating {
        let Some(quality) = parse_true_quality(&req.answer) else {
            return Rating { quality: 0.0 };
        };
        let noise = *self.noise.lock().unwrap_or_else(PoisonError::into_inner);
        let unit_interval = StableHash::new(self.seed)
            .with(&req.request_id)
            .with(&req.version)
            .unit_interval();
        let error = noise * (2.0 * unit_interval - 1.0);
        Rating {
            quality: (quality + error).clamp(0.0, 1.0),
        }
    }
}

impl RequestHandler for RatingService {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.execute(req).await.unwrap_or_else(|refused| refused) })
    }
}

impl Role for RatingService {
    fn name(&self) -> &'static str {
        "rating"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        exchange::serve(self, connection, faults)
    }

    fn control(&self, control: &Control) -> bool {
        let Control::SetNoise { noise } = control else {
            return false;
        };
        *self.noise.lock().unwrap_or_else(PoisonError::into_inner) = *noise;
        true
    }

    fn stats(&self) -> RoleStats {
        let rated = self.rated.load(Ordering::Relaxed);
        RoleStats::Rating(RatingStats { rated })
    }
}
