//! A completion as it is asked for and as it is answered.

use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use platform_api::engine::{ChatRequest, ChatResponse};
use tokio::sync::mpsc;

use crate::{
    coordination::decisions::RequestId,
    protocol::session::Session,
    state::objects::{CustomerName, RuleName, VersionName},
};

/// What a caller asks about sessions.
#[derive(Clone, Debug)]
pub enum SessionAsk {
    /// Nothing.
    None,
    /// To open one.
    New,
    /// To go on with one.
    Existing(Session),
}

/// One completion asked for by a caller whose key is known.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The id under which it is billed; the caller's idempotency key if it gave one.
    pub request_id: RequestId,
    /// The id under which its decisions are logged.
    pub log_id: RequestId,
    /// Who pays.
    pub customer: CustomerName,
    /// The rule.
    pub rule: RuleName,
    /// The priority; larger goes first.
    pub priority: u8,
    /// What is asked.
    pub req: ChatRequest,
    /// What is asked about sessions.
    pub session: SessionAsk,
    /// When the head of the request was read.
    pub received: Instant,
    /// When the answer is wanted.
    pub deadline: Instant,
}

/// An answer on its way to the caller.
#[derive(Debug)]
pub struct ChatReply {
    /// The version that answers.
    pub version: VersionName,
    /// The session token, if the request belongs to a session.
    pub session: Option<CompactString>,
    /// The answer.
    pub body: ReplyBody,
}

/// A whole or a streamed answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// All at once.
    Whole(Box<ChatResponse>),
    /// Server-sent events; the channel is closed after the last.
    Stream(mpsc::Receiver<Bytes>),
}
