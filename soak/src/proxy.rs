//! Loopback proxy whose connections can be delayed, reset, or blocked in one or both directions.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::Instant,
};

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// State of the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Data is forwarded.
    Open,
    /// Each chunk is delayed.
    Delayed(Duration),
    /// All connections together carry at most this many bytes a second in each direction.
    Limited(u32),
    /// Open and new connections are reset.
    Reset,
    /// New connections are reset; open ones carry no data, or go on.
    RefusesNew {
        /// Whether open ones carry no data.
        silences_open: bool,
    },
    /// No data is forwarded, and connections stay open; what was sent is forwarded afterwards.
    Silent,
    /// New connections are accepted without a connection to the callee, and none carries data. All are reset
    /// afterwards, and what was sent is lost.
    AcceptsOnly,
    /// Data from callers is not forwarded.
    RequestsLost,
    /// Data to callers is not forwarded.
    AnswersLost,
}

/// Direction of data on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl LinkState {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::Open | Self::Delayed(_) | Self::Limited(_) | Self::Reset => false,
            Self::RefusesNew { silences_open } => silences_open,
            Self::Silent | Self::AcceptsOnly => true,
            Self::RequestsLost => direction == Direction::Request,
            Self::AnswersLost => direction == Direction::Response,
        }
    }
}

/// The state of all connections through a proxy, and that of single hosts.
#[derive(Clone, Debug)]
struct LinkStates {
    general: LinkState,
    of_hosts: BTreeMap<IpAddr, LinkState>,
}

impl LinkStates {
    fn of(&self, host: IpAddr) -> LinkState {
        self.of_hosts.get(&host).copied().unwrap_or(self.general)
    }
}

/// Running proxy, which stops accepting connections when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link_states: watch::Sender<LinkStates>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a free port and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link_states = watch::Sender::new(LinkStates {
            general: LinkState::Open,
            of_hosts: BTreeMap::new(),
        });
        let states = link_states.subscribe();
        let accepting = tokio::spawn(async move {
            let [requests, answers] = [Line::new(), Line::new()].map(Arc::new);
            while let Ok((stream, from)) = listener.accept().await {
                let link = Link {
                    host: from.ip(),
                    states: states.clone(),
                    requests: requests.clone(),
                    answers: answers.clone(),
                };
                tokio::spawn(forward_connection(stream, target, link));
            }
        });
        Ok(Self {
            address,
            link_states,
            accepting,
        })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of all connections, including open ones.
    pub fn set(&self, link_state: LinkState) {
        self.link_states
            .send_modify(|states| states.general = link_state);
    }

    /// Sets the state of all connections of one host; `Open` ends what was set for it.
    pub fn set_for(&self, host: IpAddr, link_state: LinkState) {
        self.link_states.send_modify(|states| match link_state {
            LinkState::Open => {
                states.of_hosts.remove(&host);
            }
            _ => {
                states.of_hosts.insert(host, link_state);
            }
        });
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// What all connections through a proxy share.
#[derive(Clone, Debug)]
struct Link {
    /// The host that opened the connection.
    host: IpAddr,
    states: watch::Receiver<LinkStates>,
    requests: Arc<Line>,
    answers: Arc<Line>,
}

/// One direction of a link, which carries one chunk after the other.
#[derive(Debug)]
struct Line {
    free_at: Mutex<Instant>,
}

impl Line {
    fn new() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `length` bytes are carried, at `rate` bytes a second.
    async fn carry(&self, length: usize, rate: u32) {
        let carried_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = Instant::now().max(*free_at) + sending_time(length, rate);
            *free_at
        };
        tokio::time::sleep_until(carried_at).await;
    }
}

/// Forwards one connection until either side closes it.
async fn forward_connection(mut caller: TcpStream, target: SocketAddr, link: Link) {
    let state = link.states.borrow().of(link.host);
    if matches!(state, LinkState::Reset | LinkState::RefusesNew { .. }) {
        reset_on_close(&caller);
        return;
    }
    if state == LinkState::AcceptsOnly {
        let mut states = link.states;
        let ended = states.wait_for(|states| states.of(link.host) != LinkState::AcceptsOnly);
        // An error means that the proxy was dropped.
        let _ = ended.await;
        reset_on_close(&caller);
        return;
    }
    let Ok(mut callee) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.split();
    let (from_callee, to_callee) = callee.split();
    let requests = copy_direction(from_caller, to_callee, Direction::Request, link.clone());
    let answers = copy_direction(from_callee, to_caller, Direction::Response, link);
    if futures::future::try_join(requests, answers).await.is_err() {
        reset_on_close(&caller);
        reset_on_close(&callee);
    }
}

async fn copy_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    link: Link,
) -> io::Result<()> {
    let line = match direction {
        Direction::Request => link.requests,
        Direction::Response => link.answers,
    };
    let (host, mut states) = (link.host, link.states);
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read?,
            () = wait_for_reset(&mut states, host) => return Err(io::ErrorKind::ConnectionReset.into()),
        };
        loop {
            let now = states.borrow_and_update().of(host);
            match now {
                LinkState::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
                LinkState::Delayed(delay) => break tokio::time::sleep(delay).await,
                LinkState::Limited(rate) => break line.carry(read, rate).await,
                _ if !now.blocks(direction) => break,
                _ => states.changed().await.map_err(io::Error::other)?,
            }
            if now == LinkState::AcceptsOnly && states.borrow().of(host) != now {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..read]).await?;
    }
}

/// Returns how long a link of `rate` bytes a second takes to carry `length` bytes.
fn sending_time(length: usize, rate: u32) -> Duration {
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(length) / f64::from(rate))
}

async fn wait_for_reset(states: &mut watch::Receiver<LinkStates>, host: IpAddr) {
    let ended = states
        .wait_for(|states| states.of(host) == LinkState::Reset)
        .await
        .is_err();
    if ended {
        // The proxy was dropped; its open connections end when a peer closes them.
        std::future::pending::<()>().await;
    }
}

/// Makes the peer see a reset instead of an orderly end when the connection is dropped.
fn reset_on_close(connection: &TcpStream) {
    // An error means that the connection is already closed and needs no reset.
    let _ = connection.set_zero_linger();
}
