//! Answers other daemons' queries for changes of the tables.
//!
//! Load pattern: all daemons learn of a change at once and ask the few that have it. If these served
//! all of them at a time, each transfer would get a small part of the link, and for long none would
//! be complete. They serve as many as the link carries well and refuse the others at once, which
//! then find more daemons that have the change.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http2 as server};
use hyper_util::rt::{TokioExecutor, TokioIo};
use platform::{RowVersion, net, transfer::read_body};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::{
    gateway::{
        followed_table::FollowedTable,
        listener::accept,
        packing,
        reply::{InfallibleResult, plain},
        shared::Shared,
        table_link::{ChangesQuery, MAX_IDLE, PackedReply, SILENCE_TIMEOUT},
    },
    protocol::codec::{self, CodecError},
};

const BINARY: &str = "application/octet-stream";
/// Size in bytes up to which a reply does not count as a transfer.
const SMALL_REPLY_BYTES: usize = 32 << 10;
/// Rate of the link in Mbit/s for each transfer that is served at a time.
const LINK_MBPS_PER_TRANSFER: f64 = 5.0;
/// Minimum number of transfers that are served at a time.
const MIN_TRANSFERS: usize = 2;
/// Maximum number of transfers that are served at a time.
const MAX_TRANSFERS: usize = 32;
/// Maximum size in bytes of a query.
const MAX_QUERY_BYTES: usize = 1 << 10;
/// Maximum number of queries at a time on a connection.
const MAX_STREAMS: u32 = 8;
/// Bytes that a connection, and each of its queries, may receive before they are read.
const QUERY_WINDOW_BYTES: u32 = 16 << 10;
/// Maximum duration of a connection from a peer.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(20);

/// Serves the queries of peers until the process exits.
pub async fn serve(shared: Arc<Shared>, listener: Arc<TcpListener>) {
    let transfers = concurrent_transfers(shared.settings.link_mbps);
    let service = Arc::new(TableService {
        shared,
        transfers: Arc::new(Semaphore::new(transfers)),
        packed: Mutex::new(None),
    });
    loop {
        let stream = accept(&listener).await;
        let Some(connection) = service.shared.peer_connections.open().await else {
            continue;
        };
        let service = service.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serve_peer(service, stream) => {}
                () = connection.closed() => {}
            }
        });
    }
}

async fn serve_peer(service: Arc<TableService>, stream: TcpStream) {
    if let Err(e) = net::set_silence_timeout(&stream, SILENCE_TIMEOUT) {
        log::debug!("event=socket_options error=\"{e}\"");
    }
    // A reply is buffered before it is sent, so a transfer lasts until the peer disconnects.
    let transfer = Arc::new(Mutex::new(None));
    let handle = hyper::service::service_fn(move |req| {
        let (service, transfer) = (service.clone(), transfer.clone());
        async move { InfallibleResult::Ok(service.handle_query(req, &transfer).await) }
    });
    let served = server::Builder::new(TokioExecutor::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(QUERY_WINDOW_BYTES)
        .initial_connection_window_size(QUERY_WINDOW_BYTES)
        .serve_connection(TokioIo::new(stream), handle);
    match tokio::time::timeout(MAX_CONNECTION_TIME, served).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::debug!("event=peer_connection_ended error=\"{e}\""),
        Err(e) => log::info!("event=peer_connection_ended error=\"{e}\""),
    }
}

/// The permit for the transfer that a connection carries, if any.
type TransferSlot = Mutex<Option<OwnedSemaphorePermit>>;

struct TableService {
    shared: Arc<Shared>,
    transfers: Arc<Semaphore>,
    /// The last large changes, as many peers ask for the same.
    packed: Mutex<Option<PackedChanges>>,
}

/// Changes of a table, compressed.
struct PackedChanges {
    table: FollowedTable,
    after: RowVersion,
    /// The newest change that they contain.
    newest: RowVersion,
    bytes: Bytes,
}

impl TableService {
    async fn handle_query(
        &self,
        req: Request<Incoming>,
        transfer: &TransferSlot,
    ) -> Response<Full<Bytes>> {
        let refuse = |status| plain(status, BINARY, Bytes::new());
        let Some(query) = read_query(req).await else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        match self.reply(query) {
            Ok(body) if body.len() <= SMALL_REPLY_BYTES => plain(StatusCode::OK, BINARY, body),
            Ok(body) => match self.transfers.clone().try_acquire_owned() {
                Ok(permit) => {
                    *transfer.lock().unwrap_or_else(PoisonError::into_inner) = Some(permit);
                    plain(StatusCode::OK, BINARY, body)
                }
                Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE),
            },
            Err(e) => {
                log::error!("event=answer_not_encoded error=\"{e}\"");
                refuse(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn reply(&self, query: ChangesQuery) -> Result<Bytes, CodecError> {
        let grace_remaining = {
            let dispatcher = self.shared.dispatcher();
            dispatcher.registry.grace_left(self.shared.now())
        };
        let reply = PackedReply {
            changes: self.packed_changes(query)?,
            grace_remaining,
        };
        Ok(codec::encode(&reply)?.into())
    }

    /// Returns the changes of a table after a version, compressed.
    fn packed_changes(&self, query: ChangesQuery) -> Result<Bytes, CodecError> {
        let mut packed = self.packed.lock().unwrap_or_else(PoisonError::into_inner);
        let (changes, newest) = {
            let dispatcher = self.shared.dispatcher();
            let cache = query.table.cache(&dispatcher);
            let newest = cache.newest_change();
            if let Some(packed) = &*packed
                && (packed.table, packed.after, packed.newest) == (query.table, query.after, newest)
            {
                return Ok(packed.bytes.clone());
            }
            (cache.changes_after(query.after), newest)
        };
        let bytes = packing::pack(&changes)?;
        if bytes.len() > SMALL_REPLY_BYTES {
            *packed = Some(PackedChanges {
                table: query.table,
                after: query.after,
                newest,
                bytes: bytes.clone(),
            });
        }
        Ok(bytes)
    }
}

/// Reads a peer's query; absent if it is not complete or not valid.
async fn read_query(req: Request<Incoming>) -> Option<ChangesQuery> {
    let body = read_body(req.into_body(), MAX_QUERY_BYTES, MAX_IDLE)
        .await
        .inspect_err(|e| log::debug!("event=question_broken error=\"{e}\""))
        .ok()?;
    codec::decode_within::<ChangesQuery, MAX_QUERY_BYTES>(&body)
        .inspect_err(|e| log::warn!("event=question_unreadable error=\"{e}\""))
        .ok()
}

/// Returns how many transfers a link carries well at a time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a checked setting, and the result is bounded"
)]
fn concurrent_transfers(link_mbps: f64) -> usize {
    let transfers = (link_mbps / LINK_MBPS_PER_TRANSFER) as usize;
    transfers.clamp(MIN_TRANSFERS, MAX_TRANSFERS)
}
