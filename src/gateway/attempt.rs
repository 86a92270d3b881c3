//! One attempt to send a request to an upstream, on its own connection.
//!
//! Each connection carries a single request, so that a late, mixed-up or duplicate response cannot
//! reach another request, and no request is sent on a connection that the upstream has just closed.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use derive_more::Display;
use http::{
    Request, Response,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use platform::net;
use thiserror::Error;
use tokio::task::JoinHandle;

use crate::{
    gateway::read_limit::{HeadLimit, LimitedReads},
    transport::body_memory::HeldBodyStream,
};

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the upstream's host may be silent before the connection is closed; a sound one may be silent
/// for more than a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size in bytes of a response head.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of bytes before the end of a response head, interim responses included. hyper bounds the size of
/// each head, not their number.
const MAX_HEADS_BYTES: usize = 256 << 10;
/// Maximum number of bytes read at a time, and so of what is read ahead of a body. It is held beside the
/// bytes that count toward the budget for callers.
const MAX_READ_BYTES: usize = 8 << 10;

/// Why an attempt got no response.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// The connection failed before any part of the request was sent.
    #[error("step=connect error=\"{0}\"")]
    Unreachable(io::Error),
    /// The connection broke; the request may have run.
    #[error("step=exchange error=\"{0}\"")]
    Broken(hyper::Error),
    /// No response arrived in time; the request may have run.
    #[error("step=exchange error=\"no response within {0:?}\"")]
    TimedOut(Duration),
}

/// A response whose body has not been read yet; dropping it closes the connection and so cancels
/// the request at the upstream.
#[derive(Debug, Display)]
#[display("{}", response.status())]
pub struct UpstreamResponse {
    /// The response head and the unread body.
    pub response: Response<Incoming>,
    _connection: Connection,
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum BodyFraming {
    /// Its length is given in advance.
    Length,
    /// It is sent in chunks, the last one empty.
    Chunked,
    /// It ends when the upstream closes the connection.
    Close,
}

impl UpstreamResponse {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> BodyFraming {
        let headers = self.response.headers();
        if headers.contains_key(TRANSFER_ENCODING) {
            BodyFraming::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            BodyFraming::Length
        } else {
            BodyFraming::Close
        }
    }
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request from the address `local` and waits up to `response_timeout` for the response head.
pub async fn send(
    local: IpAddr,
    address: SocketAddr,
    request: Request<HeldBodyStream>,
    response_timeout: Duration,
) -> Result<UpstreamResponse, AttemptError> {
    let connect_timeout = CONNECT_TIMEOUT.min(response_timeout);
    let stream = net::connect_from(local, address, connect_timeout, SILENCE_TIMEOUT)
        .await
        .map_err(AttemptError::Unreachable)?;
    let head_limit = HeadLimit::new(MAX_HEADS_BYTES);
    let stream = LimitedReads::new(stream, MAX_READ_BYTES, head_limit.clone());
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
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
    head_limit.end();
    Ok(UpstreamResponse {
        response,
        _connection: connection,
    })
}
