//! Client of one model engine: complete and streamed responses, attempt states and load reports.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use platform_api::engine::{
    ATTEMPT_HEADER, ATTEMPTS_PATH, AttemptState, COMPLETIONS_PATH, ChatRequest, ChatResponse,
    INCARNATION_HEADER, LOAD_PATH, Load, NOT_RUN_HEADER, PRIORITY_HEADER, RESUME_HEADER,
};
use serde::de::DeserializeOwned;

use crate::transport::{
    engine::{
        error::EngineError,
        stall_monitor::{StallMonitor, with_monitor},
        stream::TokenStream,
    },
    http_client::{Exchange, HttpClient, HttpError, Reuse, Step, Timeouts},
};

pub mod error;
mod stall_monitor;
pub mod stream;

/// Maximum length of a complete response in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Timeout for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of each step of a load report or attempt state query.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Identifies one attempt to run a request on an engine; the engine echoes it in every response.
pub type AttemptId = CompactString;

/// Number that changes with every start of an engine.
pub type EngineIncarnation = u64;

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// The chat request, with the version's name as its model.
    pub req: ChatRequest,
    /// Priority; larger values are served first.
    pub priority: u8,
    /// Number of tokens that the caller already has when a stream resumes.
    pub resume_from: u32,
    /// Maximum time until the end of the response.
    pub limit: Duration,
}

/// A complete response and the incarnation of the engine that sent it.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The response.
    pub response: ChatResponse,
    /// Incarnation of the engine, if reported.
    pub incarnation: Option<EngineIncarnation>,
}

/// Returns whether a request may be sent now.
pub type SendCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Client of an engine; clones share connections.
#[derive(Clone)]
pub struct EngineClient {
    http: HttpClient,
    send_check: Option<SendCheck>,
}

impl fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EngineClient").field(&self.peer()).finish()
    }
}

impl EngineClient {
    /// Creates a client of the engine at `address`; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
            send_check: None,
        }
    }

    /// Returns a client that shares connections and calls `send_check` just before it sends a
    /// request.
    #[must_use]
    pub fn with_send_check(&self, send_check: SendCheck) -> Self {
        Self {
            http: self.http.clone(),
            send_check: Some(send_check),
        }
    }

    /// Runs a request and returns the complete response.
    pub async fn complete(
        &self,
        request: &EngineRequest,
        reuse: Reuse,
    ) -> Result<Completion, EngineError> {
        let monitor = StallMonitor::new(self.clone(), request.attempt.clone(), 0);
        with_monitor(monitor, self.exchange_completion(request, reuse)).await
    }

    /// Starts a streamed response; returns once the engine has accepted the request.
    pub async fn stream(
        &self,
        request: &EngineRequest,
        reuse: Reuse,
    ) -> Result<TokenStream, EngineError> {
        let monitor = StallMonitor::new(self.clone(), request.attempt.clone(), request.resume_from);
        let exchange = with_monitor(monitor, self.start_exchange(request, reuse)).await?;
        Ok(TokenStream::new(self.clone(), exchange, request))
    }

    /// Requests the engine's load report over a new connection.
    pub async fn load(&self) -> Result<Load, EngineError> {
        self.get(LOAD_PATH).await
    }

    /// Requests the state of an attempt over a new connection.
    pub async fn attempt(&self, attempt: &str) -> Result<AttemptState, EngineError> {
        self.get(&format!("{ATTEMPTS_PATH}{attempt}")).await
    }

    /// Returns the engine's address.
    pub fn peer(&self) -> SocketAddr {
        self.http.peer()
    }

    /// Closes idle connections, which may have gone silent.
    pub fn drop_idle(&self) {
        self.http.drop_idle();
    }

    async fn exchange_completion(
        &self,
        request: &EngineRequest,
        reuse: Reuse,
    ) -> Result<Completion, EngineError> {
        let mut exchange = self.start_exchange(request, reuse).await?;
        let incarnation = incarnation(&exchange);
        let body = exchange.bytes(MAX_RESPONSE_BYTES).await?;
        let response: ChatResponse = self.parse(&body)?;
        if response.id != request.attempt || response.model != request.req.model {
            return Err(EngineError::WrongAttempt { peer: self.peer() });
        }
        Ok(Completion {
            response,
            incarnation,
        })
    }

    async fn start_exchange(
        &self,
        request: &EngineRequest,
        reuse: Reuse,
    ) -> Result<Exchange, EngineError> {
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            head: request.limit,
            chunk: request.limit,
        };
        let req = self.http_request(request)?;
        let may_send = || self.send_check.as_ref().is_none_or(|may| may());
        let exchange = self.http.send_if(req, reuse, timeouts, &may_send).await?;
        let echoed = exchange.header(ATTEMPT_HEADER);
        let may_be_late = echoed.is_none() && exchange.is_reused();
        if may_be_late || echoed.is_some_and(|id| id != request.attempt) {
            return Err(EngineError::WrongAttempt { peer: self.peer() });
        }
        if exchange.status() != StatusCode::OK {
            return Err(self.refused(&exchange));
        }
        Ok(exchange)
    }

    fn http_request(&self, request: &EngineRequest) -> Result<Request<Full<Bytes>>, EngineError> {
        let body = serde_json::to_vec(&request.req).map_err(|e| self.malformed(&e))?;
        Request::post(COMPLETIONS_PATH)
            .header(CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, request.attempt.as_str())
            .header(PRIORITY_HEADER, u16::from(request.priority))
            .header(RESUME_HEADER, request.resume_from)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| self.malformed(&e))
    }

    async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, EngineError> {
        let timeouts = Timeouts {
            connect: PROBE_TIMEOUT,
            head: PROBE_TIMEOUT,
            chunk: PROBE_TIMEOUT,
        };
        let req = Request::get(path)
            .body(Full::default())
            .map_err(|e| self.malformed(&e))?;
        let mut exchange = self.http.send(req, Reuse::Fresh, timeouts).await?;
        if exchange.status() != StatusCode::OK {
            return Err(self.refused(&exchange));
        }
        let body = exchange.bytes(MAX_RESPONSE_BYTES).await?;
        self.parse(&body)
    }

    fn parse<A: DeserializeOwned>(&self, body: &[u8]) -> Result<A, EngineError> {
        serde_json::from_slice(body).map_err(|e| self.malformed(&e))
    }

    fn refused(&self, exchange: &Exchange) -> EngineError {
        EngineError::Refused {
            peer: self.peer(),
            status: exchange.status(),
            not_run: exchange.header(NOT_RUN_HEADER) == Some("true"),
        }
    }

    fn malformed(&self, reason: &dyn ToString) -> EngineError {
        EngineError::Malformed {
            peer: self.peer(),
            reason: reason.to_string(),
        }
    }
}

/// Returns the engine's incarnation, if the response contains it.
fn incarnation(exchange: &Exchange) -> Option<EngineIncarnation> {
    exchange.header(INCARNATION_HEADER)?.parse().ok()
}

impl From<HttpError> for EngineError {
    fn from(e: HttpError) -> Self {
        if e.step == Step::Body && !e.timed_out {
            return Self::Truncated { peer: e.peer };
        }
        Self::Http(e)
    }
}
