//! Listener and connections of all roles, and their control address.

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
    connection::FaultyConnection,
    control::{Control, Down},
    exchange,
    fault::Faults,
    stats::{RoleStats, Stats},
};

/// Delay before retrying to bind the listener.
const REBIND_DELAY: Duration = Duration::from_millis(5);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Error of a role, or of a call to one.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Binding an address failed.
    #[error("bind {address}: {source}")]
    Bind {
        /// Address to bind.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The role does not support the control message.
    #[error("{role} does not support this control message")]
    Unsupported {
        /// Name of the role.
        role: &'static str,
    },
    /// A call to a role failed.
    #[error("{step} {peer}: {reason}")]
    Call {
        /// Step of the call that failed.
        step: &'static str,
        /// Address of the called role.
        peer: SocketAddr,
        /// Reason of the failure.
        reason: CompactString,
    },
}

/// Result of an operation on a role.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Addresses on which a role listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Address of the role's own interface.
    pub address: SocketAddr,
    /// Address for control messages and statistics.
    pub control: SocketAddr,
}

impl From<SocketAddr> for ListenAddresses {
    /// Uses a free port on the same IP address for control messages.
    fn from(address: SocketAddr) -> Self {
        let control = SocketAddr::new(address.ip(), 0);
        Self { address, control }
    }
}

/// Behaviour of a role: how it serves connections and handles control messages.
pub(crate) trait Role: Send + Sync + 'static {
    /// Returns the role's name.
    fn name(&self) -> &'static str;
    /// Serves one connection until it ends.
    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()>;
    /// Applies a role-specific control message; returns `false` if it does not support the message.
    fn control(&self, control: &Control) -> bool;
    /// Returns the role-specific statistics.
    fn stats(&self) -> RoleStats;
}

/// Handle of a running role, which stops when the handle is dropped.
pub struct RoleHandle {
    /// Address of the role's own interface.
    pub address: SocketAddr,
    /// Address for control messages and statistics.
    pub control_address: SocketAddr,
    role_server: Arc<RoleServer>,
    tasks: Vec<JoinHandle<()>>,
}

/// A role and its faults.
pub(crate) struct RoleServer {
    pub(crate) role: Arc<dyn Role>,
    pub(crate) faults: Arc<Faults>,
}

impl RoleHandle {
    pub(crate) async fn spawn(
        role: Arc<dyn Role>,
        faults: Arc<Faults>,
        listen: ListenAddresses,
    ) -> Result<Self> {
        let listener = bind(listen.address).await?;
        let control = bind(listen.control).await?;
        let address = local_addr(&listener, listen.address)?;
        let control_address = local_addr(&control, listen.control)?;
        let role_server = Arc::new(RoleServer { role, faults });
        let tasks = vec![
            tokio::spawn(role_server.clone().accept(listener, address)),
            tokio::spawn(exchange::serve_control(role_server.clone(), control)),
        ];
        Ok(Self {
            address,
            control_address,
            role_server,
            tasks,
        })
    }

    /// Applies a control message.
    pub fn control(&self, control: &Control) -> Result<()> {
        self.role_server.control(control)
    }

    /// Returns the statistics.
    pub fn stats(&self) -> Stats {
        self.role_server.stats()
    }

    /// Closes the listeners and all connections.
    pub async fn shutdown(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for RoleHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl RoleServer {
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

    /// Accepts connections forever; the listener is closed while connections must be refused.
    async fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        let mut persistent = self.faults.persistent.subscribe();
        let mut connections = JoinSet::new();
        loop {
            if persistent.borrow_and_update().down == Some(Down::Refuse) {
                listener = None;
                let _ = persistent.wait_for(|l| l.down != Some(Down::Refuse)).await;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => rebind(address).await,
            };
            tokio::select! {
                biased;
                _ = persistent.changed() => {}
                Some(_) = connections.join_next() => {}
                accepted = open.accept() => match accepted {
                    Ok((stream, _)) => self.spawn_connection(stream, &mut connections),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
            }
            listener = Some(open);
        }
    }

    fn spawn_connection(self: &Arc<Self>, stream: TcpStream, connections: &mut JoinSet<()>) {
        let mut persistent = self.faults.persistent.subscribe();
        let (accept_epoch, down) = {
            let now = persistent.borrow_and_update();
            (now.epoch, now.down)
        };
        self.faults.counts.accepted.fetch_add(1, Ordering::Relaxed);
        if matches!(down, Some(Down::Close | Down::Refuse)) || stream.set_nodelay(true).is_err() {
            return;
        }
        let connection = FaultyConnection::new(stream, accept_epoch, persistent.clone());
        let role_server = self.clone();
        connections.spawn(async move {
            let faults = role_server.faults.clone();
            let _open = OpenConnectionGuard::new(faults.clone());
            tokio::select! {
                biased;
                _ = persistent.wait_for(|l| accept_epoch < l.cut_before) => {}
                () = role_server.role.clone().serve(connection, faults) => {}
            }
        });
    }
}

/// Counts a connection as open until the guard is dropped.
struct OpenConnectionGuard(Arc<Faults>);

impl OpenConnectionGuard {
    fn new(faults: Arc<Faults>) -> Self {
        faults.counts.open.fetch_add(1, Ordering::Relaxed);
        Self(faults)
    }
}

impl Drop for OpenConnectionGuard {
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
        tokio::time::sleep(REBIND_DELAY).await;
    }
}

fn local_addr(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|source| Error::Bind { address, source })
}
