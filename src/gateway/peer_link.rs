//! Heartbeats between daemons, as datagrams.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::UdpSocket;

use crate::{coordination::dispatch::peers::Heartbeat, gateway::shared::Shared, protocol::codec};

/// The least time between heartbeats that carry news.
const NEWS_PAUSE: Duration = Duration::from_millis(20);
/// How long a session that stays with an old version is told of.
const BOUND_AGE: Duration = Duration::from_millis(1_500);
/// The same towards a daemon that has just started.
const ALL_BOUND: Duration = Duration::from_secs(3_600);
/// The largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The socket for heartbeats.
pub async fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Tells the other daemons what this one knows, for as long as the process lives.
pub async fn send_heartbeats(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        let addresses: Vec<SocketAddr> = shared.core().peers.addresses().collect();
        tell(&shared, &socket, &addresses, BOUND_AGE);
        let period = shared.core().peers.period();
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = shared.news.notified() => tokio::time::sleep(NEWS_PAUSE).await,
        }
    }
}

/// Takes in what the other daemons tell.
pub async fn receive_heartbeats(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("event=heartbeat_receive_failed error=\"{e}\"");
                tokio::time::sleep(NEWS_PAUSE).await;
                continue;
            }
        };
        match codec::decode_within::<Heartbeat, MAX_DATAGRAM_BYTES>(&buf[..length]) {
            Ok(heartbeat) => hear(&shared, &socket, heartbeat, from),
            Err(e) => log::warn!("event=heartbeat_unreadable peer={from} error=\"{e}\""),
        }
    }
}

fn hear(shared: &Shared, socket: &UdpSocket, heartbeat: Heartbeat, from: SocketAddr) {
    let now = shared.now();
    let id = heartbeat.from.clone();
    let heard = heartbeat.orders_newest.max(heartbeat.upstreams_newest);
    if shared.core().hear(heartbeat, from, now) {
        log::info!(
            "event=daemon_heard peer={} incarnation={}",
            id.name,
            id.incarnation
        );
        tell(shared, socket, &[from], ALL_BOUND);
    }
    shared.heard.send_if_modified(|known| {
        let newer = heard > *known;
        *known = heard.max(*known);
        newer
    });
}

fn tell(shared: &Shared, socket: &UdpSocket, addresses: &[SocketAddr], bound_age: Duration) {
    let now = shared.now();
    let readiness = shared.readiness();
    let front = shared.settings.front;
    let heartbeat = shared.core().heartbeat(front, readiness, bound_age, now);
    let datagram = match codec::encode(&heartbeat) {
        Ok(datagram) => datagram,
        Err(e) => {
            log::error!("event=heartbeat_not_encoded error=\"{e}\"");
            return;
        }
    };
    for address in addresses {
        if let Err(e) = socket.try_send_to(&datagram, *address) {
            log::debug!("event=heartbeat_send_failed peer={address} error=\"{e}\"");
        }
    }
}
