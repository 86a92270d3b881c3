//! Queries other daemons for changes of the tables over HTTP/2.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http2 as client};
use hyper_util::rt::{TokioExecutor, TokioIo};
use platform::{RowVersion, decode::MAX_DURATION, net, transfer::read_body};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    gateway::{followed_table::FollowedTable, packing},
    protocol::codec,
    state::rows::RowChanges,
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for connecting, the query and the head of the reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long nothing of a query or reply may arrive.
pub(super) const MAX_IDLE: Duration = Duration::from_millis(600);
/// How long a peer's host may be silent before the connection is closed.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a query or reply in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A query for the changes of a table after a version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ChangesQuery {
    /// The table.
    pub(super) table: FollowedTable,
    /// The version whose changes the sender knows.
    pub(super) after: RowVersion,
}

/// A reply as it is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PackedReply {
    /// The encoded changes, compressed.
    pub(super) changes: Bytes,
    /// See [`ChangesReply::grace_remaining`].
    pub(super) grace_remaining: Option<Duration>,
}

/// A peer's reply to a changes query.
#[derive(Clone, Debug)]
pub struct ChangesReply {
    /// The changes.
    pub changes: RowChanges,
    /// Remaining grace period during which missing entries may reappear; absent if none is active.
    pub grace_remaining: Option<Duration>,
}

/// Error of a query to a peer.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The peer already serves as many peers as its link carries; another one may be asked.
    #[error("peer={0}: busy")]
    Busy(SocketAddr),
    /// The query failed.
    #[error("step={step} peer={peer}: {cause}")]
    Failed {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: SocketAddr,
        /// The cause of the failure.
        cause: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Fetches a peer's changes of a table after a version.
pub async fn fetch_changes(
    peer: SocketAddr,
    table: FollowedTable,
    after: RowVersion,
) -> Result<ChangesReply, FetchError> {
    let query = ChangesQuery { table, after };
    let response = tokio::time::timeout(CALL_TIMEOUT, exchange(peer, query))
        .await
        .unwrap_or_else(|e| Err(fetch_error("call", peer, e)))?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Err(FetchError::Busy(peer));
    }
    let body = read_body(response.into_body(), MAX_MESSAGE_BYTES, MAX_IDLE)
        .await
        .map_err(|e| fetch_error("answer", peer, e))?;
    let reply = codec::decode_within::<PackedReply, MAX_MESSAGE_BYTES>(&body)
        .map_err(|e| fetch_error("decode", peer, e))?;
    Ok(ChangesReply {
        changes: packing::unpack(&reply.changes).map_err(|e| fetch_error("unpack", peer, e))?,
        grace_remaining: reply.grace_remaining.map(|left| left.min(MAX_DURATION)),
    })
}

/// Sends a query and waits for the head of the reply.
async fn exchange(peer: SocketAddr, query: ChangesQuery) -> Result<Response<Incoming>, FetchError> {
    let stream = net::connect(peer, CONNECT_TIMEOUT, SILENCE_TIMEOUT)
        .await
        .map_err(|e| fetch_error("connect", peer, e))?;
    let (mut sender, connection) = client::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .map_err(|e| fetch_error("connect", peer, e))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("event=peer_connection_ended peer={peer} error=\"{e}\"");
        }
    });
    let body = codec::encode(&query).map_err(|e| fetch_error("encode", peer, e))?;
    let request = Request::post(format!("http://{peer}/changes"))
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| fetch_error("encode", peer, e))?;
    sender
        .send_request(request)
        .await
        .map_err(|e| fetch_error("call", peer, e))
}

fn fetch_error<E>(step: &'static str, peer: SocketAddr, cause: E) -> FetchError
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    FetchError::Failed {
        step,
        peer,
        cause: cause.into(),
    }
}
