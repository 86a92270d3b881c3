//! The model engines' interface: OpenAI-shaped completions, load reports, attempts and orders.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path of completions, sent with `POST`.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of [`Load`], read with `GET`.
pub const LOAD_PATH: &str = "/load";
/// Path prefix of [`AttemptState`], followed by the attempt id and read with `GET`.
pub const ATTEMPTS_PATH: &str = "/attempts/";
/// Path of [`Order`], sent with `POST`.
pub const ORDERS_PATH: &str = "/orders";

/// Request header with the id of the attempt; the engine and plain services echo it in the response.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Request header with the token offset at which a stream resumes.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Response header with the engine's incarnation, a decimal number that changes with every start.
pub const INCARNATION_HEADER: &str = "x-engine-incarnation";
/// Request header with the priority, a decimal number; larger goes first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Response header of a refusal: `true` when the upstream did nothing with the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: CompactString,
    /// The text.
    pub content: String,
}

/// A completion request, as callers send it to the daemon and the daemon to the engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// A rule's name from a caller, a version's name to an engine.
    pub model: CompactString,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is sent as server-sent events, a token at a time.
    #[serde(default)]
    pub stream: bool,
    /// The greatest number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One choice of an answer; there is exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The assistant's message.
    pub message: ChatMessage,
    /// Why generation ended: `stop` or `length`.
    pub finish_reason: CompactString,
}

/// Tokens counted for the bill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatResponse {
    /// The attempt's id, echoed.
    pub id: CompactString,
    /// The version that answered.
    pub model: CompactString,
    /// The answer.
    pub choices: Vec<Choice>,
    /// Tokens used.
    pub usage: Usage,
}

/// One event of a streamed answer; the last has `finish_reason` and `usage`, then `[DONE]` follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The attempt's id, echoed.
    pub id: CompactString,
    /// The version that answers.
    pub model: CompactString,
    /// The number of tokens before this one.
    pub offset: u32,
    /// The token's text; empty in the last event.
    pub delta: String,
    /// Why generation ended, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<CompactString>,
    /// Tokens used, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// What the engine knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AttemptState {
    /// The engine has never seen it, or has forgotten it.
    Unknown,
    /// It waits or runs, and this many tokens have been generated.
    Running {
        /// Tokens generated so far.
        offset: u32,
    },
    /// It has ended.
    Ended,
}

/// The engine's own report of its load; it lags.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Changes with every start.
    pub incarnation: u64,
    /// Whether caches and weights are still cold.
    pub cold: bool,
    /// Whether the instance has been told to leave.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Versions loaded.
    pub versions: Vec<CompactString>,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number; an engine that checks it refuses a smaller one than it has seen.
    pub fence: u64,
    /// What to do.
    pub command: Command,
}

/// What an order tells the engine to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Load a version's weights.
    Load {
        /// The version.
        version: CompactString,
    },
    /// Unload a version's weights.
    Unload {
        /// The version.
        version: CompactString,
    },
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order was carried out.
    Done,
    /// The fencing number was smaller than one already seen.
    Fenced,
}
