//! Reads request bodies.

use std::time::Duration;

use bytes::Bytes;
use viz::Body;

use crate::{
    daemon::callers::malformed,
    protocol::problem::{Refusal, RefusalKind},
    transport::http_body::{self, BodyError},
};

/// Maximum size of a completion request body.
pub(super) const MAX_CHAT_BYTES: usize = 1 << 20;
/// Maximum size of a plain-service request body.
pub(super) const MAX_SERVICE_BYTES: usize = 1 << 20;
/// Timeout for receiving the body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete body of at most `limit` bytes.
pub(super) async fn read(body: Body, limit: usize) -> Result<Bytes, Refusal> {
    let result = http_body::read(body, limit, READ_TIMEOUT).await;
    result.map_err(|e| match e {
        BodyError::TooLarge { .. } => {
            Refusal::not_run(RefusalKind::TooLarge, "parse", e.to_string())
        }
        BodyError::TimedOut | BodyError::ReadFailed(_) => malformed(e.to_string()),
    })
}
