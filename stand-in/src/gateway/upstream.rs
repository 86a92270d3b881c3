//! A stand-in of the users' upstreams: a model engine or a plain service, with faults on request.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::mpsc};
use tokio_stream::wrappers::ReceiverStream;

/// The events of a whole stream.
pub const EVENTS_PER_STREAM: u64 = 6;
/// The pause between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers.
    #[default]
    Serve,
    /// It runs the request and answers 500.
    Fail,
    /// It says that it has not run the request.
    Refuse,
    /// It runs the request and closes the connection without an answer.
    Break,
    /// It closes the connection after some events.
    BreakAfter(u64),
    /// It answers with the id of another request.
    Foreign,
    /// It answers without its signature.
    Unsigned,
    /// It never answers.
    Hang,
}

/// A request that an upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it had read it.
    pub executed_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    runs: Vec<Run>,
}

/// A running upstream.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    /// Its id in the table.
    pub id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    in_flight: Arc<AtomicUsize>,
}

type Body = Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, std::io::Error>>>>;

impl FakeUpstream {
    /// Listens on a free port of the loopback address.
    pub async fn spawn(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let upstream = Self {
            id: id.into(),
            address: listener.local_addr().expect("bound"),
            state: Arc::default(),
            in_flight: Arc::default(),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = serving.clone();
                let service = service_fn(move |req| {
                    let upstream = upstream.clone();
                    async move {
                        upstream
                            .answer(req)
                            .await
                            .ok_or(std::io::Error::other("broken"))
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        upstream
    }

    /// Changes what it does with requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The requests on which it works now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Its row in the table.
    pub fn row(&self, service: &str, version: &str) -> serde_json::Value {
        self.row_at(self.address, service, version)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its row in the table, where gateways reach it at another address.
    pub fn row_at(&self, address: SocketAddr, service: &str, version: &str) -> serde_json::Value {
        serde_json::json!({
            "service": service, "address": address, "zone": "a", "version": version,
            "slots": 16, "state": "ready", "cold_remaining_ms": 0, "born": 1,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: Request<Incoming>) -> Option<Response<Body>> {
        let (parts, body) = req.into_parts();
        let text = |name: &str| {
            let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = text("request-id");
        if text("expect-instance") != self.id {
            return Some(full_response(StatusCode::MISDIRECTED_REQUEST, &id, None));
        }
        let behaviour = self.state().behaviour;
        if behaviour == Behaviour::Refuse {
            let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, &id, None);
            response
                .headers_mut()
                .insert("not-executed", "1".parse().expect("a value"));
            return Some(response);
        }
        let body = body.collect().await.ok()?.to_bytes();
        let headers = parts.headers.clone();
        self.state().runs.push(Run {
            id: id.clone(),
            headers,
            body,
            executed_at: Instant::now(),
        });
        let _in_flight = InFlightGuard::begin(&self.in_flight);
        match behaviour {
            Behaviour::Break => return None,
            Behaviour::Fail => {
                return Some(full_response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    &id,
                    Some("s"),
                ));
            }
            Behaviour::Foreign => return Some(full_response(StatusCode::OK, "another", Some("s"))),
            Behaviour::Unsigned => return Some(full_response(StatusCode::OK, &id, None)),
            Behaviour::Hang => std::future::pending::<()>().await,
            Behaviour::Serve | Behaviour::BreakAfter(_) | Behaviour::Refuse => {}
        }
        if !parts.uri.path().starts_with("/ask/") {
            return Some(full_response(StatusCode::OK, &id, Some("s")));
        }
        let last = match behaviour {
            Behaviour::BreakAfter(events) => Some(events),
            _ => None,
        };
        let after = text("last-event-id").parse().unwrap_or(0);
        Some(self.events(
            &id,
            &text("model"),
            parts.uri.path().contains("hard"),
            after,
            last,
        ))
    }

    fn events(
        &self,
        id: &str,
        model: &str,
        hard: bool,
        after: u64,
        last_event_before_break: Option<u64>,
    ) -> Response<Body> {
        let (tx, rx) = mpsc::channel(1);
        let line = format!("model={model} upstream={}", self.id);
        let in_flight = InFlightGuard::begin(&self.in_flight);
        tokio::spawn(async move {
            let _in_flight = in_flight;
            for event in after + 1..=EVENTS_PER_STREAM {
                if last_event_before_break.is_some_and(|last| event > last) {
                    // Part of an event, and then no more.
                    let part = Frame::data(Bytes::from(format!("id: {event}\ndata: ")));
                    let _ = tx.send(Ok(part)).await;
                    let _ = tx.send(Err(std::io::Error::other("broken"))).await;
                    return;
                }
                let frame = Frame::data(Bytes::from(format!("id: {event}\ndata: {line}\n\n")));
                if tx.send(Ok(frame)).await.is_err() {
                    return;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
        });
        let confidence = if hard && model == "small" { "10" } else { "90" };
        let mut response = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(rx))));
        sign(&mut response, id, Some("s"));
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            "text/event-stream".parse().expect("a value"),
        );
        headers.insert("confidence", confidence.parse().expect("a value"));
        response
    }
}

/// Counts the requests under way.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn full_response(status: StatusCode, id: &str, seal: Option<&str>) -> Response<Body> {
    let body = Bytes::from(format!("answer to {id}"));
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    sign(&mut response, id, seal);
    response
}

fn sign(response: &mut Response<Body>, id: &str, seal: Option<&str>) {
    let headers = response.headers_mut();
    headers.insert("request-id", id.parse().expect("a value"));
    if let Some(seal) = seal {
        headers.insert("response-seal", seal.parse().expect("a value"));
    }
}

/// The number of runs by request id, over some upstreams.
pub fn runs_by_id(upstreams: &[&FakeUpstream]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for run in upstreams.iter().flat_map(|upstream| upstream.runs()) {
        *counts.entry(run.id).or_default() += 1;
    }
    counts
}
