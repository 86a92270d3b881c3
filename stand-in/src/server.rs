//! The listener, connections and exchanges that all roles share, and the control address.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use compact_str::CompactString;
use futures::future::BoxFuture;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use crate::{
    control::{Control, Down},
    exchange,
    fault::Faults,
    gate::Gate,
    stats::{RoleStats, Stats},
};

/// How long a listener that can't be opened again waits before the next try.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// How long an accept that failed waits before the next one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Why a stand-in could not do as told.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The role knows no such control message.
    #[error("{role} has no such control")]
    Unsupported {
        /// The role.
        role: &'static str,
    },
    /// A call to a stand-in failed.
    #[error("{step} {peer}: {reason}")]
    Call {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        reason: CompactString,
    },
}

/// The result of an operation on a stand-in.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Where a role listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For the role's own interface.
    pub address: SocketAddr,
    /// For control messages and records.
    pub control: SocketAddr,
}

impl From<SocketAddr> for Listen {
    /// Takes any free port of the same IP number for control.
    fn from(address: SocketAddr) -> Self {
        let control = SocketAddr::new(address.ip(), 0);
        Self { address, control }
    }
}

/// What a role does with its connections and its control messages.
pub(crate) trait Role: Send + Sync + 'static {
    /// The role's name.
    fn name(&self) -> &'static str;
    /// Serves one connection to its end.
    fn serve(self: Arc<Self>, gate: Gate, faults: Arc<Faults>) -> BoxFuture<'static, ()>;
    /// Applies a control message of its own; `false` if it knows none such.
    fn control(&self, control: &Control) -> bool;
    /// The record.
    fn stats(&self) -> RoleStats;
}

/// A role that runs; it stops when this is dropped.
pub struct Running {
    /// The address of the role's own interface.
    pub address: SocketAddr,
    /// The address for control messages and records.
    pub control_address: SocketAddr,
    station: Arc<Station>,
    tasks: Vec<JoinHandle<()>>,
}

/// A role with its faults.
pub(crate) struct Station {
    pub(crate) role: Arc<dyn Role>,
    pub(crate) faults: Arc<Faults>,
}

impl Running {
    pub(crate) async fn spawn(
        role: Arc<dyn Role>,
        faults: Arc<Faults>,
        listen: Listen,
    ) -> Result<Self> {
        let listener = bind(listen.address).await?;
        let control = bind(listen.control).await?;
        let address = local_addr(&listener, listen.address)?;
        let control_address = local_addr(&control, listen.control)?;
        let station = Arc::new(Station { role, faults });
        let tasks = vec![
            tokio::spawn(station.clone().accept(listener, address)),
            tokio::spawn(exchange::serve_control(station.clone(), control)),
        ];
        Ok(Self {
            address,
            control_address,
            station,
            tasks,
        })
    }

    /// Applies a control message.
    pub fn control(&self, control: &Control) -> Result<()> {
        self.station.control(control)
    }

    /// The record.
    pub fn stats(&self) -> Stats {
        self.station.stats()
    }

    /// Closes the listeners and all connections.
    pub async fn shutdown(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Station {
    pub(crate) fn control(&self, control: &Control) -> Result<()> {
        if self.role.control(control) || self.faults.apply(control) {
            return Ok(());
        }
        if let Control::Crash { restart } = control {
            self.faults.crash(*restart);
            return Ok(());
        }
        Err(Error::Unsupported {
            role: self.role.name(),
        })
    }

    pub(crate) fn stats(&self) -> Stats {
        let counts = &self.faults.counts;
        Stats {
            incarnation: self.faults.incarnation(),
            accepted: counts.accepted.load(Ordering::Relaxed),
            open: counts.open.load(Ordering::Relaxed),
            requests: counts.requests.load(Ordering::Relaxed),
            crashes: counts.crashes.load(Ordering::Relaxed),
            role: self.role.stats(),
        }
    }

    /// Accepts for ever, with the listener closed while connections are to be refused.
    async fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        let mut lasting = self.faults.lasting.subscribe();
        let mut connections = JoinSet::new();
        loop {
            if lasting.borrow_and_update().down == Some(Down::Refuse) {
                listener = None;
                let _ = lasting.wait_for(|l| l.down != Some(Down::Refuse)).await;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => rebind(address).await,
            };
            tokio::select! {
                biased;
                _ = lasting.changed() => {}
                Some(_) = connections.join_next() => {}
                accepted = open.accept() => match accepted {
                    Ok((stream, _)) => self.begin(stream, &mut connections),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
            }
            listener = Some(open);
        }
    }

    fn begin(self: &Arc<Self>, stream: TcpStream, connections: &mut JoinSet<()>) {
        let mut lasting = self.faults.lasting.subscribe();
        let (born, down) = {
            let now = lasting.borrow_and_update();
            (now.epoch, now.down)
        };
        self.faults.counts.accepted.fetch_add(1, Ordering::Relaxed);
        if matches!(down, Some(Down::Close | Down::Refuse)) || stream.set_nodelay(true).is_err() {
            return;
        }
        let gate = Gate::new(stream, born, lasting.clone());
        let station = self.clone();
        connections.spawn(async move {
            let faults = station.faults.clone();
            let _open = OpenGuard::new(faults.clone());
            tokio::select! {
                biased;
                _ = lasting.wait_for(|l| born < l.cut_before) => {}
                () = station.role.clone().serve(gate, faults) => {}
            }
        });
    }
}

/// Counts a connection as open until it is dropped.
struct OpenGuard(Arc<Faults>);

impl OpenGuard {
    fn new(faults: Arc<Faults>) -> Self {
        faults.counts.open.fetch_add(1, Ordering::Relaxed);
        Self(faults)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.counts.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

fn local_addr(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|source| Error::Bind { address, source })
}
