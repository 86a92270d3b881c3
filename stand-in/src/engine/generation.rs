//! Generation of one answer, unstreamed or as server-sent events.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use platform_api::engine::{ChatChunk, ChatMessage, ChatResponse, Choice, Usage};

use crate::{
    control::StreamEnd,
    engine::{
        Engine, attempts::Progress, batch::Slot, text::Prompt, versions::AnswerProfile,
        volatile::AdmittedRequest,
    },
    exchange::FLUSH_DELAY,
    http::{Body, ConnectionCut},
};

/// Final event of a server-sent event stream.
const DONE: &str = "data: [DONE]\n\n";

/// Generation of one answer; dropping it cancels the answer and releases its slot.
pub(crate) struct Generation {
    pub(crate) engine: Arc<Engine>,
    pub(crate) attempt: CompactString,
    pub(crate) version: CompactString,
    pub(crate) prompt: Prompt,
    pub(crate) profile: AnswerProfile,
    /// Index of the next token.
    pub(crate) offset: u32,
    /// Number of tokens of the full answer.
    pub(crate) end: u32,
    pub(crate) finish_reason: &'static str,
    pub(crate) progress: Progress,
    pub(crate) slot: Slot,
    pub(crate) admitted: AdmittedRequest,
    /// Whether this attempt has not generated a token yet.
    pub(crate) before_first_token: bool,
}

/// Injected faults of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamFaults {
    pub(crate) truncate: Option<Truncation>,
    pub(crate) duplicate: bool,
}

/// How a truncated stream ends.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Truncation {
    pub(crate) after_tokens: u32,
    pub(crate) end: StreamEnd,
}

impl Generation {
    /// Generates the next token after its generation time has passed.
    async fn next(&mut self) -> Option<CompactString> {
        if self.offset >= self.end {
            return None;
        }
        let running = self.slot.running();
        let wait = self
            .engine
            .pace()
            .token_delay(self.before_first_token, running, self.profile);
        tokio::time::sleep(wait).await;
        self.engine.faults.wait_until_thawed().await;
        let token = self
            .prompt
            .token(&self.version, self.profile.quality, self.offset);
        self.before_first_token = false;
        self.offset += 1;
        self.progress.set(self.offset);
        self.engine.versions().count_token(&self.version);
        if self.offset == self.end {
            self.complete();
        }
        Some(token)
    }

    fn complete(&mut self) {
        self.admitted.completed = true;
        self.engine
            .versions()
            .complete(&self.version, self.profile.quality);
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt.tokens,
            completion_tokens: self.end,
        }
    }

    /// Generates the full answer.
    pub(crate) async fn run_to_end(mut self) -> ChatResponse {
        let mut content = String::new();
        while let Some(token) = self.next().await {
            content.push_str(&token);
        }
        ChatResponse {
            id: self.attempt.clone(),
            model: self.version.clone(),
            choices: vec![Choice {
                message: ChatMessage {
                    role: "assistant".into(),
                    content,
                },
                finish_reason: self.finish_reason.into(),
            }],
            usage: self.usage(),
        }
    }

    /// Returns a body that generates the answer while it is read.
    pub(crate) fn into_body(self, faults: StreamFaults) -> Body {
        let events = EventStream {
            generation: self,
            faults,
            sent: 0,
            phase: StreamPhase::Tokens,
        };
        let frames = stream::unfold(events, |mut events| async move {
            let frame = events.next().await?;
            Some((frame.map(Frame::data), events))
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

struct EventStream {
    generation: Generation,
    faults: StreamFaults,
    sent: u32,
    phase: StreamPhase,
}

enum StreamPhase {
    Tokens,
    DoneMarker,
    Ended,
}

impl EventStream {
    async fn next(&mut self) -> Option<Result<Bytes, ConnectionCut>> {
        match self.phase {
            StreamPhase::Tokens => self.next_token_event().await,
            StreamPhase::DoneMarker => {
                self.phase = StreamPhase::Ended;
                Some(Ok(DONE.into()))
            }
            StreamPhase::Ended => None,
        }
    }

    async fn next_token_event(&mut self) -> Option<Result<Bytes, ConnectionCut>> {
        if let Some(truncate) = self.faults.truncate
            && self.sent >= truncate.after_tokens
        {
            return self.truncate(truncate.end).await;
        }
        let offset = self.generation.offset;
        let Some(token) = self.generation.next().await else {
            self.phase = StreamPhase::DoneMarker;
            return Some(Ok(self.encode_event(&self.final_chunk())));
        };
        self.sent += 1;
        Some(Ok(self.encode_event(&self.chunk(offset, token.into()))))
    }

    async fn truncate(&mut self, end: StreamEnd) -> Option<Result<Bytes, ConnectionCut>> {
        self.phase = StreamPhase::Ended;
        match end {
            StreamEnd::Cut => {
                tokio::time::sleep(FLUSH_DELAY).await;
                Some(Err(ConnectionCut))
            }
            StreamEnd::Short => None,
            StreamEnd::Stall => std::future::pending().await,
        }
    }

    fn chunk(&self, offset: u32, delta: String) -> ChatChunk {
        ChatChunk {
            id: self.generation.attempt.clone(),
            model: self.generation.version.clone(),
            offset,
            delta,
            finish_reason: None,
            usage: None,
        }
    }

    fn final_chunk(&self) -> ChatChunk {
        ChatChunk {
            finish_reason: Some(self.generation.finish_reason.into()),
            usage: Some(self.generation.usage()),
            ..self.chunk(self.generation.offset, String::new())
        }
    }

    fn encode_event(&self, chunk: &ChatChunk) -> Bytes {
        let json = serde_json::to_string(chunk).unwrap_or_default();
        let event = format!("data: {json}\n\n");
        match self.faults.duplicate {
            true => event.repeat(2).into(),
            false => event.into(),
        }
    }
}
