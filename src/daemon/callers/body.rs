//! Reads request bodies.

use std::time::Duration;

use viz::Body;

use crate::{
    coordination::body_budget::STALL_TIME,
    daemon::{callers::malformed, core::Core},
    protocol::problem::{Refusal, RefusalKind},
    transport::{
        body_memory::{BodyError, HeldBody},
        caller_stream::RequestBody,
        http_body::{self, ReadError},
    },
};

/// Maximum size of a completion request body.
pub(super) const MAX_CHAT_BYTES: usize = 1 << 20;
/// Maximum size of a plain-service request body.
pub(super) const MAX_SERVICE_BYTES: usize = 1 << 20;
/// Timeout for receiving the body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete body of at most `limit` bytes.
pub(super) async fn read(
    core: &Core,
    body: RequestBody<Body>,
    limit: usize,
) -> Result<HeldBody, Refusal> {
    let result = http_body::read(&core.request_bodies, body, limit, READ_TIMEOUT).await;
    result.map_err(|e| match e {
        ReadError::Body(BodyError::TooLarge { .. }) => {
            Refusal::not_run(RefusalKind::TooLarge, "parse", e.to_string())
        }
        ReadError::Body(BodyError::NoMemory) => {
            Refusal::not_run(RefusalKind::NotReady, "parse", e.to_string()).retry_after(STALL_TIME)
        }
        ReadError::Body(BodyError::Broken(_)) | ReadError::TimedOut => malformed(e.to_string()),
    })
}
