//! The naive baseline: the best version always, round robin over the upstreams in service, one
//! unbounded queue in order of arrival, and no cascade.

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
    measure::{arrivals::Arrival, bed::Bed, objects::best, sample::Outcome, traffic::Ask},
    state::objects::{DomainName, Offer, ServiceState, UpstreamName},
    transport::{
        engine::{EngineClient, EngineRequest, error::EngineError, stream::StreamItem},
        http_client::{HttpClient, Reuse, Timeouts},
    },
};

/// The longest time to an answer's end; the baseline does not know of deadlines.
const LIMIT: Duration = Duration::from_secs(120);

/// How often a request that an upstream did not run is sent to the next.
const TRIES: usize = 3;

/// The naive baseline.
pub(super) struct Naive {
    best: &'static str,
    engines: BTreeMap<UpstreamName, (DomainName, EngineClient)>,
    servers: BTreeMap<UpstreamName, (DomainName, HttpClient)>,
    out: Mutex<Vec<DomainName>>,
    turn: AtomicUsize,
    /// Hands places out in order of arrival.
    places: Semaphore,
}

impl Naive {
    pub(super) fn new(bed: &Bed) -> Self {
        let mut engines = BTreeMap::new();
        let mut servers = BTreeMap::new();
        let mut places = 0;
        for (name, upstream) in &bed.upstreams {
            let object = &upstream.object;
            let domain = object.failure_domain.clone();
            match &object.offer {
                Offer::Engine { warm, .. } => {
                    places += *warm as usize;
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
            best: best(bed.scenario),
            engines,
            servers,
            out: Mutex::default(),
            turn: AtomicUsize::new(0),
            places: Semaphore::new(places),
        }
    }

    pub(super) fn set_domain(&self, domain: &str, state: ServiceState) {
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        match state {
            ServiceState::Out => out.push(domain.into()),
            ServiceState::In => out.retain(|d| d != domain),
        }
    }

    pub(super) async fn send(&self, arrival: &Arrival) -> Outcome {
        if arrival.traffic.ask == Ask::Lookup {
            return self.lookup(arrival).await;
        }
        let begun = Instant::now();
        let Ok(_place) = self.places.acquire().await else {
            return Outcome::failed(&"closed");
        };
        let mut last = Outcome::failed(&"no engine in service");
        for attempt in 0..TRIES {
            let Some(engine) = self.next(&self.engines) else {
                return last;
            };
            match self.attempt(&engine, arrival, attempt, begun).await {
                Ok(outcome) => return outcome,
                Err(e) => {
                    last = Outcome::failed(&e);
                    if !e.not_run() {
                        return last;
                    }
                }
            }
        }
        last
    }

    async fn lookup(&self, arrival: &Arrival) -> Outcome {
        let Some(server) = self.next(&self.servers) else {
            return Outcome::failed(&"no server in service");
        };
        let timeouts = Timeouts {
            connect: Duration::from_secs(1),
            head: LIMIT,
            chunk: LIMIT,
        };
        let path = format!("/lookup/{}", arrival.number);
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

    fn next<T: Clone>(&self, upstreams: &BTreeMap<UpstreamName, (DomainName, T)>) -> Option<T> {
        let out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        let serving: Vec<&T> = upstreams
            .values()
            .filter(|(domain, _)| !out.contains(domain))
            .map(|(_, client)| client)
            .collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        serving.get(turn % serving.len().max(1)).copied().cloned()
    }

    async fn attempt(
        &self,
        engine: &EngineClient,
        arrival: &Arrival,
        attempt: usize,
        begun: Instant,
    ) -> Result<Outcome, EngineError> {
        let streamed = arrival.traffic.ask == Ask::Stream;
        let dispatch = EngineRequest {
            attempt: format!("naive-{}-{attempt}", arrival.number).into(),
            req: ChatRequest {
                model: self.best.into(),
                messages: vec![ChatMessage {
                    role: "user".into(),
                    content: arrival.prompt.clone(),
                }],
                stream: streamed,
                max_tokens: None,
            },
            priority: 0,
            resume_from: 0,
            limit: LIMIT,
        };
        if !streamed {
            let whole = engine.complete(&dispatch, Reuse::Idle).await?;
            return Ok(Outcome::of_chat(&whole.response));
        }
        let mut stream = engine.stream(&dispatch, Reuse::Idle).await?;
        let mut text = String::new();
        let mut first = None;
        loop {
            match stream.next().await? {
                StreamItem::Token { text: token, .. } => {
                    first.get_or_insert_with(|| begun.elapsed());
                    text.push_str(&token);
                }
                StreamItem::End { .. } => {
                    return Ok(Outcome::Answered {
                        version: self.best.into(),
                        quality: parse_true_quality(&text),
                        first_token: first,
                    });
                }
            }
        }
    }
}
