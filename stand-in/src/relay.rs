//! A TCP relay to one address, which can be cut or go silent.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use tokio::{io::copy_bidirectional, net::TcpStream};

use crate::{
    control::Control,
    fault::Faults,
    gate::Gate,
    server::{Listen, Result, Role, Running},
    stats::RoleStats,
};

/// A TCP relay.
pub struct Relay {
    target: SocketAddr,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn spawn(target: SocketAddr, listen: impl Into<Listen>) -> Result<Running> {
        let role = Arc::new(Self { target });
        Running::spawn(role, Arc::default(), listen.into()).await
    }

    async fn relay(&self, mut near: Gate, faults: &Faults) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        if far.set_nodelay(true).is_err() {
            return;
        }
        let mut far = Gate::new(far, near.born(), faults.lasting.subscribe());
        let _ = copy_bidirectional(&mut near, &mut far).await;
    }
}

impl Role for Relay {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn serve(self: Arc<Self>, gate: Gate, faults: Arc<Faults>) -> BoxFuture<'static, ()> {
        Box::pin(async move { self.relay(gate, &faults).await })
    }

    fn control(&self, _: &Control) -> bool {
        false
    }

    fn stats(&self) -> RoleStats {
        RoleStats::Relay
    }
}
