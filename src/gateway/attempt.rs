//! One attempt of a request on an upstream, on a connection of its own.
//!
//! A connection serves one request only, so that late, crossed or extra answers on it cannot reach
//! another request, and a request is never sent on a connection that the upstream just closed.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use platform::net;
use thiserror::Error;
use tokio::task::JoinHandle;

/// Time for a connection to an upstream to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence of an upstream's host after which a connection is given up.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why an attempt brought no answer.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// Nothing of the request was sent.
    #[error("step=connect error=\"{0}\"")]
    Unreachable(io::Error),
    /// The request may have run.
    #[error("step=exchange error=\"{0}\"")]
    Broken(hyper::Error),
    /// The request may have run; no answer came in time.
    #[error("step=exchange error=\"no answer within {0:?}\"")]
    TimedOut(Duration),
}

/// An answer whose body is still to be read; dropping it stops the upstream's work.
#[derive(Debug, Display)]
#[display("{}", response.status())]
pub struct UpstreamResponse {
    /// The head, and the body to be read.
    pub response: Response<Incoming>,
    _connection: Connection,
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request and waits up to `patience` for the head of its answer.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    response_timeout: Duration,
) -> Result<UpstreamResponse, AttemptError> {
    let connect_timeout = CONNECT_TIMEOUT.min(response_timeout);
    let stream = net::connect(address, connect_timeout, SILENCE_TIMEOUT)
        .await
        .map_err(AttemptError::Unreachable)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(AttemptError::Broken)?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("event=connection_ended peer={address} error=\"{e}\"");
        }
    }));
    let response = tokio::time::timeout(response_timeout, sender.send_request(request))
        .await
        .map_err(|_| AttemptError::TimedOut(response_timeout))?
        .map_err(AttemptError::Broken)?;
    Ok(UpstreamResponse {
        response,
        _connection: connection,
    })
}
