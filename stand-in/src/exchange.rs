//! HTTP exchanges under the faults of a role, and the server of the control address.

use std::{
    convert::Infallible,
    fmt::Write,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, future::BoxFuture, stream};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform_api::engine::INCARNATION_HEADER;
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    connection::{FaultyConnection, TrailingBytes},
    control::{CONTROL_PATH, Control, Down, STATS_PATH},
    fault::Faults,
    http::{ConnectionCut, HttpResponse, full, json, read_json, refusal, set_header},
    server::RoleServer,
    stats::RoleStats,
};

/// Path on the control address that returns the executions of a plain service for `GET`.
const EXECUTIONS_PATH: &str = "/executions";

/// Time for written bytes to reach the network before the connection is cut.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Handles requests of a role that serves HTTP.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, HttpResponse>;
}

/// Serves one connection of a role that serves HTTP.
pub(crate) fn serve<A: RequestHandler>(
    role: Arc<A>,
    connection: FaultyConnection,
    faults: Arc<Faults>,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let trailing_bytes = connection.trailing_bytes();
        let service = service_fn(move |req| {
            exchange(role.clone(), faults.clone(), trailing_bytes.clone(), req)
        });
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(connection), service)
            .await;
    })
}

async fn exchange<A: RequestHandler>(
    role: Arc<A>,
    faults: Arc<Faults>,
    trailing_bytes: TrailingBytes,
    req: Request<Incoming>,
) -> Result<HttpResponse, ConnectionCut> {
    faults.wait_until_thawed().await;
    let (slow, down) = {
        let persistent = faults.persistent.borrow();
        (persistent.slow, persistent.down)
    };
    if down == Some(Down::Unavailable) {
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    faults.counts.requests.fetch_add(1, Ordering::Relaxed);
    let path = req.uri().path().to_owned();
    let mut res = role.handle(req).await;
    set_header(
        &mut res,
        INCARNATION_HEADER,
        &faults.incarnation().to_string(),
    );
    faults.wait_until_thawed().await;
    if faults.take_lose(&path) {
        let _ = res.into_body().collect().await;
        return Err(ConnectionCut);
    }
    if let Some(status) = faults.take_fail(&path) {
        *res.status_mut() = status;
    }
    if let Some(by) = faults.take_delay(&path) {
        tokio::time::sleep(by).await;
    }
    res = faults.cross(&path, res).await;
    if let Some(after) = faults.take_truncate(&path) {
        return truncate(res, after).await;
    }
    if faults.take_duplicate(&path) {
        return duplicate(res, &trailing_bytes).await;
    }
    Ok(res)
}

/// Declares the full content length, sends the first bytes and cuts the connection.
async fn truncate(res: HttpResponse, after_bytes: usize) -> Result<HttpResponse, ConnectionCut> {
    let (mut parts, body) = res.into_parts();
    let whole = body.collect().await?.to_bytes();
    parts
        .headers
        .insert(header::CONTENT_LENGTH, whole.len().into());
    let first = whole.slice(..after_bytes.min(whole.len()));
    let frames = stream::iter([Ok(Frame::data(first)), Err(ConnectionCut)]);
    let frames = frames.then(|frame| async {
        if frame.is_err() {
            tokio::time::sleep(FLUSH_DELAY).await;
        }
        frame
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Ok(HttpResponse::from_parts(parts, body))
}

/// Sends the response followed by a copy of it on the same connection.
async fn duplicate(
    res: HttpResponse,
    trailing_bytes: &TrailingBytes,
) -> Result<HttpResponse, ConnectionCut> {
    let (parts, body) = res.into_parts();
    let whole = body.collect().await?.to_bytes();
    let mut head = format!("HTTP/1.1 {}\r\n", parts.status.as_u16());
    for (name, value) in &parts.headers {
        if let Ok(value) = value.to_str() {
            let _ = write!(head, "{name}: {value}\r\n");
        }
    }
    let _ = write!(head, "content-length: {}\r\n\r\n", whole.len());
    let copy = [Bytes::from(head), whole.clone()].concat();
    trailing_bytes
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .extend(copy);
    Ok(HttpResponse::from_parts(parts, full(whole)))
}

/// Serves the control address, which is not affected by faults.
pub(crate) async fn serve_control(role_server: Arc<RoleServer>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let role_server = role_server.clone();
                connections.spawn(async move {
                    let service = service_fn(move |req| handle_control(role_server.clone(), req));
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        }
    }
}

async fn handle_control(
    role_server: Arc<RoleServer>,
    req: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let path = req.uri().path();
    let res = match (req.method(), path) {
        (&Method::POST, CONTROL_PATH) => match read_json::<Control>(req).await {
            Ok(control) => match role_server.control(&control) {
                Ok(()) => json(&()),
                Err(e) => refusal(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            Err(res) => res,
        },
        (&Method::GET, STATS_PATH) => json(&role_server.stats()),
        (&Method::GET, EXECUTIONS_PATH) => match role_server.role.stats() {
            RoleStats::Service(stats) => json(&stats),
            _ => refusal(StatusCode::NOT_FOUND, "not a service"),
        },
        _ => refusal(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(res)
}
