//! Exchanges table changes between daemons over HTTP/2.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http2 as client, server::conn::http2 as server};
use hyper_util::rt::{TokioExecutor, TokioIo};
use platform::{RowVersion, net, transfer::read_body};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpListener;

use crate::{
    gateway::{
        followed_table::FollowedTable,
        listener::accept,
        reply::{InfallibleResult, plain},
        shared::Shared,
    },
    protocol::codec,
    state::rows::RowChanges,
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for connecting, the query and the head of the reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long nothing of a query or reply may arrive.
const MAX_IDLE: Duration = Duration::from_millis(600);
/// How long a peer's host may be silent before the connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a query or reply in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A query for the changes of a table after a version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ChangesQuery {
    table: FollowedTable,
    after: RowVersion,
}

/// A peer's reply to a changes query.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesReply {
    /// The changes.
    pub changes: RowChanges,
    /// Remaining grace period during which missing entries may reappear; absent if none is active.
    pub grace_remaining: Option<Duration>,
}

/// Error of a query to a peer.
#[derive(Debug, Error)]
#[error("step={step} peer={peer}: {cause}")]
pub struct FetchError {
    step: &'static str,
    peer: SocketAddr,
    cause: Box<dyn std::error::Error + Send + Sync>,
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
    let body = read_body(response.into_body(), MAX_MESSAGE_BYTES, MAX_IDLE)
        .await
        .map_err(|e| fetch_error("answer", peer, e))?;
    codec::decode_within::<ChangesReply, MAX_MESSAGE_BYTES>(&body)
        .map_err(|e| fetch_error("decode", peer, e))
}

/// Serves the queries of peers until the process exits.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let shared = shared.clone();
        let service = hyper::service::service_fn(move |req| {
            let shared = shared.clone();
            async move { InfallibleResult::Ok(handle_query(&shared, req).await) }
        });
        tokio::spawn(async move {
            let served = server::Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = served.await {
                log::debug!("event=peer_connection_ended error=\"{e}\"");
            }
        });
    }
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

async fn handle_query(shared: &Shared, req: Request<Incoming>) -> Response<Full<Bytes>> {
    const BINARY: &str = "application/octet-stream";
    let refuse = || plain(StatusCode::BAD_REQUEST, BINARY, Bytes::new());
    let query = match read_body(req.into_body(), MAX_MESSAGE_BYTES, MAX_IDLE).await {
        Ok(body) => match codec::decode_within::<ChangesQuery, MAX_MESSAGE_BYTES>(&body) {
            Ok(query) => query,
            Err(e) => {
                log::warn!("event=question_unreadable error=\"{e}\"");
                return refuse();
            }
        },
        Err(e) => {
            log::debug!("event=question_broken error=\"{e}\"");
            return refuse();
        }
    };
    let change_reply = {
        let dispatcher = shared.dispatcher();
        ChangesReply {
            changes: query.table.cache(&dispatcher).changes_after(query.after),
            grace_remaining: dispatcher.registry.grace_left(shared.now()),
        }
    };
    match codec::encode(&change_reply) {
        Ok(body) => plain(StatusCode::OK, BINARY, body.into()),
        Err(e) => {
            log::error!("event=answer_not_encoded error=\"{e}\"");
            refuse()
        }
    }
}

fn fetch_error<E>(step: &'static str, peer: SocketAddr, cause: E) -> FetchError
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    FetchError {
        step,
        peer,
        cause: cause.into(),
    }
}
