//! HTTP/1.1 client for one address, with its own connection pool and a timeout for each step.
//!
//! A timeout indicates that a pooled connection has gone silent. All idle connections to the
//! address are then closed, so that the next call opens a new one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response, StatusCode, header::HOST, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Maximum number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The step of an exchange in which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Checking whether the request may still be sent.
    Permission,
    /// Sending the request and waiting for the response's head.
    Head,
    /// Reading the response's body.
    Body,
}

/// Whether any byte of the request may have reached the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Sent {
    /// No byte was sent.
    No,
    /// Some bytes may have reached the peer.
    Maybe,
}

/// An error of an HTTP exchange.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} {peer}: {reason}")]
pub struct HttpError {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether the peer may have received any of the request.
    pub sent: Sent,
    /// Whether the step timed out, as on a silent connection.
    pub timed_out: bool,
    /// Description of the error.
    pub reason: String,
}

/// Timeout of each step.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Opening the connection.
    pub connect: Duration,
    /// From sending the request to receiving the response head.
    pub head: Duration,
    /// Between two chunks of the body.
    pub chunk: Duration,
}

/// The connection to use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection if available.
    Idle,
    /// A new connection, since an idle one may have gone silent.
    Fresh,
}

/// Returns whether a request may be sent now.
pub type MaySend<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// Client of one address; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    peer: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
}

/// A response whose head has been received.
#[derive(Debug)]
pub struct Exchange {
    /// Head of the response.
    pub head: Parts,
    body: Incoming,
    sender: Option<SendRequest<Full<Bytes>>>,
    client: HttpClient,
    chunk: Duration,
    is_reused: bool,
}

/// A new connection that has not been used yet.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    client: HttpClient,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            idle: Arc::default(),
        }
    }

    /// Returns the peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Closes all idle connections.
    pub fn drop_idle(&self) {
        self.lock().clear();
    }

    /// Sends a request and waits for the response head.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        timeouts: Timeouts,
    ) -> Result<Exchange, HttpError> {
        self.send_if(req, reuse, timeouts, &|| true).await
    }

    /// Like [`Self::send`], but calls `may_send` after the connection is open and before the
    /// request is sent.
    pub async fn send_if(
        &self,
        mut req: Request<Full<Bytes>>,
        reuse: Reuse,
        timeouts: Timeouts,
        may_send: MaySend<'_>,
    ) -> Result<Exchange, HttpError> {
        self.set_host(&mut req);
        if reuse == Reuse::Idle {
            while let Some(mut sender) = self.take_idle() {
                self.ensure_may_send(may_send)?;
                match self.exchange(&mut sender, req, timeouts.head).await {
                    Ok(res) => return Ok(self.new_exchange(res, sender, timeouts.chunk, true)),
                    Err(Failure::Unsent(returned)) => req = *returned,
                    Err(Failure::Final(e)) => return Err(e),
                }
            }
        }
        let mut sender = self.connect(timeouts.connect).await?;
        self.ensure_may_send(may_send)?;
        match self.exchange(&mut sender, req, timeouts.head).await {
            Ok(res) => Ok(self.new_exchange(res, sender, timeouts.chunk, false)),
            Err(Failure::Unsent(_)) => Err(self.error(
                Step::Head,
                Sent::No,
                false,
                "connection closed before the request was sent",
            )),
            Err(Failure::Final(e)) => Err(e),
        }
    }

    /// Opens a new connection for one request, so that the caller can run a last check before
    /// sending.
    pub async fn open(&self, limit: Duration) -> Result<Connection, HttpError> {
        let sender = self.connect(limit).await?;
        Ok(Connection {
            sender,
            client: self.clone(),
        })
    }

    async fn connect(&self, limit: Duration) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let failed = |timed_out, reason: &dyn ToString| {
            self.error(Step::Connect, Sent::No, timed_out, &reason.to_string())
        };
        let stream = timeout(limit, TcpStream::connect(self.peer))
            .await
            .map_err(|e| failed(true, &e))?
            .map_err(|e| failed(false, &e))?;
        stream.set_nodelay(true).map_err(|e| failed(false, &e))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(false, &e))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        match timeout(limit, sender.try_send_request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(mut e)) => {
                if let Some(req) = e.take_message() {
                    return Err(Failure::Unsent(Box::new(req)));
                }
                let reason = e.error().to_string();
                Err(self
                    .error(Step::Head, Sent::Maybe, false, &reason)
                    .into_failure())
            }
            Err(_) => {
                self.drop_idle();
                Err(self
                    .error(
                        Step::Head,
                        Sent::Maybe,
                        true,
                        "timed out waiting for the response head",
                    )
                    .into_failure())
            }
        }
    }

    fn ensure_may_send(&self, may_send: MaySend<'_>) -> Result<(), HttpError> {
        if may_send() {
            return Ok(());
        }
        Err(self.error(
            Step::Permission,
            Sent::No,
            false,
            "sending is no longer permitted",
        ))
    }

    fn new_exchange(
        &self,
        res: Response<Incoming>,
        sender: SendRequest<Full<Bytes>>,
        chunk: Duration,
        is_reused: bool,
    ) -> Exchange {
        let (head, body) = res.into_parts();
        Exchange {
            head,
            body,
            sender: Some(sender),
            client: self.clone(),
            chunk,
            is_reused,
        }
    }

    fn set_host(&self, req: &mut Request<Full<Bytes>>) {
        if let Ok(host) = self.peer.to_string().parse() {
            req.headers_mut().insert(HOST, host);
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.lock();
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<SendRequest<Full<Bytes>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn error(&self, step: Step, sent: Sent, timed_out: bool, reason: &str) -> HttpError {
        HttpError {
            step,
            peer: self.peer,
            sent,
            timed_out,
            reason: reason.into(),
        }
    }
}

impl Connection {
    /// Sends the request and waits for the response head.
    pub async fn send(
        mut self,
        mut req: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Exchange, HttpError> {
        let client = &self.client;
        client.set_host(&mut req);
        match client.exchange(&mut self.sender, req, timeouts.head).await {
            Ok(res) => Ok(client.new_exchange(res, self.sender, timeouts.chunk, false)),
            Err(Failure::Unsent(_)) => Err(client.error(
                Step::Head,
                Sent::No,
                false,
                "connection closed before the request was sent",
            )),
            Err(Failure::Final(e)) => Err(e),
        }
    }
}

impl Exchange {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns whether the connection has carried other requests before, so that the response may be a
    /// late one of theirs.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns a header's value, if present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the next chunk of the body, or `None` at its end; waits at most for the chunk
    /// timeout.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        self.chunk_within(self.chunk).await
    }

    /// Returns the next chunk of the body, or `None` at its end; waits at most for `limit`.
    pub async fn chunk_within(&mut self, limit: Duration) -> Result<Option<Bytes>, HttpError> {
        loop {
            let Ok(frame) = timeout(limit, self.body.frame()).await else {
                self.client.drop_idle();
                return Err(self.failed(true, "timed out waiting for the response body"));
            };
            match frame {
                None => {
                    if let Some(sender) = self.sender.take() {
                        self.client.put_idle(sender);
                    }
                    return Ok(None);
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => return Err(self.failed(false, &e.to_string())),
            }
        }
    }

    /// Reads the entire body; fails if it is longer than `limit` bytes.
    pub async fn bytes(&mut self, limit: usize) -> Result<Bytes, HttpError> {
        let mut buffer = Vec::new();
        while let Some(part) = self.chunk().await? {
            if buffer.len() + part.len() > limit {
                return Err(self.failed(false, "response body exceeds the size limit"));
            }
            buffer.extend_from_slice(&part);
        }
        Ok(buffer.into())
    }

    fn failed(&self, timed_out: bool, reason: &str) -> HttpError {
        self.client
            .error(Step::Body, Sent::Maybe, timed_out, reason)
    }
}

/// A failure of an exchange on one connection.
enum Failure {
    /// The connection was already closed; contains the unsent request.
    Unsent(Box<Request<Full<Bytes>>>),
    /// Any other error.
    Final(HttpError),
}

impl HttpError {
    fn into_failure(self) -> Failure {
        Failure::Final(self)
    }
}
