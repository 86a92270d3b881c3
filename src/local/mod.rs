//! A small fleet with stand-ins for platform and upstreams, as tasks of one process on loopback.

pub mod caller;
pub mod fleet;
pub mod platform;
pub mod upstreams;

/// Why a local fleet could not be started or used.
#[derive(Debug, thiserror::Error)]
pub enum LocalError {
    /// A stand-in did not start.
    #[error("start stand-in: {0}")]
    StandIn(#[from] stand_in::server::Error),
    /// A daemon did not start.
    #[error("start daemon: {0}")]
    Daemon(#[from] crate::daemon::StartError),
    /// No free address could be had.
    #[error("bind loopback: {0}")]
    Address(#[from] std::io::Error),
    /// A call failed.
    #[error("call: {0}")]
    Call(#[from] crate::transport::http_client::HttpError),
    /// Something did not come about in time.
    #[error("not in time: {0}")]
    Timeout(String),
    /// An answer could not be read.
    #[error("answer: {0}")]
    Response(String),
}
