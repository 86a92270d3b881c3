//! Request and reply types of a completion.

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

/// Session requested by a caller.
#[derive(Clone, Debug)]
pub enum SessionRequest {
    /// No session.
    None,
    /// Open a new session.
    New,
    /// Continue an existing session.
    Existing(Session),
}

/// A completion request of an authenticated caller.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Id used for billing: the caller's idempotency key if there is one.
    pub request_id: RequestId,
    /// Id used in the decision log.
    pub log_id: RequestId,
    /// Customer to bill.
    pub customer: CustomerName,
    /// Rule named in the request.
    pub rule: RuleName,
    /// Priority. Requests with larger values go first.
    pub priority: u8,
    /// Request body.
    pub req: ChatRequest,
    /// Requested session.
    pub session: SessionRequest,
    /// When the request head was read.
    pub received: Instant,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Reply to a completion request.
#[derive(Debug)]
pub struct ChatReply {
    /// Version that produced the answer.
    pub version: VersionName,
    /// Session token, if the request belongs to a session.
    pub session: Option<CompactString>,
    /// Answer body.
    pub body: ReplyBody,
}

/// Body of an unstreamed or a streamed answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete answer in one response.
    Unstreamed(Box<ChatResponse>),
    /// Server-sent events. The channel is closed after the last event.
    Stream(mpsc::Receiver<Bytes>),
}
