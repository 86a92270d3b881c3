//! A caller that sends requests to a daemon of a local fleet.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use eventsource_stream::Eventsource;
use futures::{StreamExt, stream};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use platform_api::engine::{ChatChunk, ChatMessage, ChatRequest};

use crate::{
    local::LocalError,
    transport::{
        engine::stream::DONE,
        http_client::{Exchange, HttpClient, Reuse, Timeouts},
    },
};

/// Maximum length of a response body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout of each step of a request; longer than the deadlines that callers send.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller with its key and a client for its daemon.
#[derive(Clone, Debug)]
pub struct LocalCaller {
    http: HttpClient,
    key: CompactString,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A streamed response, read until it ended.
#[derive(Clone, Debug, Default)]
pub struct StreamedResponse {
    /// The response's headers.
    pub headers: HeaderMap,
    /// The text of all tokens.
    pub text: String,
    /// The number of tokens.
    pub tokens: u32,
    /// Whether the stream ended with the end marker.
    pub complete: bool,
    /// The error event that ended the stream, or the body of an error response.
    pub error: Option<String>,
    /// Time from sending the request to the first token.
    pub first_token: Duration,
}

impl LocalCaller {
    /// Creates a caller for the daemon with the given callers' address.
    pub fn new(daemon: SocketAddr, key: &str) -> Self {
        Self {
            http: HttpClient::new(daemon),
            key: key.into(),
        }
    }

    /// Requests the addresses of the daemons to use.
    pub async fn locate(&self) -> Result<Response, LocalError> {
        self.call(Method::GET, "/v1/locate", &HeaderMap::new(), Bytes::new())
            .await
    }

    /// Sends an unstreamed completion request.
    pub async fn chat(
        &self,
        rule: &str,
        prompt: &str,
        headers: &HeaderMap,
    ) -> Result<Response, LocalError> {
        let body = chat_body(rule, prompt, false);
        self.call(Method::POST, "/v1/chat/completions", headers, body)
            .await
    }

    /// Sends a streamed completion request and reads the stream until it ends.
    pub async fn stream(
        &self,
        rule: &str,
        prompt: &str,
        headers: &HeaderMap,
    ) -> Result<StreamedResponse, LocalError> {
        let started_at = std::time::Instant::now();
        let body = chat_body(rule, prompt, true);
        let exchange = self
            .send(Method::POST, "/v1/chat/completions", headers, body)
            .await?;
        if exchange.status() != StatusCode::OK {
            let response = read(exchange).await?;
            return Ok(StreamedResponse {
                error: Some(String::from_utf8_lossy(&response.body).into_owned()),
                headers: response.headers,
                ..StreamedResponse::default()
            });
        }
        let mut streamed = StreamedResponse {
            headers: exchange.head.headers.clone(),
            ..StreamedResponse::default()
        };
        let body_chunks = stream::unfold(exchange, |mut exchange| async move {
            let body_chunk = exchange.chunk().await.transpose()?;
            Some((body_chunk, exchange))
        });
        let mut events = Box::pin(body_chunks.eventsource());
        while let Some(event) = events.next().await {
            let Ok(event) = event else { break };
            if event.event == "error" {
                streamed.error = Some(event.data);
                break;
            }
            if event.data == DONE {
                streamed.complete = true;
                break;
            }
            let chunk: ChatChunk = serde_json::from_str(&event.data)
                .map_err(|e| LocalError::Response(e.to_string()))?;
            if chunk.finish_reason.is_none() {
                if streamed.tokens == 0 {
                    streamed.first_token = started_at.elapsed();
                }
                streamed.tokens += 1;
                streamed.text.push_str(&chunk.delta);
            }
        }
        Ok(streamed)
    }

    /// Sends a request to a plain service.
    pub async fn service(
        &self,
        method: Method,
        service: &str,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response, LocalError> {
        let path = format!("/v1/services/{service}/{path}");
        self.call(method, &path, headers, body).await
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response, LocalError> {
        read(self.send(method, path, headers, body).await?).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Exchange, LocalError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(body))
            .map_err(|e| LocalError::Response(e.to_string()))?;
        for (name, value) in headers {
            req.headers_mut().insert(name, value.clone());
        }
        let timeouts = Timeouts {
            connect: STEP_TIMEOUT,
            head: STEP_TIMEOUT,
            chunk: STEP_TIMEOUT,
        };
        Ok(self.http.send(req, Reuse::Idle, timeouts).await?)
    }
}

async fn read(mut exchange: Exchange) -> Result<Response, LocalError> {
    let body = exchange.bytes(MAX_BODY_BYTES).await?;
    Ok(Response {
        status: exchange.head.status,
        headers: exchange.head.headers,
        body,
    })
}

fn chat_body(rule: &str, prompt: &str, stream: bool) -> Bytes {
    let req = ChatRequest {
        model: rule.into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: prompt.into(),
        }],
        stream,
        max_tokens: None,
    };
    serde_json::to_vec(&req).unwrap_or_default().into()
}
