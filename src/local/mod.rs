//! A small fleet on loopback, with stand-ins for platform and upstreams, all in one process.

pub mod caller;
pub mod fleet;
pub mod platform;
pub mod upstreams;

/// Why a local fleet could not be started or used.
#[derive(Debug, thiserror::Error)]
pub enum LocalError {
    /// A stand-in did not start.
    #[error("cannot start stand-in: {0}")]
    StandIn(#[from] stand_in::server::Error),
    /// A daemon did not start.
    #[error("cannot start daemon: {0}")]
    Daemon(#[from] crate::daemon::StartError),
    /// An I/O operation failed, such as binding a loopback port.
    #[error("bind loopback: {0}")]
    Address(#[from] std::io::Error),
    /// A call failed.
    #[error("call: {0}")]
    Call(#[from] crate::transport::http_client::HttpError),
    /// A condition was not met before the timeout.
    #[error("timed out waiting for {0}")]
    Timeout(String),
    /// A request is invalid, or a response is invalid or unexpected.
    #[error("response: {0}")]
    Response(String),
}
