//! HTTP/1.1 and HTTP/2 server with limits and a graceful shutdown that completes all responses.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinHandle,
};
use viz::{Responder, Tree};

/// Timeout for receiving a request's head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between keep-alive pings on HTTP/2 connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout for the response to a keep-alive ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
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
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_all(
            listener,
            Arc::new(routes),
            max_connections,
            stopped,
        ));
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
    max_connections: usize,
    mut stopped: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let (stream, client) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("step=accept error={e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            log::warn!("step=accept peer={client} refused=connection_limit");
            continue;
        };
        let connection = graceful.watch(serve(stream, client, routes.clone()));
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("step=serve peer={client} error={e}");
            }
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(
    stream: TcpStream,
    client: SocketAddr,
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
        .keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT);
    let service = Responder::new(routes, Some(Arc::new(client)));
    builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned()
}
