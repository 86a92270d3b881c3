//! Callers of the daemons, each call on a connection of its own.

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

/// The data of the event that ends a whole stream.
const DONE: &str = "[DONE]";

/// One request to a daemon.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

/// A response read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// From sending to the end of the body.
    pub elapsed: Duration,
}

/// How a streamed answer ended.
#[derive(Clone, Debug)]
pub enum End {
    /// With its explicit end.
    Whole,
    /// With an explicit error.
    Problem(Box<Problem>),
    /// The response was no stream.
    Refused(Reply),
    /// The body ended or broke off without an explicit end.
    Silent,
}

/// A streamed answer read to its end.
#[derive(Clone, Debug)]
pub struct Streamed {
    /// The chunks with text.
    pub chunks: Vec<ChatChunk>,
    /// How it ended.
    pub end: End,
    /// The longest time in which nothing came.
    pub longest_gap: Duration,
}

/// The messages of a conversation with one prompt.
pub fn messages(prompt: &str) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: "user".into(),
        content: prompt.into(),
    }]
}

/// A completion of the tests' rule.
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

/// A call of a plain service.
pub fn service(method: Method, service: &str, path: &str) -> Call {
    Call::new(
        method,
        &format!("/v1/services/{service}/{path}"),
        Vec::new(),
    )
}

/// Asks which addresses to use.
pub fn locate() -> Call {
    Call::new(Method::GET, "/v1/locate", Vec::new())
}

/// Reads any path.
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

    /// Sends another bearer key.
    pub fn key(mut self, key: &str) -> Self {
        self.headers.retain(|(name, _)| *name != "authorization");
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Replaces the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request and reads the whole response.
    pub async fn send(self, daemon: SocketAddr) -> Result<Reply> {
        let begun = Instant::now();
        let res = self.begin(daemon).await?;
        read(res, begun).await.map_err(|e| broken(daemon, &e))
    }

    /// Sends the request and reads the response as a stream.
    pub async fn stream(self, daemon: SocketAddr) -> Result<Streamed> {
        let begun = Instant::now();
        let res = self.begin(daemon).await?;
        if res.status() != StatusCode::OK {
            let reply = read(res, begun).await.map_err(|e| broken(daemon, &e))?;
            return Ok(Streamed {
                chunks: Vec::new(),
                end: End::Refused(reply),
                longest_gap: begun.elapsed(),
            });
        }
        Ok(read_stream(res, begun).await)
    }

    async fn begin(self, daemon: SocketAddr) -> Result<Response<Incoming>> {
        let mut req = Request::builder().method(self.method).uri(self.path);
        for (name, value) in self.headers {
            req = req.header(name, value);
        }
        client::send(daemon, req.body(Full::new(self.body)).unwrap()).await
    }
}

impl Reply {
    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        let body = String::from_utf8_lossy(&self.body);
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {} {body}", self.status))
    }

    /// The body as text.
    pub fn text_body(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The refusal.
    pub fn problem(&self) -> Problem {
        self.json()
    }

    /// The text of a whole answer.
    pub fn text(&self) -> String {
        let answer: ChatResponse = self.json();
        answer.choices[0].message.content.clone()
    }
}

impl Streamed {
    /// The text that came.
    pub fn text(&self) -> String {
        self.chunks.iter().map(|c| c.delta.as_str()).collect()
    }
}

async fn read(res: Response<Incoming>, begun: Instant) -> hyper::Result<Reply> {
    let (parts, body) = res.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
        elapsed: begun.elapsed(),
    })
}

async fn read_stream(res: Response<Incoming>, begun: Instant) -> Streamed {
    let mut body = res.into_body();
    let mut text = String::new();
    let mut last = begun;
    let mut longest_gap = Duration::ZERO;
    while let Some(Ok(frame)) = body.frame().await {
        longest_gap = longest_gap.max(last.elapsed());
        last = Instant::now();
        if let Ok(data) = frame.into_data() {
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
    }
    let mut chunks = Vec::new();
    let mut end = End::Silent;
    for event in text.split_terminator("\n\n") {
        match event.strip_prefix("data: ") {
            Some(DONE) => end = End::Whole,
            Some(json) => {
                let chunk: ChatChunk = serde_json::from_str(json).unwrap();
                if chunk.finish_reason.is_none() {
                    chunks.push(chunk);
                }
            }
            None => {
                let json = event.strip_prefix("event: error\ndata: ");
                let json = json.unwrap_or_else(|| panic!("no known event: {event}"));
                end = End::Problem(Box::new(serde_json::from_str(json).unwrap()));
            }
        }
    }
    Streamed {
        chunks,
        end,
        longest_gap,
    }
}

fn broken(peer: SocketAddr, e: &hyper::Error) -> stand_in::server::Error {
    stand_in::server::Error::Call {
        step: "body",
        peer,
        reason: e.to_string().into(),
    }
}
