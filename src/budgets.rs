//! How the memory and the descriptors of an instance are shared out.
//!
//! Memory: a fifth each for the bodies of requests and for connections, an eighth each for the bodies of
//! responses and for streams that callers read slowly, and a tenth for what connections have sent that are not
//! accepted yet. The rest is for the process itself.
//! Descriptors: of those that are not kept for files, five sixteenths for callers and one for other daemons,
//! as many for the upstreams that serve these requests, and at most an eighth each for the directory and the
//! metrics, and for peers that ask for changes.

use derive_more::Display;

/// The smallest number of descriptors with which a gateway runs.
pub const MIN_OPEN_FILES: u32 = 256;

/// Memory in MB if the instance's is not known.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Descriptors if their number is not known.
const DEFAULT_OPEN_FILES: u32 = 4_096;
/// Descriptors kept for files.
const FILES: u32 = 200;
/// Minimum memory in bytes for the bodies of requests, so that one of the largest size always finds room.
const MIN_REQUEST_BYTES: usize = 8 << 20;
/// What a connection has received at most that is not read, in bytes.
const UNREAD_BYTES: usize = 12 << 10;
/// What a connection holds at most, in bytes: what is not read, the buffer of a request head, and its state.
const CONNECTION_BYTES: usize = UNREAD_BYTES + (20 << 10);
/// Maximum number of connections waiting to be accepted.
const MAX_BACKLOG: usize = 1_024;

/// The parts of an instance's memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(
    "request_bytes={request_bytes} response_bytes={response_bytes} send_buffer_bytes={send_buffer_bytes} \
     backlog={backlog} callers={callers} delegators={delegators} control={control} peers={peers}"
)]
pub struct Budgets {
    /// Bytes for the bodies of requests.
    pub request_bytes: usize,
    /// Bytes for the bodies of responses that are read as a whole.
    pub response_bytes: usize,
    /// Bytes for streams that callers have not accepted yet.
    pub send_buffer_bytes: usize,
    /// Connections of callers that wait to be accepted.
    pub backlog: u32,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other daemons that delegate requests.
    pub delegators: usize,
    /// Connections to the directory, the readiness check and the metrics.
    pub control: usize,
    /// Connections of peers that ask for changes.
    pub peers: usize,
}

impl Budgets {
    /// Shares out memory in MB and descriptors; absent if they are not known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the setting is checked"
    )]
    pub fn new(memory_mb: Option<f64>, max_open_files: Option<u32>) -> Self {
        let memory = (memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6) as usize;
        let open_files = max_open_files.unwrap_or(DEFAULT_OPEN_FILES);
        let sockets = open_files.saturating_sub(FILES).max(16) as usize;
        let connections = memory / 5 / CONNECTION_BYTES;
        let backlog = memory / 10 / UNREAD_BYTES;
        let delegators = connections / 5;
        Self {
            request_bytes: (memory / 5).max(MIN_REQUEST_BYTES),
            response_bytes: memory / 8,
            send_buffer_bytes: memory / 8,
            backlog: backlog.min(MAX_BACKLOG) as u32,
            callers: (connections - delegators).min(sockets * 5 / 16),
            delegators: delegators.min(sockets / 16),
            control: (connections / 4).min(sockets / 8),
            peers: (connections / 4).min(sockets / 8),
        }
    }
}
