//! The naive baseline: always the best version, round robin over the upstreams in service, one
//! unbounded FIFO queue, and no cascade.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use platform_api::engine::{ChatMessage, ChatRequest};
use stand_in::engine::text::parse_true_quality;
use tokio::sync::Semaphore;

use crate::{
    measure::{
        arrivals::Arrival, harness::Harness, objects::best_version, sample::Outcome,
        traffic::RequestKind,
    },
    state::objects::{DomainName, Offer, ServiceState, UpstreamName},
    transport::{
        engine::{EngineClient, EngineRequest, error::EngineError, stream::StreamItem},
        http_client::{HttpClient, Reuse, Timeouts},
    },
};

/// Timeout of a request; the baseline ignores the requests' deadlines.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of attempts; a request is retried only if the upstream did not run it.
const MAX_ATTEMPTS: usize = 3;

/// Client that sends requests to the upstreams by the naive policy.
pub(super) struct Naive {
    best_version: &'static str,
    engines: BTreeMap<UpstreamName, (DomainName, EngineClient)>,
    servers: BTreeMap<UpstreamName, (DomainName, HttpClient)>,
    /// Failure domains that are out of service.
    excluded_domains: Mutex<Vec<DomainName>>,
    /// Round-robin position.
    cursor: AtomicUsize,
    /// Slots of all engines; waiting requests acquire them in FIFO order.
    slots: Semaphore,
}

impl Naive {
    pub(super) fn new(harness: &Harness) -> Self {
        let mut engines = BTreeMap::new();
        let mut servers = BTreeMap::new();
        let mut slots = 0;
        for (name, upstream) in &harness.upstreams {
            let object = &upstream.object;
            let domain = object.failure_domain.clone();
            match &object.offer {
                Offer::Engine { warm, .. } => {
                    slots += *warm as usize;
                    let client = EngineClient::new(object.address);
                    engines.insert(name.clone(), (domain, client));
                }
                Offer::Service { .. } => {
                    let client = HttpClient::new(object.address);
                    servers.insert(name.clone(), (domain, client));
                }
            }
        }
        Self {
            best_version: best_version(harness.scenario),
            engines,
            servers,
            excluded_domains: Mutex::default(),
            cursor: AtomicUsize::new(0),
            slots: Semaphore::new(slots),
        }
    }

    pub(super) fn set_domain(&self, domain: &str, state: ServiceState) {
        let mut excluded_domains = self
            .excluded_domains
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match state {
            ServiceState::Out => excluded_domains.push(domain.into()),
            ServiceState::In => excluded_domains.retain(|d| d != domain),
        }
    }

    pub(super) async fn send(&self, arrival: &Arrival) -> Outcome {
        if arrival.traffic.request_kind == RequestKind::Lookup {
            return self.lookup(arrival).await;
        }
        let started = Instant::now();
        let Ok(_slot) = self.slots.acquire().await else {
            return Outcome::failed(&"closed");
        };
        let mut last_outcome = Outcome::failed(&"no engine in service");
        for attempt in 0..MAX_ATTEMPTS {
            let Some(engine) = self.next(&self.engines) else {
                return last_outcome;
            };
            match self.attempt(&engine, arrival, attempt, started).await {
                Ok(outcome) => return outcome,
                Err(e) => {
                    last_outcome = Outcome::failed(&e);
                    if !e.not_run() {
                        return last_outcome;
                    }
                }
            }
        }
        last_outcome
    }

    async fn lookup(&self, arrival: &Arrival) -> Outcome {
        let Some(server) = self.next(&self.servers) else {
            return Outcome::failed(&"no server in service");
        };
        let timeouts = Timeouts {
            connect: Duration::from_secs(1),
            head: REQUEST_TIMEOUT,
            chunk: REQUEST_TIMEOUT,
        };
        let path = format!("/lookup/{}", arrival.index);
        let req = match Request::get(path).body(Full::new(Bytes::new())) {
            Ok(req) => req,
            Err(e) => return Outcome::failed(&e),
        };
        let exchange = server.send(req, Reuse::Idle, timeouts).await;
        let mut exchange = match exchange {
            Ok(exchange) if exchange.status() == StatusCode::OK => exchange,
            Ok(exchange) => return Outcome::failed(&exchange.status()),
            Err(e) => return Outcome::failed(&e),
        };
        match exchange.bytes(1 << 20).await {
            Ok(_) => Outcome::Answered {
                version: String::new(),
                quality: None,
                first_token: None,
            },
            Err(e) => Outcome::failed(&e),
        }
    }

    /// Returns the next upstream in round-robin order, skipping domains that are out of service.
    fn next<T: Clone>(&self, upstreams: &BTreeMap<UpstreamName, (DomainName, T)>) -> Option<T> {
        let excluded_domains = self
            .excluded_domains
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let serving: Vec<&T> = upstreams
            .values()
            .filter(|(domain, _)| !excluded_domains.contains(domain))
            .map(|(_, client)| client)
            .collect();
        let cursor = self.cursor.fetch_add(1, Ordering::Relaxed);
        serving.get(cursor % serving.len().max(1)).copied().cloned()
    }

    async fn attempt(
        &self,
        engine: &EngineClient,
        arrival: &Arrival,
        attempt: usize,
        started: Instant,
    ) -> Result<Outcome, EngineError> {
        let streamed = arrival.traffic.request_kind == RequestKind::Stream;
        let dispatch = EngineRequest {
            attempt: format!("naive-{}-{attempt}", arrival.index).into(),
            req: ChatRequest {
                model: self.best_version.into(),
                messages: vec![ChatMessage {
                    role: "user".into(),
                    content: arrival.prompt.clone(),
                }],
                stream: streamed,
                max_tokens: None,
            },
            priority: 0,
            resume_from: 0,
            limit: REQUEST_TIMEOUT,
        };
        if !streamed {
            let completion = engine.complete(&dispatch, Reuse::Idle).await?;
            return Ok(Outcome::from_chat(&completion.response));
        }
        let mut stream = engine.stream(&dispatch, Reuse::Idle).await?;
        let mut text = String::new();
        let mut first = None;
        loop {
            match stream.next().await? {
                StreamItem::Token { text: token, .. } => {
                    first.get_or_insert_with(|| started.elapsed());
                    text.push_str(&token);
                }
                StreamItem::End { .. } => {
                    return Ok(Outcome::Answered {
                        version: self.best_version.into(),
                        quality: parse_true_quality(&text),
                        first_token: first,
                    });
                }
            }
        }
    }
}
