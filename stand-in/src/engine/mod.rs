//! A model engine: OpenAI-shaped completions, batched continuously, with cold starts and crashes.

mod attempts;
mod batch;
pub mod cold;
pub mod config;
mod generation;
mod life;
mod orders;
mod records;
pub mod text;
mod versions;

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
    control::Control,
    engine::{
        batch::Priority,
        generation::Generation,
        life::{Inside, Life},
        orders::Orders,
        records::{Records, Tunables},
        text::Prompt,
        versions::{Pace, Versions},
    },
    exchange::{self, Answers},
    fault::Faults,
    gate::Gate,
    http::{Answer, header, json, read_json, refusal, set_header, typed},
    lagging::Lagging,
    server::{Listen, Result, Role, Running},
    stats::{EngineStats, RoleStats},
};

/// A model engine.
pub struct Engine {
    cfg: EngineConfig,
    faults: Arc<Faults>,
    life: Mutex<Arc<Life>>,
    versions: Mutex<Versions>,
    tunables: Mutex<Tunables>,
    records: Mutex<Records>,
    reported: Mutex<Lagging<Arc<Load>>>,
    orders: Mutex<Orders>,
}

/// The headers of a completion that matter to the engine.
struct Head {
    attempt: CompactString,
    resume_from: u32,
    priority: Priority,
}

impl Engine {
    /// Starts an engine.
    pub async fn spawn(cfg: EngineConfig, listen: impl Into<Listen>) -> Result<Running> {
        let faults = Arc::new(Faults::default());
        let life = Arc::new(Life::new(&cfg, cfg.cold.at_start));
        let versions = Versions::new(&cfg.versions);
        let load = load(&faults, &life, &versions, false);
        let engine = Arc::new(Self {
            life: Mutex::new(life),
            versions: Mutex::new(versions),
            tunables: Mutex::new(Tunables::new(&cfg)),
            records: Mutex::default(),
            reported: Mutex::new(Lagging::new(cfg.load_lag, Arc::new(load))),
            orders: Mutex::default(),
            faults: faults.clone(),
            cfg,
        });
        Running::spawn(engine, faults, listen.into()).await
    }

    fn life(&self) -> Arc<Life> {
        lock(&self.life).clone()
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

    fn note_cold_peak(&self, peak: u32) {
        let mut records = self.records();
        records.cold_peak = records.cold_peak.max(peak);
    }

    fn note_cancelled(&self) {
        self.records().cancelled += 1;
    }

    /// Records the load as it is now, to be seen one lag later.
    fn report(&self) {
        let load = self.load_now();
        lock(&self.reported).write(Instant::now(), Arc::new(load));
    }

    fn load_now(&self) -> Load {
        let leaving = self.tunables().leaving;
        load(&self.faults, &self.life(), &self.versions(), leaving)
    }

    /// Loses all requests and attempts, and comes back cold.
    fn crash(&self, restart: Duration) {
        *lock(&self.life) = Arc::new(Life::new(&self.cfg, true));
        self.faults.crash(restart);
        let lag = self.tunables().load_lag;
        *lock(&self.reported) = Lagging::new(lag, Arc::new(self.load_now()));
    }

    async fn execute(self: Arc<Self>, req: Request<Incoming>) -> Result<Answer, Answer> {
        let path = req.uri().path();
        match (req.method(), path) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(req).await,
            (&Method::POST, ORDERS_PATH) => self.order(req).await,
            (&Method::GET, LOAD_PATH) => {
                let load = lock(&self.reported).read(Instant::now());
                Ok(json(&*load))
            }
            (&Method::GET, path) => match path.strip_prefix(ATTEMPTS_PATH) {
                Some(id) => Ok(json(&self.life().attempts().state(id))),
                None => Err(no_such_path()),
            },
            _ => Err(no_such_path()),
        }
    }

    async fn complete(self: Arc<Self>, req: Request<Incoming>) -> Result<Answer, Answer> {
        let head = Head::new(&req);
        let attempt = head.attempt.clone();
        let answer = self.generate(head, read_json(req).await?).await;
        let (Ok(mut res) | Err(mut res)) = answer;
        set_header(&mut res, ATTEMPT_HEADER, &attempt);
        Ok(res)
    }

    async fn generate(self: Arc<Self>, head: Head, req: ChatRequest) -> Result<Answer, Answer> {
        if !self.versions().is_loaded(&req.model) {
            return Err(refusal(StatusCode::NOT_FOUND, "version not loaded"));
        }
        let life = self.life();
        let Ok(inside) = Inside::enter(&self, life.clone()) else {
            self.records().cold_crashes += 1;
            self.crash(self.cfg.restart);
            return std::future::pending().await;
        };
        let Ok(slot) = life.batch.enter(head.priority).await else {
            self.records().refused += 1;
            return Err(refusal(StatusCode::SERVICE_UNAVAILABLE, "queue full"));
        };
        self.note_begun(&head.attempt, &life);
        if self.is_poison(&req) {
            self.records().poison_crashes += 1;
            self.crash(self.cfg.restart);
            return std::future::pending().await;
        }
        let prompt = Prompt::new(&req.messages);
        let Some(nature) = self.versions().begin(&req.model, &prompt) else {
            return Err(refusal(StatusCode::NOT_FOUND, "version unloaded"));
        };
        let whole = prompt.answer_tokens(&req.model);
        let end = whole.min(req.max_tokens.unwrap_or(whole));
        let progress = life.attempts().begin(&head.attempt, head.resume_from);
        let generation = Generation {
            engine: self.clone(),
            attempt: head.attempt,
            version: req.model,
            prompt,
            nature,
            offset: head.resume_from.min(end),
            end,
            finish_reason: if end < whole { "length" } else { "stop" },
            progress,
            slot,
            inside: inside.begin(),
            fresh: true,
        };
        if req.stream {
            let faults = self.tunables().take_stream_faults();
            return Ok(typed("text/event-stream", generation.events(faults)));
        }
        Ok(json(&generation.whole().await))
    }

    fn note_begun(&self, attempt: &CompactString, life: &Life) {
        let mut records = self.records();
        records.count_attempt(attempt);
        records.running_peak = records.running_peak.max(life.batch.peak());
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

impl Head {
    fn new(req: &Request<Incoming>) -> Self {
        let number = |name| header(req, name).and_then(|v| v.parse().ok()).unwrap_or(0);
        Self {
            attempt: header(req, ATTEMPT_HEADER).unwrap_or_default().into(),
            resume_from: number(RESUME_HEADER),
            priority: number(PRIORITY_HEADER),
        }
    }
}

impl Answers for Engine {
    fn answer(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(async move { self.execute(req).await.unwrap_or_else(|refused| refused) })
    }
}

impl Role for Engine {
    fn name(&self) -> &'static str {
        "engine"
    }

    fn serve(self: Arc<Self>, gate: Gate, faults: Arc<Faults>) -> BoxFuture<'static, ()> {
        exchange::serve(self, gate, faults)
    }

    fn control(&self, control: &Control) -> bool {
        match control {
            Control::Crash { restart } => self.crash(*restart),
            Control::GoCold { grace } => {
                self.life().cold().turn_cold(Instant::now() + *grace);
                self.report();
            }
            Control::TurnBad {
                version,
                quality_drop,
            } => self.versions().turn_bad(version, *quality_drop),
            Control::SetLag { lag } => {
                self.tunables().load_lag = *lag;
                lock(&self.reported).set_lag(*lag);
            }
            Control::Leaving { leaving } => {
                self.tunables().leaving = *leaving;
                self.report();
            }
            other => return self.tunables().apply(other),
        }
        true
    }

    fn stats(&self) -> RoleStats {
        let cold = self.life().cold().is_cold();
        let versions = self.versions().records();
        let stats = self.records().stats();
        RoleStats::Engine(EngineStats {
            cold,
            versions,
            ..stats
        })
    }
}

fn load(faults: &Faults, life: &Life, versions: &Versions, leaving: bool) -> Load {
    Load {
        incarnation: faults.incarnation(),
        cold: life.cold().is_cold(),
        leaving,
        running: life.batch.running(),
        waiting: life.batch.waiting(),
        versions: versions.loaded(),
    }
}

fn no_such_path() -> Answer {
    refusal(StatusCode::NOT_FOUND, "no such path")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
