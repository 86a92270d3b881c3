//! Interface of the model engines: OpenAI-like completions, load reports, attempts and orders.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path that accepts completion requests with `POST`.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path that returns [`Load`] for `GET`.
pub const LOAD_PATH: &str = "/load";
/// Path prefix, followed by an attempt id, that returns [`AttemptState`] for `GET`.
pub const ATTEMPTS_PATH: &str = "/attempts/";
/// Path that accepts [`Order`] with `POST`.
pub const ORDERS_PATH: &str = "/orders";

/// Request header with the attempt id; engines and plain services echo it in the response.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Request header with the token offset at which a stream resumes.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Response header with the engine's incarnation, a decimal number that changes with every start.
pub const INCARNATION_HEADER: &str = "x-engine-incarnation";
/// Request header with the priority, a decimal number; larger values are served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Response header of a refusal: `true` if the upstream did not execute the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: CompactString,
    /// Text of the message.
    pub content: String,
}

/// A completion request, as callers send it to the daemon and the daemon to the engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of a rule in callers' requests, of a version in requests to engines.
    pub model: CompactString,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the response as server-sent events, one token per event.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// The only choice of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The assistant's message.
    pub message: ChatMessage,
    /// Reason why generation ended: `stop` or `length`.
    pub finish_reason: CompactString,
}

/// Token counts used for billing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatResponse {
    /// Echoed attempt id.
    pub id: CompactString,
    /// Version that generated the response.
    pub model: CompactString,
    /// Generated choices; always exactly one.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// One event of a streamed response; the last one has `finish_reason` and `usage` and precedes
/// `[DONE]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Echoed attempt id.
    pub id: CompactString,
    /// Version that generates the response.
    pub model: CompactString,
    /// Number of tokens before this one.
    pub offset: u32,
    /// Text of the token; empty in the last event.
    pub delta: String,
    /// Reason why generation ended, only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<CompactString>,
    /// Token counts, only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// State of an attempt as known to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AttemptState {
    /// The engine has no record of the attempt.
    Unknown,
    /// The attempt is queued or running.
    Running {
        /// Number of tokens generated so far.
        offset: u32,
    },
    /// The attempt has ended.
    Ended,
}

/// Load report of an engine; it lags behind the current state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number that changes with every start of the engine.
    pub incarnation: u64,
    /// Whether the caches and weights are still cold.
    pub cold: bool,
    /// Whether the instance has been ordered to shut down.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Loaded versions.
    pub versions: Vec<CompactString>,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token; an engine that checks it refuses tokens smaller than the largest it has seen.
    pub fence: u64,
    /// Command to execute.
    pub command: Command,
}

/// Command of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Load a version's weights.
    Load {
        /// Name of the version.
        version: CompactString,
    },
    /// Unload a version's weights.
    Unload {
        /// Name of the version.
        version: CompactString,
    },
}

/// The response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order was executed.
    Done,
    /// The fencing token was smaller than one already seen.
    Fenced,
}
