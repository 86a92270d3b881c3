//! A persistent connection to an engine that polls its load and detects restarts.
//!
//! An engine that restarts closes its connections, so the end of this one is the first sign of a
//! restart.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use platform_api::engine::{INCARNATION_HEADER, LOAD_PATH, Load};
use tokio::{net::TcpStream, sync::watch, time::timeout};

/// Timeout for connecting and for each exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum length of a load report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// A persistent connection to an engine.
#[derive(Debug)]
pub struct EngineLink {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    ended: watch::Receiver<bool>,
}

impl EngineLink {
    /// Opens a connection to the engine at `addr`.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(EXCHANGE_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let (end_sender, ended) = watch::channel(false);
        tokio::spawn(async move {
            let _ = connection.await;
            end_sender.send_replace(true);
        });
        Ok(Self {
            addr,
            sender,
            ended,
        })
    }

    /// Requests the engine's load over this connection.
    pub async fn load(&mut self) -> io::Result<Load> {
        timeout(EXCHANGE_TIMEOUT, self.request_load()).await?
    }

    /// Returns a receiver whose value becomes true when the connection ends.
    pub fn ended(&self) -> watch::Receiver<bool> {
        self.ended.clone()
    }

    async fn request_load(&mut self) -> io::Result<Load> {
        let req = Request::get(LOAD_PATH)
            .header(HOST, self.addr.to_string())
            .body(Full::default())
            .map_err(io::Error::other)?;
        self.sender.ready().await.map_err(io::Error::other)?;
        let res = self.sender.send_request(req).await;
        let res = res.map_err(io::Error::other)?;
        if res.status() != StatusCode::OK {
            return Err(io::Error::other(format!("status {}", res.status())));
        }
        let header = res.headers().get(INCARNATION_HEADER);
        let header_incarnation = header.and_then(|v| v.to_str().ok()?.parse().ok());
        let body = Limited::new(res.into_body(), MAX_REPORT_BYTES);
        let body = body.collect().await.map_err(io::Error::other)?;
        let load = serde_json::from_slice(&body.to_bytes()).map_err(io::Error::other)?;
        Ok(with_current_incarnation(load, header_incarnation))
    }
}

/// Marks a lagging report of an earlier incarnation as cold, since it does not describe the current
/// one.
fn with_current_incarnation(mut load: Load, header_incarnation: Option<u64>) -> Load {
    if let Some(incarnation) = header_incarnation
        && incarnation != load.incarnation
    {
        load.incarnation = incarnation;
        load.cold = true;
    }
    load
}
