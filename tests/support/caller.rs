//! HTTP calls to daemons, each on its own connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusyoke::protocol::problem::Problem;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform_api::engine::{COMPLETIONS_PATH, ChatChunk, ChatMessage, ChatRequest, ChatResponse};
use serde::de::DeserializeOwned;
use stand_in::{client, server::Result};

use super::objects::{CUSTOMER_KEY, RULE};

/// Data of the event that marks the end of a completed stream.
const DONE: &str = "[DONE]";

/// A request to a daemon.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

/// A fully read response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Time from sending the request to the end of the body.
    pub elapsed: Duration,
}

/// How a streamed response ended.
#[derive(Clone, Debug)]
pub enum StreamOutcome {
    /// The stream ended with its end marker.
    Completed,
    /// The stream ended with an error event.
    Problem(Box<Problem>),
    /// The daemon refused the request instead of starting a stream.
    Refused(Reply),
    /// The body ended, or the connection broke, without an end marker or an error event.
    Unterminated,
}

/// A fully read streamed response.
#[derive(Clone, Debug)]
pub struct Streamed {
    /// Chunks that carry text.
    pub chunks: Vec<ChatChunk>,
    /// How the stream ended.
    pub outcome: StreamOutcome,
    /// Longest time without data.
    pub longest_gap: Duration,
}

/// Returns a conversation that consists of one user prompt.
pub fn messages(prompt: &str) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: "user".into(),
        content: prompt.into(),
    }]
}

/// Creates a chat completion request under the rule [`RULE`].
pub fn chat(prompt: &str, stream: bool) -> Call {
    let req = ChatRequest {
        model: RULE.into(),
        messages: messages(prompt),
        stream,
        max_tokens: None,
    };
    Call::new(
        Method::POST,
        COMPLETIONS_PATH,
        serde_json::to_vec(&req).unwrap(),
    )
}

/// Creates a request to a service.
pub fn service(method: Method, service: &str, path: &str) -> Call {
    Call::new(
        method,
        &format!("/v1/services/{service}/{path}"),
        Vec::new(),
    )
}

/// Creates a request for the daemon addresses that a caller should use.
pub fn locate() -> Call {
    Call::new(Method::GET, "/v1/locate", Vec::new())
}

/// Creates a `GET` request for `path`.
pub fn get(path: &str) -> Call {
    Call::new(Method::GET, path, Vec::new())
}

impl Call {
    fn new(method: Method, path: &str, body: Vec<u8>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: vec![
                ("authorization", format!("Bearer {CUSTOMER_KEY}")),
                ("content-type", "application/json".into()),
            ],
            body: body.into(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Replaces the bearer key.
    pub fn key(mut self, key: &str) -> Self {
        self.headers.retain(|(name, _)| *name != "authorization");
        self.header("authorization", format!("Bearer {key}"))
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request and reads the whole response.
    pub async fn send(self, daemon: SocketAddr) -> Result<Reply> {
        let started = Instant::now();
        let res = self.send_request(daemon).await?;
        read_reply(res, started)
            .await
            .map_err(|e| body_error(daemon, &e))
    }

    /// Sends the request and reads the whole response as a stream.
    pub async fn stream(self, daemon: SocketAddr) -> Result<Streamed> {
        let started = Instant::now();
        let res = self.send_request(daemon).await?;
        if res.status() != StatusCode::OK {
            let reply = read_reply(res, started)
                .await
                .map_err(|e| body_error(daemon, &e))?;
            return Ok(Streamed {
                chunks: Vec::new(),
                outcome: StreamOutcome::Refused(reply),
                longest_gap: started.elapsed(),
            });
        }
        Ok(read_stream(res, started).await)
    }

    async fn send_request(self, daemon: SocketAddr) -> Result<Response<Incoming>> {
        let mut req = Request::builder().method(self.method).uri(self.path);
        for (name, value) in self.headers {
            req = req.header(name, value);
        }
        client::send(daemon, req.body(Full::new(self.body)).unwrap()).await
    }
}

impl Reply {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        let body = String::from_utf8_lossy(&self.body);
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {} {body}", self.status))
    }

    /// Returns the body as text.
    pub fn text_body(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Decodes the problem details of a refusal.
    pub fn problem(&self) -> Problem {
        self.json()
    }

    /// Returns the text of an unstreamed chat completion.
    pub fn text(&self) -> String {
        let answer: ChatResponse = self.json();
        answer.choices[0].message.content.clone()
    }
}

impl Streamed {
    /// Returns the received text.
    pub fn text(&self) -> String {
        self.chunks.iter().map(|c| c.delta.as_str()).collect()
    }
}

async fn read_reply(res: Response<Incoming>, started: Instant) -> hyper::Result<Reply> {
    let (parts, body) = res.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
        elapsed: started.elapsed(),
    })
}

async fn read_stream(res: Response<Incoming>, started: Instant) -> Streamed {
    let mut body = res.into_body();
    let mut text = String::new();
    let mut last = started;
    let mut longest_gap = Duration::ZERO;
    while let Some(Ok(frame)) = body.frame().await {
        longest_gap = longest_gap.max(last.elapsed());
        last = Instant::now();
        if let Ok(data) = frame.into_data() {
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
    }
    let mut chunks = Vec::new();
    let mut outcome = StreamOutcome::Unterminated;
    for event in text.split_terminator("\n\n") {
        match event.strip_prefix("data: ") {
            Some(DONE) => outcome = StreamOutcome::Completed,
            Some(json) => {
                let chunk: ChatChunk = serde_json::from_str(json).unwrap();
                if chunk.finish_reason.is_none() {
                    chunks.push(chunk);
                }
            }
            None => {
                let json = event.strip_prefix("event: error\ndata: ");
                let json = json.unwrap_or_else(|| panic!("unknown event: {event}"));
                outcome = StreamOutcome::Problem(Box::new(serde_json::from_str(json).unwrap()));
            }
        }
    }
    Streamed {
        chunks,
        outcome,
        longest_gap,
    }
}

fn body_error(peer: SocketAddr, e: &hyper::Error) -> stand_in::server::Error {
    stand_in::server::Error::Call {
        step: "body",
        peer,
        reason: e.to_string().into(),
    }
}
