//! A streamed response: tokens in order, each exactly once, up to an explicit end.

use std::{pin::Pin, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::{Stream, StreamExt, stream};
use platform_api::engine::{ChatChunk, Usage};
use tokio::time::Instant;

use crate::transport::{
    engine::{
        AttemptId, EngineClient, EngineIncarnation, EngineRequest,
        error::EngineError,
        incarnation,
        stall_monitor::{StallMonitor, with_monitor},
    },
    http_client::{Exchange, HttpError},
};

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Maximum size of a line in bytes; one without end would use up the memory.
const MAX_LINE_BYTES: usize = 256 << 10;

type EventStream = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<HttpError>>> + Send>>;

/// An item of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// One token.
    Token {
        /// Number of tokens before this one.
        offset: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of the stream.
    End {
        /// Reason why generation ended.
        finish_reason: CompactString,
        /// Tokens used by the entire response.
        usage: Usage,
    },
}

/// The streamed response of one attempt.
pub struct TokenStream {
    engine: EngineClient,
    attempt: AttemptId,
    version: CompactString,
    incarnation: Option<EngineIncarnation>,
    events: EventStream,
    next_offset: u32,
    deadline: Instant,
}

impl TokenStream {
    /// Reads the body of `exchange` as events.
    pub(super) fn new(engine: EngineClient, exchange: Exchange, request: &EngineRequest) -> Self {
        let limit = request.limit;
        Self {
            engine,
            attempt: request.attempt.clone(),
            version: request.req.model.clone(),
            incarnation: incarnation(&exchange),
            events: Box::pin(body_stream(exchange, limit).eventsource()),
            next_offset: request.resume_from,
            deadline: Instant::now() + limit,
        }
    }

    /// Returns the engine's incarnation, if reported.
    pub fn incarnation(&self) -> Option<EngineIncarnation> {
        self.incarnation
    }

    /// Returns the number of tokens received, including those before a resume.
    pub fn offset(&self) -> u32 {
        self.next_offset
    }

    /// Returns the next token or the end; skips repeated tokens and reports a gap as an error.
    pub async fn next(&mut self) -> Result<StreamItem, EngineError> {
        loop {
            let chunk = self.chunk().await?;
            if chunk.id != self.attempt || chunk.model != self.version {
                return Err(EngineError::WrongAttempt {
                    peer: self.engine.peer(),
                });
            }
            if let (Some(finish_reason), Some(usage)) = (chunk.finish_reason, chunk.usage) {
                if chunk.offset != self.next_offset {
                    return Err(self.malformed("stream ended at an unexpected offset"));
                }
                self.drain().await;
                return Ok(StreamItem::End {
                    finish_reason,
                    usage,
                });
            }
            if chunk.offset < self.next_offset {
                continue;
            }
            if chunk.offset > self.next_offset {
                return Err(self.malformed("token missing from the stream"));
            }
            self.next_offset += 1;
            return Ok(StreamItem::Token {
                offset: chunk.offset,
                text: chunk.delta,
            });
        }
    }

    async fn chunk(&mut self) -> Result<ChatChunk, EngineError> {
        let peer = self.engine.peer();
        let monitor =
            StallMonitor::new(self.engine.clone(), self.attempt.clone(), self.next_offset);
        let next = async { Ok(self.events.next().await) };
        let event = tokio::time::timeout_at(self.deadline, with_monitor(monitor, next))
            .await
            .map_err(|_| EngineError::TimedOut { peer })??;
        match event {
            None => Err(EngineError::Truncated { peer }),
            Some(Ok(event)) if event.data == DONE => Err(EngineError::Truncated { peer }),
            Some(Ok(event)) => {
                serde_json::from_str(&event.data).map_err(|e| self.malformed(&e.to_string()))
            }
            Some(Err(EventStreamError::Transport(e))) => Err(e.into()),
            Some(Err(e)) => Err(self.malformed(&e.to_string())),
        }
    }

    /// Reads the rest of the body after the end, so that the connection can be reused.
    async fn drain(&mut self) {
        /// Maximum time spent reading the rest of the body.
        const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
        let remaining = async { while let Some(Ok(_)) = self.events.next().await {} };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, remaining).await;
    }

    fn malformed(&self, reason: &str) -> EngineError {
        EngineError::Malformed {
            peer: self.engine.peer(),
            reason: reason.into(),
        }
    }
}

/// Returns the parts of a body, up to a line that is longer than [`MAX_LINE_BYTES`]; what follows is
/// missing like the end of a truncated body.
fn body_stream(
    exchange: Exchange,
    limit: Duration,
) -> impl Stream<Item = Result<Bytes, HttpError>> + Send {
    let state = (exchange, 0);
    stream::unfold(state, move |(mut exchange, line_bytes)| async move {
        let part = exchange.chunk_within(limit).await.transpose()?;
        let line_bytes = part.as_ref().map_or(0, |part| open_line(line_bytes, part));
        (line_bytes <= MAX_LINE_BYTES).then_some((part, (exchange, line_bytes)))
    })
}

/// Returns the length of the last line so far, which may have begun before a part.
fn open_line(line_bytes: usize, part: &[u8]) -> usize {
    match part.iter().rposition(|byte| *byte == b'\n') {
        Some(end) => part.len() - end - 1,
        None => line_bytes + part.len(),
    }
}
