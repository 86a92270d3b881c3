//! Server for calls between daemons.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use h2::{
    Reason,
    server::{self, SendResponse},
};
use http::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

use crate::{
    protocol::{
        codec,
        fleet_key::FleetKey,
        peer::{PeerRequest, PeerResponse},
    },
    transport::{
        peers::{auth::authenticate_as_server, connection::read_body},
        stop::wait_for_stop,
    },
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Maximum number of concurrent calls per connection.
const MAX_STREAMS: u32 = 128;
/// Maximum length of a call's headers in bytes.
const MAX_HEADER_BYTES: u32 = 4 << 10;
/// Flow-control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Timeout for authenticating a client and starting HTTP/2.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for receiving a call's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for serving a call.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);
/// A connection without calls for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles one call.
pub type Handler = Arc<dyn Fn(PeerRequest) -> BoxFuture<'static, PeerResponse> + Send + Sync>;

/// A running server for calls between daemons.
#[derive(Debug)]
pub struct PeerServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl PeerServer {
    /// Listens on `addr` and serves clients that authenticate with `fleet_key`.
    pub async fn bind(addr: SocketAddr, fleet_key: &str, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let accept = Acceptor {
            listener,
            key: FleetKey::new(fleet_key),
            handler,
            stopped,
        };
        Ok(Self {
            addr,
            stop,
            task: tokio::spawn(accept.run()),
        })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting calls and returns when all calls in flight have ended, at the latest after
    /// `limit`.
    pub async fn shutdown(self, limit: Duration) {
        self.stop.send_replace(true);
        let mut task = self.task;
        if timeout(limit, &mut task).await.is_err() {
            task.abort();
        }
    }
}

struct Acceptor {
    listener: TcpListener,
    key: FleetKey,
    handler: Handler,
    stopped: watch::Receiver<bool>,
}

impl Acceptor {
    async fn run(self) {
        let mut connections = JoinSet::new();
        let mut stopped = self.stopped.clone();
        loop {
            tokio::select! {
                () = wait_for_stop(&mut stopped) => break,
                _ = connections.join_next(), if !connections.is_empty() => {}
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                        connections.spawn(self.connection(stream));
                    }
                    Ok((_, peer)) => log::warn!("peer={peer} refused=too_many_connections"),
                    Err(e) => {
                        log::warn!("failed to accept a peer connection: {e}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection(&self, stream: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let key = self.key.clone();
        let handler = self.handler.clone();
        let stopped = self.stopped.clone();
        async move {
            if let Err(e) = serve(stream, &key, handler, stopped).await {
                log::debug!("peer connection ended: {e}");
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    key: &FleetKey,
    handler: Handler,
    mut stopped: watch::Receiver<bool>,
) -> io::Result<()> {
    let handshake = timeout(HANDSHAKE_TIMEOUT, handshake(stream, key));
    let mut connection = tokio::select! {
        () = wait_for_stop(&mut stopped) => return Ok(()),
        connection = handshake => connection.map_err(io::Error::other)??,
    };
    let mut calls = JoinSet::new();
    let served = serve_calls(&mut connection, &mut calls, &handler, stopped).await;
    calls.detach_all();
    served
}

/// Accepts calls until the connection ends; calls still running remain in `calls`.
async fn serve_calls(
    connection: &mut server::Connection<TcpStream, Bytes>,
    calls: &mut JoinSet<()>,
    handler: &Handler,
    mut stopped: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut stopping = false;
    loop {
        let idle = calls.is_empty() && !stopping;
        tokio::select! {
            () = wait_for_stop(&mut stopped), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
            _ = calls.join_next(), if !calls.is_empty() => {}
            accepted = connection.accept() => match accepted {
                Some(Ok((req, respond))) => {
                    calls.spawn(handle_call(req, respond, handler.clone()));
                }
                Some(Err(e)) => return Err(io::Error::other(e)),
                None => return Ok(()),
            },
            () = sleep(IDLE_TIMEOUT), if idle => return Ok(()),
        }
    }
}

async fn handshake(
    mut stream: TcpStream,
    key: &FleetKey,
) -> io::Result<server::Connection<TcpStream, Bytes>> {
    stream.set_nodelay(true)?;
    authenticate_as_server(key, &mut stream).await?;
    server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(stream)
        .await
        .map_err(io::Error::other)
}

async fn handle_call(
    req: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Handler,
) {
    let Ok(Ok(body)) = timeout(BODY_TIMEOUT, read_body(req.into_body())).await else {
        respond.send_reset(Reason::ENHANCE_YOUR_CALM);
        return;
    };
    let res = match codec::decode(&body) {
        Ok(req) => timeout(SERVE_TIMEOUT, handler(req))
            .await
            .unwrap_or_else(|_| PeerResponse::Refused("the call timed out".into())),
        Err(e) => PeerResponse::Refused(e.to_string()),
    };
    let Ok(body) = codec::encode(&res) else {
        respond.send_reset(Reason::INTERNAL_ERROR);
        return;
    };
    if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
        let _ = stream.send_data(body.into(), true);
    }
}
