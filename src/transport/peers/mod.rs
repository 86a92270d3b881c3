//! Calls to peers over `h2` streams with `bincode` bodies.

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

/// The target of every call; the connection itself says which peer is meant.
const CALL_URI: &str = "http://peer/call";

/// The number of links above which the closed ones are forgotten.
const LINK_PRUNE_THRESHOLD: usize = 1_024;

/// The number of connections that one call may try.
const MAX_ATTEMPTS: usize = 2;

/// Why a call to a peer failed; whether the peer acted on it is unknown unless said.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The call was not sent, so the peer did not act.
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

impl PeerError {
    /// Whether the peer certainly did not act.
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

/// The one connection to a peer, if it is open; the lock is held while it is being opened.
type Link = Arc<AsyncMutex<Option<Connection>>>;

/// The links to all peers; connections are made on demand and replaced when they go silent.
#[derive(Debug)]
pub struct PeerClient {
    name: CompactString,
    key: FleetKey,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl PeerClient {
    /// The links of the daemon `name`, none of them open yet.
    pub fn new(name: CompactString, fleet_key: &str) -> Self {
        Self {
            name,
            key: FleetKey::new(fleet_key),
            links: Mutex::default(),
        }
    }

    /// Calls one peer and waits at most `timeout` for the answer.
    ///
    /// The call moves to a fresh connection by itself only while it has certainly not been acted on.
    pub async fn call(
        &self,
        to: &Member,
        req: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let body = codec::encode(&req).map_err(|e| PeerError::connect(to, e))?;
        let body = Bytes::from(body);
        let mut reason = "closed before the call".to_owned();
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

    /// A connection that was heard from just now, opened if there is none.
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
            .map_err(|_| PeerError::connect(to, "no connection in time"))?
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
