//! HTTP/1.1 and HTTP/2 server with limits and a graceful shutdown that completes all responses.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Version};
use hyper::{
    body::{Body, Incoming},
    service::{Service, service_fn},
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};
use viz::{Responder, Tree};

use crate::{
    clock::SharedClock,
    transport::{
        caller_connections::{CallerConnection, CallerConnections},
        caller_stream::{CallerStream, ResponseBody},
        stop::wait_for_stop,
    },
};

/// Timeout for receiving a request's head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between keep-alive pings on HTTP/2 connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout for the response to a keep-alive ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of requests at a time on an HTTP/2 connection.
const MAX_STREAMS: u32 = 64;
/// Bytes that an HTTP/2 connection, and each of its streams, may receive before they are read.
const WINDOW_BYTES: u32 = 64 << 10;
/// Maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// A running server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and serves `routes`, with at most `max_connections` open at once.
    pub async fn bind(
        address: SocketAddr,
        routes: Tree,
        max_connections: usize,
        clock: SharedClock,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let connections = Arc::new(CallerConnections::new(max_connections, clock));
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_all(listener, Arc::new(routes), connections, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and returns once all responses in flight have been sent.
    pub async fn shutdown(self) {
        self.stop.send_replace(true);
        if let Err(e) = self.task.await {
            log::error!("step=shutdown listener={} error={e}", self.address);
        }
    }
}

async fn accept_all(
    listener: TcpListener,
    routes: Arc<Tree>,
    connections: Arc<CallerConnections>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stopped) => break,
        };
        let (stream, client) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("step=accept error={e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(connection) = connections.open().await else {
            log::warn!("step=accept peer={client} refused=connection_limit");
            continue;
        };
        let served = graceful.watch(serve(stream, client, connection.clone(), routes.clone()));
        tokio::spawn(async move {
            tokio::select! {
                result = served => {
                    if let Err(e) = result {
                        log::debug!("step=serve peer={client} error={e}");
                    }
                }
                () = connection.closed() => {
                    log::debug!("step=serve peer={client} closed=connection_limit");
                }
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(
    stream: TcpStream,
    client: SocketAddr,
    connection: Arc<CallerConnection>,
    routes: Arc<Tree>,
) -> impl hyper_util::server::graceful::GracefulConnection<
    Error = Box<dyn std::error::Error + Send + Sync>,
> + Send {
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT);
    let stream = CallerStream::new(stream, connection.clone());
    let responder = Arc::new(Responder::new(routes, Some(Arc::new(client))));
    let service = service_fn(move |mut req: Request<Incoming>| {
        // The requests of an HTTP/2 connection have windows in place of what a body tells its connection.
        let has_body = req.version() < Version::HTTP_2 && !req.body().is_end_stream();
        if has_body {
            req.extensions_mut().insert(connection.clone());
        }
        let request = connection.begin_request(has_body);
        let responder = responder.clone();
        async move {
            let response = responder.call(req).await?;
            Ok::<_, Infallible>(response.map(|body| ResponseBody::new(body, request)))
        }
    });
    builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned()
}
