//! The client of one model engine: whole and streamed completions, attempts and load reports.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use platform_api::engine::{
    ATTEMPT_HEADER, ATTEMPTS_PATH, AttemptState, COMPLETIONS_PATH, ChatAnswer, ChatRequest,
    INCARNATION_HEADER, LOAD_PATH, Load, NOT_RUN_HEADER, PRIORITY_HEADER, RESUME_HEADER,
};
use serde::de::DeserializeOwned;

use crate::transport::{
    engine::{
        error::EngineError,
        stream::TokenStream,
        watch::{Watch, watched},
    },
    http_client::{Exchange, HttpClient, HttpError, Reuse, Step, Timeouts},
};

pub mod error;
pub mod stream;
mod watch;

/// The greatest length of a whole answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How long opening a connection to an engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a load report or an attempt's state may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Identifies one attempt to run a request on an engine, echoed in all that comes back.
pub type AttemptId = CompactString;

/// Changes with every start of an engine.
pub type EngineIncarnation = u64;

/// What is sent to an engine.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request, its model replaced by the version's name.
    pub req: ChatRequest,
    /// The priority; larger goes first.
    pub priority: u8,
    /// The number of tokens the caller has already, when a stream resumes.
    pub resume_from: u32,
    /// The longest time to the answer's end.
    pub limit: Duration,
}

/// A whole answer and who gave it.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The answer.
    pub answer: ChatAnswer,
    /// The engine's incarnation, if it said so.
    pub incarnation: Option<EngineIncarnation>,
}

/// Tells whether a dispatch may be sent at this moment.
pub type Permission = Arc<dyn Fn() -> bool + Send + Sync>;

/// The client; clones share connections.
#[derive(Clone)]
pub struct EngineClient {
    http: HttpClient,
    permission: Option<Permission>,
}

impl fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EngineClient").field(&self.peer()).finish()
    }
}

impl EngineClient {
    /// A client of the engine at `address`; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address),
            permission: None,
        }
    }

    /// The same client, which asks `permission` just before it sends a dispatch.
    #[must_use]
    pub fn with_permission(&self, permission: Permission) -> Self {
        Self {
            http: self.http.clone(),
            permission: Some(permission),
        }
    }

    /// Runs a request and returns its whole answer.
    pub async fn complete(
        &self,
        dispatch: &Dispatch,
        reuse: Reuse,
    ) -> Result<WholeAnswer, EngineError> {
        let watch = Watch::new(self.clone(), dispatch.attempt.clone(), 0);
        watched(watch, self.exchange_whole(dispatch, reuse)).await
    }

    /// Begins a streamed answer; returns once the engine has accepted the request.
    pub async fn stream(
        &self,
        dispatch: &Dispatch,
        reuse: Reuse,
    ) -> Result<TokenStream, EngineError> {
        let watch = Watch::new(self.clone(), dispatch.attempt.clone(), dispatch.resume_from);
        let exchange = watched(watch, self.begin(dispatch, reuse)).await?;
        Ok(TokenStream::new(self.clone(), exchange, dispatch))
    }

    /// The engine's load report, over a fresh connection.
    pub async fn load(&self) -> Result<Load, EngineError> {
        self.get(LOAD_PATH).await
    }

    /// What the engine knows of an attempt, over a fresh connection.
    pub async fn attempt(&self, attempt: &str) -> Result<AttemptState, EngineError> {
        self.get(&format!("{ATTEMPTS_PATH}{attempt}")).await
    }

    /// The engine's address.
    pub fn peer(&self) -> SocketAddr {
        self.http.peer()
    }

    /// Drops idle connections, which may have gone silent.
    pub fn forget_idle(&self) {
        self.http.forget_idle();
    }

    async fn exchange_whole(
        &self,
        dispatch: &Dispatch,
        reuse: Reuse,
    ) -> Result<WholeAnswer, EngineError> {
        let mut exchange = self.begin(dispatch, reuse).await?;
        let incarnation = incarnation(&exchange);
        let body = exchange.bytes(MAX_ANSWER_BYTES).await?;
        let answer: ChatAnswer = self.parse(&body)?;
        if answer.id != dispatch.attempt || answer.model != dispatch.req.model {
            return Err(EngineError::Crossed { peer: self.peer() });
        }
        Ok(WholeAnswer {
            answer,
            incarnation,
        })
    }

    async fn begin(&self, dispatch: &Dispatch, reuse: Reuse) -> Result<Exchange, EngineError> {
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            head: dispatch.limit,
            chunk: dispatch.limit,
        };
        let req = self.request(dispatch)?;
        let may_send = || self.permission.as_ref().is_none_or(|may| may());
        let exchange = self.http.send_if(req, reuse, timeouts, &may_send).await?;
        if exchange.status() != StatusCode::OK {
            return Err(self.refused(&exchange));
        }
        let echoed = exchange.header(ATTEMPT_HEADER);
        if echoed.is_some_and(|id| id != dispatch.attempt) {
            return Err(EngineError::Crossed { peer: self.peer() });
        }
        Ok(exchange)
    }

    fn request(&self, dispatch: &Dispatch) -> Result<Request<Full<Bytes>>, EngineError> {
        let body = serde_json::to_vec(&dispatch.req).map_err(|e| self.malformed(&e))?;
        Request::post(COMPLETIONS_PATH)
            .header(CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, dispatch.attempt.as_str())
            .header(PRIORITY_HEADER, u16::from(dispatch.priority))
            .header(RESUME_HEADER, dispatch.resume_from)
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
        let body = exchange.bytes(MAX_ANSWER_BYTES).await?;
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

/// The engine's incarnation, if the response says so.
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
