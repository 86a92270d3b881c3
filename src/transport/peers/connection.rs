//! An authenticated `h2` connection to a peer that detects when the peer goes silent.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use h2::{
    Ping, PingPong, Reason, RecvStream,
    client::{self, SendRequest},
};
use http::{Method, Request};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at},
};

use crate::{
    protocol::{codec::MAX_MESSAGE_BYTES, fleet_key::FleetKey},
    transport::peers::{CALL_URI, auth::authenticate_as_client},
};

/// Timeout for opening and authenticating a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A connection that received data within this time is used without a ping.
const RECENT_ACTIVITY: Duration = Duration::from_millis(1_000);
/// Interval between pings while a call waits for its response.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for a pong.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection without calls for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks for an idle connection.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of queued ping requests.
const PING_QUEUE_CAPACITY: usize = 32;
/// Flow-control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// A failure of a call on one connection.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// The call was definitely not executed.
    NotSent(String),
    /// The call may have been executed.
    MayHaveRun(String),
}

/// An open connection; clones share the underlying connection.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    sender: SendRequest<Bytes>,
    pings: mpsc::Sender<oneshot::Sender<()>>,
    activity: Arc<Activity>,
}

/// Times of the last received data and the last use of a connection.
#[derive(Debug)]
struct Activity {
    opened: Instant,
    last_received_ms: AtomicU64,
    last_used_ms: AtomicU64,
    closed: AtomicBool,
}

impl Activity {
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn mark(&self, mark: &AtomicU64) {
        mark.store(self.elapsed_ms(), Ordering::Relaxed);
    }

    fn elapsed_since(&self, mark: &AtomicU64) -> Duration {
        let at = mark.load(Ordering::Relaxed);
        Duration::from_millis(self.elapsed_ms().saturating_sub(at))
    }
}

impl Connection {
    /// Connects, authenticates both sides with the fleet key and starts HTTP/2.
    pub(super) async fn open(addr: SocketAddr, key: &FleetKey) -> io::Result<Self> {
        timeout(OPEN_TIMEOUT, Self::handshake(addr, key))
            .await
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "handshake timed out"))?
    }

    async fn handshake(addr: SocketAddr, key: &FleetKey) -> io::Result<Self> {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        authenticate_as_client(key, &mut stream).await?;
        let (sender, connection) = client::Builder::new()
            .enable_push(false)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        let (pings, ping_requests) = mpsc::channel(PING_QUEUE_CAPACITY);
        let activity = Arc::new(Activity {
            opened: Instant::now(),
            last_received_ms: AtomicU64::new(0),
            last_used_ms: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        tokio::spawn(run_connection(connection, ping_requests, activity.clone()));
        Ok(Self {
            sender,
            pings,
            activity,
        })
    }

    /// Returns whether the connection is known to have ended.
    pub(super) fn is_closed(&self) -> bool {
        self.activity.closed.load(Ordering::Acquire)
    }

    /// Returns whether data was received recently or the peer responds to a ping.
    pub(super) async fn is_live(&self) -> bool {
        if self.is_closed() {
            return false;
        }
        if self.activity.elapsed_since(&self.activity.last_received_ms) < RECENT_ACTIVITY {
            return true;
        }
        self.ping().await
    }

    async fn ping(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.pings.send(tx).await.is_err() {
            return false;
        }
        rx.await.is_ok()
    }

    /// Sends one call on a new stream and returns the response body.
    pub(super) async fn call(&self, body: Bytes, deadline: Instant) -> Result<Bytes, CallFailure> {
        self.activity.mark(&self.activity.last_used_ms);
        let not_sent = |e: &dyn ToString| CallFailure::NotSent(e.to_string());
        let mut sender = timeout_at(deadline, self.sender.clone().ready())
            .await
            .map_err(|e| not_sent(&e))?
            .map_err(|e| not_sent(&e))?;
        let (head, mut stream) = sender
            .send_request(call_request(), false)
            .map_err(|e| not_sent(&e))?;
        stream
            .send_data(body, true)
            .map_err(|e| CallFailure::MayHaveRun(e.to_string()))?;
        let response = async {
            let res = head.await?;
            read_body(res.into_body()).await
        };
        let monitored = async {
            tokio::select! {
                response = response => response.map_err(classify),
                () = self.wait_until_silent() => Err(CallFailure::MayHaveRun("connection went silent".into())),
            }
        };
        let Ok(response) = timeout_at(deadline, monitored).await else {
            return Err(CallFailure::MayHaveRun(
                "timed out waiting for the response".into(),
            ));
        };
        if response.is_ok() {
            self.activity.mark(&self.activity.last_received_ms);
            self.activity.mark(&self.activity.last_used_ms);
        }
        response
    }

    /// Returns once the peer no longer responds to pings.
    async fn wait_until_silent(&self) {
        loop {
            sleep(PING_INTERVAL).await;
            if !self.ping().await {
                return;
            }
            self.activity.mark(&self.activity.last_used_ms);
        }
    }
}

fn call_request() -> Request<()> {
    let mut req = Request::new(());
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(CALL_URI);
    *req.version_mut() = http::Version::HTTP_2;
    req
}

/// Reads an entire body of at most the maximum message size.
pub(super) async fn read_body(mut body: RecvStream) -> Result<Bytes, h2::Error> {
    let mut buffer = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part?;
        if buffer.len() + part.len() > MAX_MESSAGE_BYTES {
            return Err(Reason::ENHANCE_YOUR_CALM.into());
        }
        body.flow_control().release_capacity(part.len())?;
        buffer.extend_from_slice(&part);
    }
    Ok(buffer.freeze())
}

/// Classifies an error: a refused stream was never processed, any other call may have been
/// executed.
fn classify(e: h2::Error) -> CallFailure {
    if e.reason() == Some(Reason::REFUSED_STREAM) {
        return CallFailure::NotSent(e.to_string());
    }
    CallFailure::MayHaveRun(e.to_string())
}

/// Runs the connection's I/O until it ends, goes silent or exceeds the idle timeout.
async fn run_connection(
    mut connection: client::Connection<TcpStream, Bytes>,
    mut ping_requests: mpsc::Receiver<oneshot::Sender<()>>,
    activity: Arc<Activity>,
) {
    let Some(mut ping_pong) = connection.ping_pong() else {
        return;
    };
    let mut idle_check = interval(IDLE_CHECK_INTERVAL);
    idle_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = &mut connection => break,
            waiter = ping_requests.recv() => {
                let Some(waiter) = waiter else { break };
                if !receives_pong(&mut connection, &mut ping_pong).await {
                    break;
                }
                activity.mark(&activity.last_received_ms);
                let _ = waiter.send(());
                while let Ok(waiter) = ping_requests.try_recv() {
                    let _ = waiter.send(());
                }
            }
            _ = idle_check.tick() => {
                if activity.elapsed_since(&activity.last_used_ms) > IDLE_TIMEOUT {
                    break;
                }
            }
        }
    }
    activity.closed.store(true, Ordering::Release);
}

async fn receives_pong(
    connection: &mut client::Connection<TcpStream, Bytes>,
    ping_pong: &mut PingPong,
) -> bool {
    tokio::select! {
        _ = connection => false,
        pong = timeout(PING_TIMEOUT, ping_pong.ping(Ping::opaque())) => matches!(pong, Ok(Ok(_))),
    }
}
