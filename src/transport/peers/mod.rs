//! Calls between daemons over `h2` streams with `bincode` bodies.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use tokio::{
    sync::Mutex as AsyncMutex,
    time::{Instant, timeout_at},
};

use crate::{
    coordination::membership::{DaemonName, Member},
    protocol::{
        codec,
        fleet_key::FleetKey,
        peer::{PeerRequest, PeerResponse},
    },
    transport::peers::connection::{CallFailure, Connection},
};

mod auth;
mod connection;
pub mod server;

pub use server::{Handler, PeerServer};

/// URI of every call; the connection identifies the peer.
const CALL_URI: &str = "http://peer/call";

/// Number of links at which closed ones are removed.
const LINK_PRUNE_THRESHOLD: usize = 1_024;

/// Maximum number of connections that one call tries.
const MAX_ATTEMPTS: usize = 2;

/// An error of a call to a peer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The call was not sent, so it was not executed.
    #[error("connect to peer {peer}: {reason}")]
    Connect {
        /// Name of the peer.
        peer: DaemonName,
        /// Description of the error.
        reason: String,
    },
    /// The call was sent and may have been executed, but no valid response was received.
    #[error("call to peer {peer}: {reason}")]
    Call {
        /// Name of the peer.
        peer: DaemonName,
        /// Description of the error.
        reason: String,
    },
}

impl PeerError {
    /// Returns whether the call was definitely not executed.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }

    fn connect(peer: &Member, reason: impl ToString) -> Self {
        Self::Connect {
            peer: peer.name.clone(),
            reason: reason.to_string(),
        }
    }

    fn call(peer: &Member, reason: impl ToString) -> Self {
        Self::Call {
            peer: peer.name.clone(),
            reason: reason.to_string(),
        }
    }
}

/// The single connection to a peer, if open; the lock is held while it is being opened.
type Link = Arc<AsyncMutex<Option<Connection>>>;

/// Client for calls to all peers; opens connections on demand and replaces those that go silent.
#[derive(Debug)]
pub struct PeerClient {
    name: CompactString,
    key: FleetKey,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl PeerClient {
    /// Creates a client for the daemon `name` without open connections.
    pub fn new(name: CompactString, fleet_key: &str) -> Self {
        Self {
            name,
            key: FleetKey::new(fleet_key),
            links: Mutex::default(),
        }
    }

    /// Calls one peer and waits at most `timeout` for the response.
    ///
    /// Retries on a new connection only if the call was definitely not executed.
    pub async fn call(
        &self,
        to: &Member,
        req: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let body = codec::encode(&req).map_err(|e| PeerError::connect(to, e))?;
        let body = Bytes::from(body);
        let mut reason = "connection closed before the call was sent".to_owned();
        for _ in 0..MAX_ATTEMPTS {
            let connection = self.connection(to, deadline).await?;
            match connection.call(body.clone(), deadline).await {
                Ok(bytes) => return codec::decode(&bytes).map_err(|e| PeerError::call(to, e)),
                Err(CallFailure::NotSent(e)) => reason = e,
                Err(CallFailure::MayHaveRun(e)) => return Err(PeerError::call(to, e)),
            }
        }
        Err(PeerError::connect(to, reason))
    }

    /// Returns the live connection to a peer, opening one if necessary.
    async fn connection(&self, to: &Member, deadline: Instant) -> Result<Connection, PeerError> {
        let link = self.link(to.peers);
        let open = async {
            let mut open = link.lock().await;
            if let Some(connection) = open.as_ref()
                && connection.is_live().await
            {
                return Ok(connection.clone());
            }
            *open = None;
            let connection = Connection::open(to.peers, &self.key).await?;
            log::debug!("peer={} of={} connection=opened", to.name, self.name);
            Ok(open.insert(connection).clone())
        };
        timeout_at(deadline, open)
            .await
            .map_err(|_| PeerError::connect(to, "timed out waiting for a connection"))?
            .map_err(|e: std::io::Error| PeerError::connect(to, e))
    }

    fn link(&self, addr: SocketAddr) -> Link {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.len() >= LINK_PRUNE_THRESHOLD {
            links.retain(|_, link| is_in_use(link));
        }
        links.entry(addr).or_default().clone()
    }
}

fn is_in_use(link: &Link) -> bool {
    link.try_lock()
        .map_or(true, |c| c.as_ref().is_some_and(|c| !c.is_closed()))
}
