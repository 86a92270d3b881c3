//! Fake model engine: OpenAI-style completions with continuous batching, cold starts and crashes.

mod attempts;
mod batch;
pub mod cold;
pub mod config;
mod generation;
mod orders;
mod records;
pub mod text;
mod versions;
mod volatile;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use compact_str::CompactString;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use platform_api::engine::{
    ATTEMPT_HEADER, ATTEMPTS_PATH, COMPLETIONS_PATH, ChatRequest, LOAD_PATH, Load, ORDERS_PATH,
    PRIORITY_HEADER, RESUME_HEADER,
};

pub use crate::engine::{
    cold::ColdConfig,
    config::{EngineConfig, VersionConfig},
};
use crate::{
    connection::FaultyConnection,
    control::Control,
    engine::{
        batch::Priority,
        generation::Generation,
        orders::Orders,
        records::{Records, Tunables},
        text::Prompt,
        versions::{Pace, Versions},
        volatile::{AdmittedRequest, VolatileState},
    },
    exchange::{self, RequestHandler},
    fault::Faults,
    http::{HttpResponse, header, json, read_json, refusal, set_header, with_content_type},
    lagging::Lagging,
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::{EngineStats, RoleStats},
};

/// Fake model engine.
pub struct Engine {
    cfg: EngineConfig,
    faults: Arc<Faults>,
    volatile: Mutex<Arc<VolatileState>>,
    versions: Mutex<Versions>,
    tunables: Mutex<Tunables>,
    records: Mutex<Records>,
    published_load: Mutex<Lagging<Arc<Load>>>,
    orders: Mutex<Orders>,
}

/// Request headers of a completion that the engine evaluates.
struct CompletionHeaders {
    attempt: CompactString,
    resume_from: u32,
    priority: Priority,
}

impl Engine {
    /// Starts an engine.
    pub async fn spawn(
        cfg: EngineConfig,
        listen: impl Into<ListenAddresses>,
    ) -> Result<RoleHandle> {
        let faults = Arc::new(Faults::default());
        let volatile = Arc::new(VolatileState::new(&cfg, cfg.cold.at_start));
        let versions = Versions::new(&cfg.versions);
        let load = load(&faults, &volatile, &versions, false);
        let engine = Arc::new(Self {
            volatile: Mutex::new(volatile),
            versions: Mutex::new(versions),
            tunables: Mutex::new(Tunables::new(&cfg)),
            records: Mutex::default(),
            published_load: Mutex::new(Lagging::new(cfg.load_lag, Arc::new(load))),
            orders: Mutex::default(),
            faults: faults.clone(),
            cfg,
        });
        RoleHandle::spawn(engine, faults, listen.into()).await
    }

    fn volatile(&self) -> Arc<VolatileState> {
        lock(&self.volatile).clone()
    }

    fn versions(&self) -> MutexGuard<'_, Versions> {
        lock(&self.versions)
    }

    fn tunables(&self) -> MutexGuard<'_, Tunables> {
        lock(&self.tunables)
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }

    fn pace(&self) -> Pace {
        self.tunables().pace
    }

    fn record_cold_peak(&self, peak: u32) {
        let mut records = self.records();
        records.cold_peak = records.cold_peak.max(peak);
    }

    fn record_cancelled(&self) {
        self.records().cancelled += 1;
    }

    /// Publishes the current load, which becomes visible after the configured lag.
    fn publish_load(&self) {
        let load = self.current_load();
        lock(&self.published_load).write(Instant::now(), Arc::new(load));
    }

    fn current_load(&self) -> Load {
        let leaving = self.tunables().leaving;
        load(&self.faults, &self.volatile(), &self.versions(), leaving)
    }

    /// Crashes the engine: all requests and attempts are lost, and it restarts cold.
    fn crash(&self, restart: Duration) {
        *lock(&self.volatile) = Arc::new(VolatileState::new(&self.cfg, true));
        self.faults.crash(restart);
        let lag = self.tunables().load_lag;
        *lock(&self.published_load) = Lagging::new(lag, Arc::new(self.current_load()));
    }

    async fn execute(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<HttpResponse, HttpResponse> {
        let path = req.uri().path();
        match (req.method(), path) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(req).await,
            (&Method::POST, ORDERS_PATH) => self.order(req).await,
            (&Method::GET, LOAD_PATH) => {
                let load = lock(&self.published_load).read(Instant::now());
                Ok(json(&*load))
            }
            (&Method::GET, path) => match path.strip_prefix(ATTEMPTS_PATH) {
                Some(id) => Ok(json(&self.volatile().attempts().state(id))),
                None => Err(no_such_path()),
            },
            _ => Err(no_such_path()),
        }
    }

    async fn complete(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<HttpResponse, HttpResponse> {
        let headers = CompletionHeaders::new(&req);
        let attempt = headers.attempt.clone();
        let answer = self.generate_answer(headers, read_json(req).await?).await;
        let (Ok(mut res) | Err(mut res)) = answer;
        set_header(&mut res, ATTEMPT_HEADER, &attempt);
        Ok(res)
    }

    async fn generate_answer(
        self: Arc<Self>,
        headers: CompletionHeaders,
        req: ChatRequest,
    ) -> Result<HttpResponse, HttpResponse> {
        if !self.versions().is_loaded(&req.model) {
            return Err(refusal(StatusCode::NOT_FOUND, "version not loaded"));
        }
        let volatile = self.volatile();
        let Ok(admitted) = AdmittedRequest::enter(&self, volatile.clone()) else {
            self.records().cold_crashes += 1;
            self.crash(self.cfg.restart);
            return std::future::pending().await;
        };
        let Ok(slot) = volatile.batch.enter(headers.priority).await else {
            self.records().refused += 1;
            return Err(refusal(StatusCode::SERVICE_UNAVAILABLE, "queue full"));
        };
        self.record_start(&headers.attempt, &volatile);
        if self.is_poison(&req) {
            self.records().poison_crashes += 1;
            self.crash(self.cfg.restart);
            return std::future::pending().await;
        }
        let prompt = Prompt::new(&req.messages);
        let Some(profile) = self.versions().begin(&req.model, &prompt) else {
            return Err(refusal(StatusCode::NOT_FOUND, "version unloaded"));
        };
        let full_length = prompt.answer_tokens(&req.model);
        let end = full_length.min(req.max_tokens.unwrap_or(full_length));
        let progress = volatile
            .attempts()
            .begin(&headers.attempt, headers.resume_from);
        let generation = Generation {
            engine: self.clone(),
            attempt: headers.attempt,
            version: req.model,
            prompt,
            profile,
            offset: headers.resume_from.min(end),
            end,
            finish_reason: if end < full_length { "length" } else { "stop" },
            progress,
            slot,
            admitted: admitted.begin(),
            before_first_token: true,
        };
        if req.stream {
            let faults = self.tunables().take_stream_faults();
            return Ok(with_content_type(
                "text/event-stream",
                generation.into_body(faults),
            ));
        }
        Ok(json(&generation.run_to_end().await))
    }

    fn record_start(&self, attempt: &CompactString, volatile: &VolatileState) {
        let mut records = self.records();
        records.count_attempt(attempt);
        records.running_peak = records.running_peak.max(volatile.batch.peak());
    }

    fn is_poison(&self, req: &ChatRequest) -> bool {
        let Some(poison) = &self.cfg.poison else {
            return false;
        };
        req.messages
            .iter()
            .any(|m| m.content.contains(poison.as_str()))
    }
}

impl CompletionHeaders {
    fn new(req: &Request<Incoming>) -> Self {
        let number = |name| header(req, name).and_then(|v| v.parse().ok()).unwrap_or(0);
        Self {
            attempt: header(req, ATTEMPT_HEADER).unwrap_or_default().into(),
            resume_from: number(RESUME_HEADER),
            priority: number(PRIORITY_HEADER),
        }
    }
}

impl RequestHandler for Engine {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.execute(req).await.unwrap_or_else(|refused| refused) })
    }
}

impl Role for Engine {
    fn name(&self) -> &'static str {
        "engine"
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
            Control::Crash { restart } => self.crash(*restart),
            Control::GoCold { grace } => {
                self.volatile().cold().set_cold(Instant::now() + *grace);
                self.publish_load();
            }
            Control::TurnBad {
                version,
                quality_drop,
            } => self.versions().set_quality_drop(version, *quality_drop),
            Control::SetLag { lag } => {
                self.tunables().load_lag = *lag;
                lock(&self.published_load).set_lag(*lag);
            }
            Control::Leaving { leaving } => {
                self.tunables().leaving = *leaving;
                self.publish_load();
            }
            other => return self.tunables().apply(other),
        }
        true
    }

    fn stats(&self) -> RoleStats {
        let cold = self.volatile().cold().is_cold();
        let versions = self.versions().records();
        let stats = self.records().stats();
        RoleStats::Engine(EngineStats {
            cold,
            versions,
            ..stats
        })
    }
}

fn load(faults: &Faults, volatile: &VolatileState, versions: &Versions, leaving: bool) -> Load {
    Load {
        incarnation: faults.incarnation(),
        cold: volatile.cold().is_cold(),
        leaving,
        running: volatile.batch.running(),
        waiting: volatile.batch.waiting(),
        versions: versions.loaded(),
    }
}

fn no_such_path() -> HttpResponse {
    refusal(StatusCode::NOT_FOUND, "no such path")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
