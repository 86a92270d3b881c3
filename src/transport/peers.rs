//! Calls to peers over `h2` streams with `bincode` bodies.

use std::time::Duration;

use crate::{
    coordination::membership::{DaemonName, Member},
    protocol::peer::{PeerRequest, PeerResponse},
};

/// Why a call to a peer failed; whether the peer acted on it is unknown unless said.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection could be made, so the peer did not act.
    #[error("connect to peer {peer}: {reason}")]
    Connect {
        /// The peer.
        peer: DaemonName,
        /// What went wrong.
        reason: String,
    },
    /// The call was sent and its answer did not come or could not be read.
    #[error("call to peer {peer}: {reason}")]
    Call {
        /// The peer.
        peer: DaemonName,
        /// What went wrong.
        reason: String,
    },
}

/// The links to all peers; connections are made on demand and replaced when they go silent.
#[derive(Debug, Default)]
pub struct Peers {}

impl Peers {
    /// Calls one peer and waits at most `timeout` for the answer.
    pub async fn call(
        &self,
        to: &Member,
        _req: PeerRequest,
        _timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        Err(PeerError::Connect {
            peer: to.name.clone(),
            reason: "no link".into(),
        })
    }
}
