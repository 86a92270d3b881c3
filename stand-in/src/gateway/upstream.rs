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
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
};

pub use super::behaviour::{Behaviour, ErrorAnswer, Framing};
use super::{
    event_stream::EventStream,
    responses::{
        Body, announce, error_response, full_response, header_text, name_brittle, refusal,
    },
};

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

/// A request that reached an upstream, also one that it refused.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// When the upstream had read the head of the request.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    framing: Framing,
    runs: Vec<Run>,
    /// The requests that arrived, also those that were refused.
    arrivals: Vec<Arrival>,
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
        self.state()
            .arrivals
            .iter()
            .map(|arrival| arrival.at)
            .collect()
    }

    /// Returns the requests that arrived, also those that were refused.
    pub fn arrived(&self) -> Vec<Arrival> {
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
        let behaviour = self.record_arrival(&id);
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
        self.record_run(&id, &parts.headers, body, behaviour);
        let _in_flight = slot.unwrap_or_else(|| InFlightGuard::begin(&self.in_flight));
        match behaviour {
            Behaviour::Break => return None,
            Behaviour::Fail => {
                let error = ErrorAnswer::signed(StatusCode::INTERNAL_SERVER_ERROR);
                return Some(error_response(error, &id));
            }
            Behaviour::FailWith(error) => return Some(error_response(error, &id)),
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
            | Behaviour::PauseAfter(..)
            | Behaviour::EndEmpty
            | Behaviour::Refuse
            | Behaviour::Queue(_)
            | Behaviour::RefuseWithPause(_)
            | Behaviour::Leave
            | Behaviour::Limit(_) => {}
        }
        let mut response = self.successful_response(&parts, &id, behaviour, unread);
        announce(behaviour, &mut response);
        Some(response)
    }

    fn record_run(&self, id: &str, headers: &HeaderMap, body: Bytes, behaviour: Behaviour) {
        let mut state = self.state();
        let restarts = state.restarts;
        state.runs.push(Run {
            id: id.into(),
            headers: headers.clone(),
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

    fn record_arrival(&self, id: &str) -> Behaviour {
        let mut state = self.state();
        state.arrivals.push(Arrival {
            id: id.into(),
            at: Instant::now(),
        });
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
        let crashes = self.crashes_on(&header_text(&parts.headers, "prompt-prefix"));
        if crashes {
            tokio::spawn(self.clone().crash(self.restarts()));
        }
        let state = self.state();
        let stream = EventStream {
            upstream: self.id.clone(),
            model: header_text(&parts.headers, "model"),
            path: parts.uri.path().into(),
            after: header_text(&parts.headers, "last-event-id")
                .parse()
                .unwrap_or(0),
            behaviour,
            framing: state.framing,
            unread_timeout: state.unread_timeout.unwrap_or(Duration::MAX),
            crashes,
        };
        drop(state);
        stream.respond(id, InFlightGuard::begin(&self.in_flight), unread)
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
pub(super) struct InFlightGuard(Arc<AtomicUsize>);

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

/// Returns the number of executions by request id, summed over the upstreams.
pub fn runs_by_id(upstreams: &[&FakeUpstream]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for run in upstreams.iter().flat_map(|upstream| upstream.runs()) {
        *counts.entry(run.id).or_default() += 1;
    }
    counts
}
