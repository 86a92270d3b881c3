//! Callers, which reuse open connections until their gateway closes them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use stand_in::gateway::{caller as users, upstream::EVENTS_PER_STREAM};
use tokio::{task::JoinHandle, time::timeout};

use crate::{
    deployment::{Deployment, KEY},
    records::{Outcome, RequestKind, RequestRecord},
};

/// Deadline of a request in milliseconds.
const DEADLINE_MS: u32 = 4_000;
/// How long callers wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout for opening a connection and for a directory query.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two requests of a caller in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..60;
/// Probability that a stream is read slowly.
const SLOW_PROBABILITY: f64 = 0.1;
/// How long a caller pauses in a stream that it reads slowly, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 100..3_500;
/// Separates the generator of slow readers from that of the requests.
const SLOW_READERS_SEED: u64 = 0x0053_4c4f_575f_5244;
/// Path of a stream that is read slowly. It has as many events as others, but does not fit into the buffers
/// of a connection.
const SLOW_PATH: &str = "/ask/6x32768";
/// Probability that a caller queries the directory again although its connection is open.
const RECONNECT_PROBABILITY: f64 = 0.05;

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Callers {
    /// Waits until callers have finished their current requests and returns all requests sent.
    pub async fn stop(self) -> Vec<RequestRecord> {
        self.stopped.store(true, Ordering::Relaxed);
        let records = futures::future::join_all(self.tasks).await;
        records.into_iter().flatten().flatten().collect()
    }
}

/// Starts the callers of a deployment.
pub fn spawn(deployment: &Deployment, seed: u64, callers: usize) -> Callers {
    let stopped = Arc::new(AtomicBool::new(false));
    let gateways: Arc<[Gateway]> = (0..deployment.fleet.len())
        .map(|index| Gateway {
            caller_address: deployment.fleet.caller_address(index),
            directory: deployment.fleet.directory(index),
        })
        .collect();
    let tasks = (0..callers)
        .map(|number| {
            let caller = Caller {
                number,
                gateways: gateways.clone(),
                rng: Xoshiro128PlusPlus::seed_from_u64(seed ^ number as u64),
                slow_rng: Xoshiro128PlusPlus::seed_from_u64(
                    seed ^ number as u64 ^ SLOW_READERS_SEED,
                ),
                connection: None,
                stopped: stopped.clone(),
            };
            tokio::spawn(caller.run())
        })
        .collect();
    Callers { stopped, tasks }
}

#[derive(Debug)]
struct Gateway {
    caller_address: SocketAddr,
    directory: SocketAddr,
}

struct Connection {
    gateway: usize,
    sender: SendRequest<Full<Bytes>>,
}

struct Caller {
    number: usize,
    gateways: Arc<[Gateway]>,
    rng: Xoshiro128PlusPlus,
    slow_rng: Xoshiro128PlusPlus,
    connection: Option<Connection>,
    stopped: Arc<AtomicBool>,
}

impl Caller {
    async fn run(mut self) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        while !self.stopped.load(Ordering::Relaxed) {
            let pause = Duration::from_millis(self.rng.random_range(REQUEST_INTERVAL_MS));
            tokio::time::sleep(pause).await;
            let id = format!("c{}-{}", self.number, records.len());
            if let Some(record) = self.request(id).await {
                records.push(record);
            }
        }
        records
    }

    /// Sends one request; returns `None` if no gateway could be found.
    async fn request(&mut self, id: String) -> Option<RequestRecord> {
        let kind = match self.rng.random_range(0..5) {
            0 | 1 => RequestKind::Book,
            2 => RequestKind::Look,
            _ => RequestKind::Ask,
        };
        if self.rng.random_bool(RECONNECT_PROBABILITY) {
            self.connection = None;
        }
        let gateway = match &self.connection {
            Some(connection) if !connection.sender.is_closed() => connection.gateway,
            _ => self.find_gateway().await?,
        };
        let sent_at = Instant::now();
        let pause = self.draw_pause(kind);
        let within = RESPONSE_TIMEOUT + pause.unwrap_or_default();
        let outcome = match pause {
            Some(pause) => timeout(within, self.send_and_pause(gateway, &id, pause)).await,
            None => timeout(within, self.send(gateway, kind, &id)).await,
        };
        let outcome = outcome.unwrap_or(Outcome::TimedOut);
        if matches!(outcome, Outcome::TimedOut | Outcome::NoAnswer(_)) {
            self.connection = None;
        }
        Some(RequestRecord {
            id,
            kind,
            gateway,
            sent_at,
            duration: sent_at.elapsed(),
            outcome,
        })
    }

    /// Queries the directory of a random gateway and selects one of the listed gateways.
    async fn find_gateway(&mut self) -> Option<usize> {
        let queried = self.rng.random_range(0..self.gateways.len());
        let named = list_gateways(self.gateways[queried].directory).await;
        let known: Vec<usize> = (0..self.gateways.len())
            .filter(|index| named.contains(&self.gateways[*index].caller_address))
            .collect();
        self.connection = None;
        match known.is_empty() {
            true => None,
            false => Some(known[self.rng.random_range(0..known.len())]),
        }
    }

    /// Returns how long to pause in a stream that is read slowly.
    fn draw_pause(&mut self, kind: RequestKind) -> Option<Duration> {
        let is_slow = kind == RequestKind::Ask && self.slow_rng.random_bool(SLOW_PROBABILITY);
        is_slow.then(|| Duration::from_millis(self.slow_rng.random_range(PAUSES_MS)))
    }

    /// Requests a stream on a connection of its own and pauses before its body is read.
    async fn send_and_pause(&self, gateway: usize, id: &str, pause: Duration) -> Outcome {
        let address = self.gateways[gateway].caller_address;
        let connected = timeout(CONNECT_TIMEOUT, users::connect_slow(address)).await;
        let Some(mut sender) = connected.ok().flatten() else {
            return Outcome::NotSent;
        };
        let request = ask(SLOW_PATH, id, KEY);
        exchange(&mut sender, RequestKind::Ask, request, pause, id).await
    }

    async fn send(&mut self, gateway: usize, kind: RequestKind, id: &str) -> Outcome {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match connect(self.gateways[gateway].caller_address).await {
                Some(sender) => Connection { gateway, sender },
                None => return Outcome::NotSent,
            },
        };
        let request = request(kind, id, KEY);
        let outcome = exchange(&mut connection.sender, kind, request, Duration::ZERO, id).await;
        self.connection = Some(connection);
        outcome
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    kind: RequestKind,
    request: Request<Full<Bytes>>,
    pause: Duration,
    id: &str,
) -> Outcome {
    if sender.ready().await.is_err() {
        return Outcome::NotSent;
    }
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(e) => return Outcome::NoAnswer(e.to_string()),
    };
    let status = response.status();
    if !status.is_success() {
        // The body of an error response is not evaluated.
        let _ = response.into_body().collect().await;
        return match users::NOT_RUN_STATUSES.contains(&status) {
            true => Outcome::NotRun(status),
            false => Outcome::Failed(status),
        };
    }
    tokio::time::sleep(pause).await;
    read_response(response, kind, id).await
}

async fn read_response(response: Response<Incoming>, kind: RequestKind, id: &str) -> Outcome {
    if !response.headers().contains_key("response-seal") {
        return Outcome::Wrong("successful response without a signature".into());
    }
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) if kind == RequestKind::Ask => return Outcome::BrokenOff,
        Err(e) => return Outcome::NoAnswer(e.to_string()),
    };
    let text = String::from_utf8_lossy(&body);
    match kind {
        RequestKind::Book | RequestKind::Look if text == format!("answer to {id}") => {
            Outcome::Served
        }
        RequestKind::Book | RequestKind::Look => Outcome::Wrong(text.into_owned()),
        RequestKind::Ask => {
            let events: Vec<u64> = text
                .lines()
                .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
                .collect();
            match events == (1..=EVENTS_PER_STREAM).collect::<Vec<_>>() {
                true => Outcome::Served,
                false => Outcome::Wrong(format!("events {events:?}")),
            }
        }
    }
}

/// Sends a request with a key to a gateway and returns the outcome.
pub async fn probe(caller_address: SocketAddr, key: &str) -> Outcome {
    let Some(mut sender) = connect(caller_address).await else {
        return Outcome::NotSent;
    };
    let query = timeout(
        RESPONSE_TIMEOUT,
        exchange(
            &mut sender,
            RequestKind::Look,
            request(RequestKind::Look, "probe", key),
            Duration::ZERO,
            "probe",
        ),
    );
    query.await.unwrap_or(Outcome::TimedOut)
}

/// Builds a request of a kind with a key.
fn request(kind: RequestKind, id: &str, key: &str) -> Request<Full<Bytes>> {
    let unstreamed = |method, path| {
        let headers = users::headers(id, key, DEADLINE_MS);
        users::request(method, path, &headers, Bytes::new())
    };
    match kind {
        RequestKind::Book => unstreamed(Method::POST, "/book/1"),
        RequestKind::Look => unstreamed(Method::GET, "/look/1"),
        RequestKind::Ask => ask("/ask/1", id, key),
    }
}

/// Builds a request for a stream.
fn ask(path: &str, id: &str, key: &str) -> Request<Full<Bytes>> {
    let headers = users::stream_headers(id, key, DEADLINE_MS);
    let prompt = Bytes::from_static(users::PROMPT);
    users::request(Method::POST, path, &headers, prompt)
}

/// Opens a connection to a gateway.
async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let connected = timeout(CONNECT_TIMEOUT, users::connect(address));
    connected.await.ok().flatten()
}

/// Returns the gateways in a gateway's directory; empty if it doesn't respond.
pub async fn list_gateways(address: SocketAddr) -> Vec<SocketAddr> {
    let query = timeout(CONNECT_TIMEOUT, query_directory(address));
    query.await.ok().flatten().unwrap_or_default()
}

async fn query_directory(address: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut sender = users::connect(address).await?;
    let query = users::get(users::DIRECTORY_PATH);
    let response = sender.send_request(query).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let answer: serde_json::Value = serde_json::from_slice(&body).ok()?;
    serde_json::from_value(answer["addresses"].clone()).ok()
}
