//! Client for control addresses and for calls without a connection pool.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::{
    control::{CONTROL_PATH, Control, STATS_PATH},
    server::{Error, Result},
    stats::Stats,
};

/// Sends a control message to a control address.
pub async fn control(peer: SocketAddr, control: &Control) -> Result<()> {
    let body = serde_json::to_vec(control).map_err(|e| call_error("encode", peer, &e))?;
    let res = call(peer, Method::POST, CONTROL_PATH, body).await?;
    read_body(peer, res).await.map(|_| ())
}

/// Reads the statistics from a control address.
pub async fn stats(peer: SocketAddr) -> Result<Stats> {
    get_json(peer, STATS_PATH).await
}

/// Reads a JSON value.
pub async fn get_json<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<T> {
    let res = call(peer, Method::GET, path, Vec::new()).await?;
    let body = read_body(peer, res).await?;
    serde_json::from_slice(&body).map_err(|e| call_error("decode", peer, &e))
}

/// Sends one JSON request on a new connection and waits for the response headers.
pub async fn call(
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Incoming>> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .map_err(|e| call_error("encode", peer, &e))?;
    send(peer, req).await
}

/// Sends one request on a new connection and waits for the response headers.
pub async fn send(peer: SocketAddr, mut req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
    let host = peer
        .to_string()
        .parse()
        .map_err(|e| call_error("encode", peer, &e))?;
    req.headers_mut().insert(header::HOST, host);
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|e| call_error("connect", peer, &e))?;
    stream
        .set_nodelay(true)
        .map_err(|e| call_error("connect", peer, &e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| call_error("connect", peer, &e))?;
    tokio::spawn(connection);
    sender
        .send_request(req)
        .await
        .map_err(|e| call_error("send", peer, &e))
}

/// Reads the full body of a successful response; any other status is an error.
pub async fn read_body(peer: SocketAddr, res: Response<Incoming>) -> Result<Bytes> {
    let status = res.status();
    let body = res
        .into_body()
        .collect()
        .await
        .map_err(|e| call_error("body", peer, &e))?
        .to_bytes();
    if !status.is_success() {
        let reason = format!("{status}: {}", String::from_utf8_lossy(&body));
        return Err(call_error("status", peer, &reason));
    }
    Ok(body)
}

fn call_error(step: &'static str, peer: SocketAddr, reason: &dyn ToString) -> Error {
    Error::Call {
        step,
        peer,
        reason: reason.to_string().into(),
    }
}
