//! Listeners for callers, the directory, the readiness check and the metrics.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::{
    directory::{self, READY_PATH, RESOLVE_PATH},
    net,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::{
    coordination::dispatch::heartbeat::Readiness,
    gateway::{
        explain::{self, Ends},
        forward::{self, Origin},
        metrics,
        reply::{InfallibleResult, plain},
        send_budget::STALL_TIMEOUT,
        shared::Shared,
    },
    transport::{
        caller_connections::CallerConnection,
        caller_stream::{CallerStream, RequestBody, ResponseBody},
        stop::wait_for_stop,
    },
};

/// Bytes that the kernel receives for a connection whose process does not read; Linux doubles the number for
/// its own records. Without this limit it receives up to 6 MB for a connection that has been fast.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
/// Delay after a failed accept, such as when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a caller's host may be silent before the connection is closed. Linux counts a caller that does
/// not read as silent; one that only pauses has [`STALL_TIMEOUT`] and some time to go on.
const SILENCE_TIMEOUT: Duration = STALL_TIMEOUT.saturating_add(Duration::from_secs(2));
/// Maximum number of bytes that the kernel holds for a caller whose receive window is closed. Without this
/// limit it holds up to 4 MB for a caller that does not read.
const MAX_UNSENT_BYTES: u32 = 16 << 10;
/// Maximum size of a request head in bytes before a configuration is loaded.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Idle timeout of a connection before a configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum buffer size in bytes that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// How long callers may cache a directory response.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);

/// Listens on an address with at most `backlog` connections that wait to be accepted; `SO_REUSEADDR` allows
/// this right after a previous process used it.
pub fn bind(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size, which limits the receive window only if it is set before.
    if let Err(e) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("event=socket_options listener={address} error=\"{e}\"");
    }
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Accepts requests until `stop` is set, then completes those in flight.
pub async fn serve_requests(
    shared: Arc<Shared>,
    origin: Origin,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let _end = AcceptGuard {
        shared: shared.clone(),
        origin,
    };
    let table = shared.connections(origin).clone();
    let mut connections = JoinSet::new();
    let connection_stop = stop.clone();
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                // Without a place the connection is closed at once, so that the caller can ask another daemon.
                let Some(connection) = table.open().await else {
                    continue;
                };
                let stop = connection_stop.clone();
                let served = serve_connection(shared.clone(), origin, stream, connection, stop);
                connections.spawn(served);
            }
            Some(_) = connections.join_next() => {}
            () = wait_for_stop(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Takes the daemon out of the directory if it stops accepting callers.
struct AcceptGuard {
    shared: Arc<Shared>,
    origin: Origin,
}

impl Drop for AcceptGuard {
    fn drop(&mut self) {
        if self.origin == Origin::Caller {
            self.shared.stop_accepting();
        }
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    origin: Origin,
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    mut stop: watch::Receiver<bool>,
) {
    let options = net::set_silence_timeout(&stream, SILENCE_TIMEOUT)
        .and_then(|()| net::set_max_unsent(&stream, MAX_UNSENT_BYTES));
    if let Err(e) = options {
        log::debug!("event=socket_options error=\"{e}\"");
    }
    let limits = shared
        .dispatcher()
        .routes()
        .map(|r| r.configuration().limits.clone());
    let head_bytes = limits
        .as_ref()
        .map_or(DEFAULT_MAX_HEAD_BYTES, |l| l.head_bytes);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout);
    let stream = CallerStream::new(stream, connection.clone());
    let state = connection.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let (shared, state) = (shared.clone(), state.clone());
        async move {
            let (parts, body) = req.into_parts();
            let (body, request) = RequestBody::begin(body, state.clone());
            let req = Request::from_parts(parts, body);
            let response = forward::serve(shared, origin, req).await;
            if let Either::Right(stream) = response.body() {
                stream.set_connection(state.closer());
            }
            Ok::<_, Infallible>(response.map(|body| ResponseBody::new(body, request)))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timeout starts when the connection becomes idle.
        .header_read_timeout(idle)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    let mut closed = std::pin::pin!(connection.closed());
    let result = tokio::select! {
        result = served.as_mut() => Some(result),
        () = wait_for_stop(&mut stop) => None,
        () = closed.as_mut() => return,
    };
    let result = match result {
        Some(result) => result,
        None => {
            served.as_mut().graceful_shutdown();
            tokio::select! {
                result = served => result,
                () = closed => return,
            }
        }
    };
    if let Err(e) = result {
        log::debug!("event=caller_connection_ended origin={origin} error=\"{e}\"");
    }
}

/// Serves the directory, the readiness check and the metrics until the process exits.
pub async fn serve_control(shared: Arc<Shared>, listener: Arc<TcpListener>) {
    loop {
        let stream = accept(&listener).await;
        let Some(connection) = shared.control_connections.open().await else {
            continue;
        };
        let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
        let ends = ends.map(|(peer, local)| Ends { peer, local });
        let shared = shared.clone();
        let service = service_fn(move |req| {
            let shared = shared.clone();
            async move {
                let explains = |ends: &Ends| {
                    explain::is_answered_on(&shared, ends.local)
                        && req.uri().path() == explain::PATH
                };
                InfallibleResult::Ok(match ends.filter(explains) {
                    Some(ends) => explain::answer(&shared, ends, req).await,
                    None => handle_control(&shared, &req),
                })
            }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .max_buf_size(DEFAULT_MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                result = served => {
                    if let Err(e) = result {
                        log::debug!("event=control_connection_ended error=\"{e}\"");
                    }
                }
                () = connection.closed() => {}
            }
        });
    }
}

fn handle_control(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    const JSON: &str = "application/json";
    const TEXT: &str = "text/plain; version=0.0.4";
    match req.uri().path() {
        READY_PATH => match shared.readiness() {
            Readiness::Ready => plain(StatusCode::OK, TEXT, Bytes::new()),
            Readiness::Starting | Readiness::Leaving => {
                plain(StatusCode::SERVICE_UNAVAILABLE, TEXT, Bytes::new())
            }
        },
        RESOLVE_PATH => {
            let addresses = shared.directory();
            if addresses.is_empty() {
                return plain(StatusCode::SERVICE_UNAVAILABLE, JSON, Bytes::new());
            }
            let max_ttl = Duration::from_secs_f64(shared.settings.directory_ttl_max_s);
            let body = directory::resolve_response(&addresses, DIRECTORY_TTL.min(max_ttl));
            plain(StatusCode::OK, JSON, body)
        }
        metrics::PATH => plain(StatusCode::OK, TEXT, metrics::render(shared).into()),
        _ => plain(StatusCode::NOT_FOUND, TEXT, Bytes::new()),
    }
}

/// Accepts the next connection; retries after a delay if accepting fails.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
