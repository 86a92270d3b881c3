//! Fake of an upstream: a model engine or a plain service, with fault injection.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, mpsc, watch},
    task::JoinSet,
};
use tokio_stream::wrappers::ReceiverStream;

use super::stream_shape::StreamShape;

/// Number of events of a complete stream.
pub const EVENTS_PER_STREAM: u64 = 6;
/// Time from the start of a run that crashes the upstream to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Number of slots of an upstream unless another one is set.
const DEFAULT_SLOTS: usize = 16;
/// Time that a brittle upstream takes for a plain request unless another one is set.
const BRITTLE_RUN_TIME: Duration = Duration::from_millis(60);
/// Interval at which a queued request checks for a slot.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Span in which a brittle upstream counts its refusals.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of bytes that a connection holds before a response counts as unread, in the server and
/// in the kernel.
const SEND_BUFFER_BYTES: u32 = 16 << 10;
/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// Time from a crash to the restart.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// How an upstream responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes and answers requests.
    #[default]
    Serve,
    /// Executes requests and answers with status 500.
    Fail,
    /// Executes requests and answers with an error that does not say whether it did.
    FailWith(ErrorAnswer),
    /// Refuses requests, and reports that they were not executed.
    Refuse,
    /// Refuses requests and asks for a pause of this many seconds.
    RefuseWithPause(u64),
    /// Executes and answers requests, and announces that it leaves.
    Leave,
    /// Executes and answers requests, and names this limit of an upstream in requests per 1,000 seconds.
    Limit(u32),
    /// Runs requests as its slots allow, refuses the others, and says that it is brittle: it crashes if it
    /// refuses more than this many in a second.
    Brittle(u32),
    /// Runs requests as its slots allow, queues this many others by priority, and refuses the rest.
    Queue(usize),
    /// Is silent for this many milliseconds before it executes and answers a request.
    SilentFor(u64),
    /// Executes requests and closes the connection without a response.
    Break,
    /// Closes the connection after the given number of events, inside the next one.
    BreakAfter(u64),
    /// Ends the stream without an error after the given number of events, inside the next one.
    EndAfter(u64),
    /// Ends the stream without an error before its first event.
    EndEmpty,
    /// Answers with the id of another request.
    Foreign,
    /// Answers without its signature.
    Unsigned,
    /// Never answers.
    Hang,
}

/// The answer of an upstream that has executed a request and reports a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of `Retry-After` in seconds.
    pub retry_after_s: Option<u64>,
    /// Whether it has the upstream's signature.
    pub is_signed: bool,
}

impl ErrorAnswer {
    /// Creates a signed answer without `Retry-After`.
    pub fn signed(status: StatusCode) -> Self {
        Self {
            status,
            retry_after_s: None,
            is_signed: true,
        }
    }

    fn response(self, id: &str) -> Response<Body> {
        let mut response = full_response(self.status, id, self.is_signed.then_some("s"));
        if let Some(seconds) = self.retry_after_s {
            let headers = response.headers_mut();
            headers.insert("retry-after", seconds.into());
        }
        response
    }
}

/// How an upstream marks the end of its streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By an empty chunk.
    #[default]
    Chunked,
    /// By closing the connection.
    Close,
}

/// A request that an upstream has executed.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the upstream had read the request.
    pub executed_at: Instant,
    /// Whether the response announced that the upstream leaves.
    pub announced_leaving: bool,
    /// The limit that the response named, in requests per 1,000 seconds.
    pub named_limit: Option<u32>,
    /// Number of restarts of the upstream before.
    pub restarts: u64,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    framing: Framing,
    runs: Vec<Run>,
    /// Times at which requests arrived, also those that were refused.
    arrivals: Vec<Instant>,
    /// Number of restarts so far.
    restarts: u64,
    /// Whether it has crashed and not restarted yet.
    is_down: bool,
    /// Id of the prompt segment that crashes the upstream.
    crashing_segment: Option<String>,
    /// Times of the crashes.
    crashes: Vec<Instant>,
    /// Number of slots, if it is not the default.
    slots: Option<usize>,
    /// Time that it takes for a plain request while it is brittle, if it is not the default.
    brittle_run_time: Option<Duration>,
    /// Priorities and arrival numbers of the requests that it queues.
    queued: BTreeSet<(u64, u64)>,
    /// Number of requests that it has queued so far.
    queued_so_far: u64,
    /// Times at which it refused requests while it was brittle.
    brittle_refusals: Vec<Instant>,
    /// Time after which a response is cut off that is not read.
    unread_timeout: Option<Duration>,
    /// Number of responses that were cut off as they were not read.
    unread_cuts: usize,
}

/// Running fake of an upstream.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    /// Id of the upstream in the table.
    pub id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    in_flight: Arc<AtomicUsize>,
    crashed: Arc<Notify>,
    /// Hosts whose connections are disturbed.
    link_faults: watch::Sender<BTreeMap<IpAddr, LinkFault>>,
}

/// How the connections of a host are disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkFault {
    /// Open and new ones are reset.
    Reset,
    /// New ones are accepted, and none carries data until the fault ends.
    Silent,
}

/// Listens with a small send buffer, so that the upstream notices early that a response is not read.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

type Body = Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, std::io::Error>>>>;

impl FakeUpstream {
    /// Listens on a free port of the loopback address.
    pub async fn spawn(id: &str) -> Self {
        let listener = listen(([127, 0, 0, 1], 0).into()).expect("free port");
        let upstream = Self {
            id: id.into(),
            address: listener.local_addr().expect("local address"),
            state: Arc::default(),
            in_flight: Arc::default(),
            crashed: Arc::default(),
            link_faults: watch::Sender::default(),
        };
        tokio::spawn(upstream.clone().run(listener));
        upstream
    }

    async fn run(self, mut listener: TcpListener) {
        loop {
            self.serve_until_crash(listener).await;
            tokio::time::sleep(DOWN_TIME).await;
            listener = listen(self.address).expect("the port is free after a crash");
            let mut state = self.state();
            state.is_down = false;
            state.restarts += 1;
        }
    }

    /// Serves connections; closes all of them at a crash.
    async fn serve_until_crash(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) => { connections.spawn(self.clone().serve(stream, from.ip())); }
                    Err(_) => return,
                },
                Some(_) = connections.join_next() => {}
                () = self.crashed.notified() => return,
            }
        }
    }

    /// Serves a connection until it ends or is reset; what arrives while it is silent is read afterwards.
    async fn serve(self, stream: TcpStream, from: IpAddr) {
        let mut faults = self.link_faults.subscribe();
        if faults.borrow_and_update().get(&from) == Some(&LinkFault::Reset) {
            // Closing the connection resets it.
            let _ = stream.set_zero_linger();
            return;
        }
        let mut serving = pin!(self.serve_open(stream));
        loop {
            let fault = faults.borrow_and_update().get(&from).copied();
            if fault == Some(LinkFault::Reset) {
                return;
            }
            tokio::select! {
                () = &mut serving, if fault.is_none() => return,
                changed = faults.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn serve_open(&self, stream: TcpStream) {
        let unread = Arc::new(Notify::new());
        let service = service_fn(|req| {
            let (upstream, unread) = (self.clone(), unread.clone());
            async move {
                let response = upstream.answer(req, unread).await;
                response.ok_or(std::io::Error::other("broken"))
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(SEND_BUFFER_BYTES as usize)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // The caller reports errors of its connection.
            _ = connection => {}
            () = unread.notified() => self.state().unread_cuts += 1,
        }
    }

    /// Makes the upstream cut off responses that are not read for this time.
    pub fn cut_off_unread_after(&self, unread_timeout: Duration) {
        self.state().unread_timeout = Some(unread_timeout);
    }

    /// Returns the number of responses that were cut off as they were not read.
    pub fn unread_cuts(&self) -> usize {
        self.state().unread_cuts
    }

    /// Resets all connections of a host, also new ones. A daemon is cut off from all upstreams if each of
    /// them does so.
    pub fn cut_off(&self, host: IpAddr) {
        self.set_link_fault(host, LinkFault::Reset);
    }

    /// Accepts the connections of a host, but neither reads nor writes data on them, also on open ones.
    pub fn silence(&self, host: IpAddr) {
        self.set_link_fault(host, LinkFault::Silent);
    }

    /// Serves the connections of a host again.
    pub fn reconnect(&self, host: IpAddr) {
        self.link_faults.send_modify(|faults| {
            faults.remove(&host);
        });
    }

    fn set_link_fault(&self, host: IpAddr, fault: LinkFault) {
        self.link_faults.send_modify(|faults| {
            faults.insert(host, fault);
        });
    }

    /// Makes each run whose prompt has a segment crash the upstream, which then restarts.
    pub fn crash_on(&self, segment: &str) {
        self.state().crashing_segment = Some(segment.into());
    }

    /// Returns the times of the crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    /// Returns the number of restarts.
    pub fn restarts(&self) -> u64 {
        self.state().restarts
    }

    /// Crashes the upstream, unless it has already crashed since `restarts`.
    async fn crash(self, restarts: u64) {
        tokio::time::sleep(CRASH_DELAY).await;
        {
            let mut state = self.state();
            if state.is_down || state.restarts != restarts {
                return;
            }
            state.is_down = true;
            state.crashes.push(Instant::now());
        }
        self.crashed.notify_one();
    }

    /// Sets how the upstream responds to requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Sets how the upstream marks the end of its streams.
    pub fn set_framing(&self, framing: Framing) {
        self.state().framing = framing;
    }

    /// Sets the number of requests that the upstream runs at a time; its row tells it from the next
    /// incarnation on.
    pub fn set_slots(&self, slots: usize) {
        self.state().slots = Some(slots);
    }

    /// Sets the time that the upstream takes for a plain request while it is brittle.
    pub fn set_brittle_run_time(&self, run_time: Duration) {
        self.state().brittle_run_time = Some(run_time);
    }

    /// Restarts the upstream as another incarnation that serves requests.
    pub fn restart(&self) {
        let mut state = self.state();
        state.behaviour = Behaviour::Serve;
        state.restarts += 1;
    }

    /// Returns the executed requests.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the times at which requests arrived, also those that were refused.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state().arrivals.clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the upstream's row in the table.
    pub fn row(&self, service: &str, version: &str) -> serde_json::Value {
        self.row_at(self.address, service, version)
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the upstream's row in the table, with another address at which gateways reach it.
    pub fn row_at(&self, address: SocketAddr, service: &str, version: &str) -> serde_json::Value {
        let state = self.state();
        serde_json::json!({
            "service": service, "address": address, "zone": "a", "version": version,
            "slots": state.slots.unwrap_or(DEFAULT_SLOTS), "state": "ready", "cold_remaining_ms": 0,
            "born": state.restarts + 1,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: Request<Incoming>, unread: Arc<Notify>) -> Option<Response<Body>> {
        let (parts, body) = req.into_parts();
        let id = header_text(&parts.headers, "request-id");
        if header_text(&parts.headers, "expect-instance") != self.id {
            return Some(full_response(StatusCode::MISDIRECTED_REQUEST, &id, None));
        }
        let behaviour = self.record_arrival();
        if let Some(response) = refusal(behaviour, &id) {
            return Some(response);
        }
        if let Behaviour::Brittle(max_refusals) = behaviour
            && self.refuses_for_want_of_room(max_refusals)
        {
            let mut response = refusal(Behaviour::Refuse, &id)?;
            name_brittle(&mut response, max_refusals);
            return Some(response);
        }
        let slot = match behaviour {
            Behaviour::Queue(length) => {
                let priority = header_text(&parts.headers, "request-priority");
                let slot = self.wait_in_queue(priority.parse().unwrap_or(0), length);
                let Some(slot) = slot.await else {
                    return refusal(Behaviour::Refuse, &id);
                };
                Some(slot)
            }
            _ => None,
        };
        let body = body.collect().await.ok()?.to_bytes();
        let headers = parts.headers.clone();
        {
            let mut state = self.state();
            let restarts = state.restarts;
            state.runs.push(Run {
                id: id.clone(),
                headers,
                body,
                executed_at: Instant::now(),
                announced_leaving: behaviour == Behaviour::Leave,
                named_limit: match behaviour {
                    Behaviour::Limit(limit) => Some(limit),
                    _ => None,
                },
                restarts,
            });
        }
        let _in_flight = slot.unwrap_or_else(|| InFlightGuard::begin(&self.in_flight));
        match behaviour {
            Behaviour::Break => return None,
            Behaviour::Fail => {
                return Some(full_response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    &id,
                    Some("s"),
                ));
            }
            Behaviour::FailWith(error) => return Some(error.response(&id)),
            Behaviour::Foreign => return Some(full_response(StatusCode::OK, "another", Some("s"))),
            Behaviour::Unsigned => return Some(full_response(StatusCode::OK, &id, None)),
            Behaviour::Hang => std::future::pending::<()>().await,
            Behaviour::SilentFor(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Behaviour::Brittle(_) => {
                let run_time = self.state().brittle_run_time.unwrap_or(BRITTLE_RUN_TIME);
                tokio::time::sleep(run_time).await;
            }
            Behaviour::Serve
            | Behaviour::BreakAfter(_)
            | Behaviour::EndAfter(_)
            | Behaviour::EndEmpty
            | Behaviour::Refuse
            | Behaviour::Queue(_)
            | Behaviour::RefuseWithPause(_)
            | Behaviour::Leave
            | Behaviour::Limit(_) => {}
        }
        let mut response = self.successful_response(&parts, &id, behaviour, unread);
        if behaviour == Behaviour::Leave {
            let value = "1".parse().expect("valid header value");
            response.headers_mut().insert("server-leaving", value);
        }
        if let Behaviour::Limit(per_kilosecond) = behaviour {
            let per_second = f64::from(per_kilosecond) / 1e3;
            let value = per_second.to_string().parse().expect("valid header value");
            response.headers_mut().insert("server-limit", value);
        }
        if let Behaviour::Brittle(max_refusals) = behaviour {
            name_brittle(&mut response, max_refusals);
        }
        Some(response)
    }

    /// Waits in a queue of at most `length` requests for a slot; `None` if the queue is full.
    async fn wait_in_queue(&self, priority: u64, length: usize) -> Option<InFlightGuard> {
        let place = {
            let mut state = self.state();
            let free = self.in_flight() < state.slots.unwrap_or(DEFAULT_SLOTS);
            if state.queued.len() >= length && !free {
                return None;
            }
            state.queued_so_far += 1;
            let place = (priority, state.queued_so_far);
            state.queued.insert(place);
            QueuedRequest(self, place)
        };
        loop {
            {
                let state = self.state();
                let free = self.in_flight() < state.slots.unwrap_or(DEFAULT_SLOTS);
                if free && state.queued.first() == Some(&place.1) {
                    return Some(InFlightGuard::begin(&self.in_flight));
                }
            }
            tokio::time::sleep(QUEUE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether all slots are in use; crashes if there are too many refusals in a second.
    fn refuses_for_want_of_room(&self, max_refusals: u32) -> bool {
        let mut state = self.state();
        if self.in_flight() < state.slots.unwrap_or(DEFAULT_SLOTS) {
            return false;
        }
        let now = Instant::now();
        state.brittle_refusals.push(now);
        state
            .brittle_refusals
            .retain(|at| now - *at < REFUSAL_WINDOW);
        if state.brittle_refusals.len() > max_refusals as usize && !state.is_down {
            state.is_down = true;
            state.crashes.push(now);
            state.brittle_refusals.clear();
            self.crashed.notify_one();
        }
        true
    }

    fn crashes_on(&self, prompt: &str) -> bool {
        let state = self.state();
        let crashing = state.crashing_segment.as_deref();
        prompt
            .split(',')
            .filter_map(|segment| segment.split(':').next())
            .any(|id| Some(id) == crashing)
    }

    fn record_arrival(&self) -> Behaviour {
        let mut state = self.state();
        state.arrivals.push(Instant::now());
        state.behaviour
    }

    fn successful_response(
        &self,
        parts: &http::request::Parts,
        id: &str,
        behaviour: Behaviour,
        unread: Arc<Notify>,
    ) -> Response<Body> {
        if !parts.uri.path().starts_with("/ask/") {
            return full_response(StatusCode::OK, id, Some("s"));
        }
        if self.crashes_on(&header_text(&parts.headers, "prompt-prefix")) {
            tokio::spawn(self.clone().crash(self.restarts()));
        }
        let after = header_text(&parts.headers, "last-event-id")
            .parse()
            .unwrap_or(0);
        self.events(
            id,
            &header_text(&parts.headers, "model"),
            parts.uri.path(),
            after,
            behaviour,
            unread,
        )
    }

    fn events(
        &self,
        id: &str,
        model: &str,
        path: &str,
        after: u64,
        behaviour: Behaviour,
        unread: Arc<Notify>,
    ) -> Response<Body> {
        let hard = path.contains("hard");
        let shape = StreamShape::of(path);
        let last = match behaviour {
            Behaviour::BreakAfter(last) | Behaviour::EndAfter(last) => last,
            _ => shape.events,
        };
        let (tx, rx) = mpsc::channel(1);
        let filler = "x".repeat(shape.filler_bytes);
        let line = format!("model={model} upstream={} {filler}", self.id);
        let unread_timeout = self.state().unread_timeout.unwrap_or(Duration::MAX);
        let in_flight = InFlightGuard::begin(&self.in_flight);
        tokio::spawn(async move {
            let _in_flight = in_flight;
            if behaviour == Behaviour::EndEmpty {
                return;
            }
            for event in after + 1..=shape.events {
                if event > last {
                    let part = Frame::data(Bytes::from(format!("id: {event}\ndata: ")));
                    let _ = tx.send(Ok(part)).await;
                    if matches!(behaviour, Behaviour::BreakAfter(_)) {
                        let _ = tx.send(Err(std::io::Error::other("broken"))).await;
                    }
                    return;
                }
                let frame = Frame::data(Bytes::from(format!("id: {event}\ndata: {line}\n\n")));
                match tokio::time::timeout(unread_timeout, tx.send(Ok(frame))).await {
                    Ok(Ok(())) => tokio::time::sleep(shape.interval).await,
                    Ok(Err(_)) => return,
                    Err(_) => return unread.notify_one(),
                }
            }
        });
        let confidence = if hard && model == "small" { "10" } else { "90" };
        let mut response = Response::new(Either::Right(StreamBody::new(ReceiverStream::new(rx))));
        if self.state().framing == Framing::Close {
            // Without a length, hyper sends an HTTP/1.1 body in chunks.
            *response.version_mut() = Version::HTTP_10;
        }
        sign(&mut response, id, Some("s"));
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            "text/event-stream".parse().expect("valid header value"),
        );
        headers.insert(
            "confidence",
            confidence.parse().expect("valid header value"),
        );
        response
    }
}

/// A request in an upstream's queue, removed when dropped.
struct QueuedRequest<'a>(&'a FakeUpstream, (u64, u64));

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.0.state().queued.remove(&self.1);
    }
}

/// Counts a request as in flight until the guard is dropped.
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

/// Returns the text of a header; empty if it is missing.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns the refusal of an upstream that refuses requests, as one that did not execute the request.
fn refusal(behaviour: Behaviour, id: &str) -> Option<Response<Body>> {
    let pause = match behaviour {
        Behaviour::Refuse => None,
        Behaviour::RefuseWithPause(seconds) => Some(seconds),
        _ => return None,
    };
    let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, id, None);
    let headers = response.headers_mut();
    headers.insert("not-executed", "1".parse().expect("valid header value"));
    if let Some(seconds) = pause {
        headers.insert("retry-after", seconds.into());
    }
    Some(response)
}

/// Adds that the upstream is brittle.
fn name_brittle(response: &mut Response<Body>, max_refusals: u32) {
    let headers = response.headers_mut();
    headers.insert("server-brittle", max_refusals.into());
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
    headers.insert("request-id", id.parse().expect("valid header value"));
    if let Some(seal) = seal {
        headers.insert("response-seal", seal.parse().expect("valid header value"));
    }
}

/// Returns the number of executions by request id, summed over the upstreams.
pub fn runs_by_id(upstreams: &[&FakeUpstream]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for run in upstreams.iter().flat_map(|upstream| upstream.runs()) {
        *counts.entry(run.id).or_default() += 1;
    }
    counts
}
