//! TCP relay to one address, whose connections can be cut or become silent.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use tokio::{io::copy_bidirectional, net::TcpStream};

use crate::{
    connection::FaultyConnection,
    control::Control,
    fault::Faults,
    server::{ListenAddresses, Result, Role, RoleHandle},
    stats::RoleStats,
};

/// TCP relay.
pub struct Relay {
    target: SocketAddr,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn spawn(
        target: SocketAddr,
        listen: impl Into<ListenAddresses>,
    ) -> Result<RoleHandle> {
        let role = Arc::new(Self { target });
        RoleHandle::spawn(role, Arc::default(), listen.into()).await
    }

    async fn relay(&self, mut inbound: FaultyConnection, faults: &Faults) {
        let Ok(outbound) = TcpStream::connect(self.target).await else {
            return;
        };
        if outbound.set_nodelay(true).is_err() {
            return;
        }
        let mut outbound = FaultyConnection::new(
            outbound,
            inbound.accept_epoch(),
            faults.persistent.subscribe(),
        );
        let _ = copy_bidirectional(&mut inbound, &mut outbound).await;
    }
}

impl Role for Relay {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn serve(
        self: Arc<Self>,
        connection: FaultyConnection,
        faults: Arc<Faults>,
    ) -> BoxFuture<'static, ()> {
        Box::pin(async move { self.relay(connection, &faults).await })
    }

    fn control(&self, _: &Control) -> bool {
        false
    }

    fn stats(&self) -> RoleStats {
        RoleStats::Relay
    }
}
