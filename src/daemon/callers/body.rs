//! Reads the bodies of callers' requests within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;
use viz::Body;

use crate::{
    daemon::callers::malformed,
    protocol::problem::{Refusal, RefusalKind},
};

/// The greatest size of a completion request in bytes.
pub(super) const MAX_CHAT_BYTES: usize = 1 << 20;
/// The greatest size of a plain-service request's body in bytes.
pub(super) const MAX_SERVICE_BYTES: usize = 1 << 20;
/// How long a caller may take to send the body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read(body: Body, limit: usize) -> Result<Bytes, Refusal> {
    let collected = timeout(READ_TIMEOUT, Limited::new(body, limit).collect())
        .await
        .map_err(|_| malformed("the body did not come in time"))?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::not_run(
            RefusalKind::TooLarge,
            "parse",
            format!("the body is over {limit} bytes"),
        )),
        Err(e) => Err(malformed(format!("the body broke off: {e}"))),
    }
}
