//! Reads the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use viz::Body;

use crate::{
    daemon::callers::malformed,
    protocol::problem::{Refusal, RefusalKind},
    transport::http_body::{self, BodyError},
};

/// The greatest size of a completion request in bytes.
pub(super) const MAX_CHAT_BYTES: usize = 1 << 20;
/// The greatest size of a plain-service request's body in bytes.
pub(super) const MAX_SERVICE_BYTES: usize = 1 << 20;
/// How long a caller may take to send the body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read(body: Body, limit: usize) -> Result<Bytes, Refusal> {
    let read = http_body::read(body, limit, READ_TIMEOUT).await;
    read.map_err(|e| match e {
        BodyError::TooLarge { .. } => {
            Refusal::not_run(RefusalKind::TooLarge, "parse", e.to_string())
        }
        BodyError::TimedOut | BodyError::ReadFailed(_) => malformed(e.to_string()),
    })
}
