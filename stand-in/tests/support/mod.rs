//! Callers and helpers of the tests.
#![allow(
    clippy::unwrap_used,
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some helpers, and a failed call fails the test"
)]

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform_api::engine::{
    ATTEMPT_HEADER, COMPLETIONS_PATH, ChatChunk, ChatMessage, ChatRequest, PRIORITY_HEADER,
    RESUME_HEADER,
};
use serde::{Serialize, de::DeserializeOwned};
use stand_in::{
    client,
    engine::{EngineConfig, VersionConfig},
    server::{Result, RoleHandle},
    stats::{EngineStats, RoleStats, ServiceStats},
};

pub const VERSION: &str = "small-1";
pub const SKILL: f64 = 0.5;

/// Maximum time until an awaited condition becomes true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns the settings of a warm and fast engine with one version.
pub fn warm_config() -> EngineConfig {
    EngineConfig {
        first_token: Duration::from_millis(2),
        token: Duration::from_millis(1),
        ..EngineConfig::warm([VersionConfig::new(VERSION, SKILL)])
    }
}

pub fn messages(prompt: &str) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: "user".into(),
        content: prompt.into(),
    }]
}

/// A completion request.
#[derive(Clone)]
pub struct CompletionRequest {
    attempt: String,
    chat: ChatRequest,
    resume_from: Option<u32>,
    priority: u32,
}

pub fn completion(attempt: &str, prompt: &str) -> CompletionRequest {
    CompletionRequest {
        attempt: attempt.into(),
        chat: ChatRequest {
            model: VERSION.into(),
            messages: messages(prompt),
            stream: false,
            max_tokens: None,
        },
        resume_from: None,
        priority: 0,
    }
}

impl CompletionRequest {
    pub fn stream(mut self) -> Self {
        self.chat.stream = true;
        self
    }

    pub fn resume_from(mut self, offset: u32) -> Self {
        self.resume_from = Some(offset);
        self
    }

    pub fn priority(mut self, priority: u32) -> Self {
        self.priority = priority;
        self
    }

    pub fn send(self, peer: SocketAddr) -> BoxFuture<'static, Result<Response<Incoming>>> {
        let body = serde_json::to_vec(&self.chat).unwrap();
        let mut req = Request::post(COMPLETIONS_PATH)
            .header(ATTEMPT_HEADER, self.attempt)
            .header(PRIORITY_HEADER, self.priority);
        if let Some(offset) = self.resume_from {
            req = req.header(RESUME_HEADER, offset);
        }
        let req = req.body(Full::new(Bytes::from(body))).unwrap();
        Box::pin(client::send(peer, req))
    }
}

/// The received part of a streamed answer.
#[derive(Debug, Default)]
pub struct Streamed {
    pub chunks: Vec<ChatChunk>,
    pub done: bool,
    pub cut: bool,
}

pub async fn read_events(res: Response<Incoming>) -> Streamed {
    let mut body = res.into_body();
    let mut text = String::new();
    let mut streamed = Streamed::default();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.push_str(std::str::from_utf8(&frame.into_data().unwrap()).unwrap()),
            Err(_) => streamed.cut = true,
        }
    }
    for event in text.split_terminator("\n\n") {
        match event.strip_prefix("data: ").unwrap() {
            "[DONE]" => streamed.done = true,
            json => streamed.chunks.push(serde_json::from_str(json).unwrap()),
        }
    }
    streamed
}

pub fn concat_text(streamed: &Streamed) -> String {
    streamed.chunks.iter().map(|c| c.delta.as_str()).collect()
}

pub async fn post(
    peer: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Incoming>> {
    client::call(peer, Method::POST, path, body).await
}

pub async fn post_json<A: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    value: &impl Serialize,
) -> A {
    let res = post(peer, path, serde_json::to_vec(value).unwrap())
        .await
        .unwrap();
    let body = client::read_body(peer, res).await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

pub fn engine_stats(running: &RoleHandle) -> EngineStats {
    match running.stats().role {
        RoleStats::Engine(stats) => stats,
        other => panic!("not an engine: {other:?}"),
    }
}

pub fn service_stats(running: &RoleHandle) -> ServiceStats {
    match running.stats().role {
        RoleStats::Service(stats) => stats,
        other => panic!("not a service: {other:?}"),
    }
}

pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met in {CONDITION_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
