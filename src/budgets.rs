//! How the memory of an instance is shared out: a fifth for the bodies of requests, and an eighth each for the
//! bodies of responses and for streams that callers read slowly.

use derive_more::Display;

/// Memory in MB if the instance's is not known.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Minimum memory in bytes for the bodies of requests, so that one of the largest size always finds room.
const MIN_REQUEST_BYTES: usize = 8 << 20;

/// The parts of an instance's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(
    "request_bytes={request_bytes} response_bytes={response_bytes} send_buffer_bytes={send_buffer_bytes}"
)]
pub struct Budgets {
    /// Bytes for the bodies of requests.
    pub request_bytes: usize,
    /// Bytes for the bodies of responses that are read as a whole.
    pub response_bytes: usize,
    /// Bytes for streams that callers have not accepted yet.
    pub send_buffer_bytes: usize,
}

impl Budgets {
    /// Shares out memory in MB; absent if it is not known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the setting is checked"
    )]
    pub fn new(memory_mb: Option<f64>) -> Self {
        let memory = (memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6) as usize;
        Self {
            request_bytes: (memory / 5).max(MIN_REQUEST_BYTES),
            response_bytes: memory / 8,
            send_buffer_bytes: memory / 8,
        }
    }
}
