//! UDP socket of the membership protocol.

use std::{io, net::SocketAddr};

use tokio::net::UdpSocket;

use crate::{
    coordination::membership::{Message, Outgoing},
    protocol::{
        fleet_key::FleetKey,
        gossip::{self, MAX_DATAGRAM_BYTES},
    },
};

/// A bound socket that only sends and accepts datagrams authenticated with the fleet key.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    key: FleetKey,
}

impl GossipSocket {
    /// Binds a socket to `addr`.
    pub async fn bind(addr: SocketAddr, fleet_key: &str) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(addr).await?,
            key: FleetKey::new(fleet_key),
        })
    }

    /// Sends a datagram; failures are only logged, since any datagram may be lost anyway.
    pub async fn send(&self, outgoing: &Outgoing) {
        let to = outgoing.to;
        let datagram = match gossip::seal(&self.key, &outgoing.message) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::warn!("peer={to} gossip=unsent reason={e}");
                return;
            }
        };
        if let Err(e) = self.socket.send_to(&datagram, to).await {
            log::debug!("peer={to} gossip=unsent reason={e}");
        }
    }

    /// Receives the next authenticated datagram; logs and drops all others.
    pub async fn recv(&self) -> io::Result<(SocketAddr, Message)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (len, src) = self.socket.recv_from(&mut buf).await?;
            match gossip::open(&self.key, &buf[..len]) {
                Ok(message) => return Ok((src, message)),
                Err(e) => log::debug!("peer={src} gossip=dropped reason={e}"),
            }
        }
    }
}
