//! Sends heartbeats and prefill notices between daemons as UDP datagrams.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::{
    coordination::dispatch::{Assignment, peers::Heartbeat, prefill_queue::PrefillNotice},
    gateway::shared::Shared,
    protocol::codec,
};

/// Minimum interval between urgent heartbeats, and the delay after a failed receive.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// How long after it was added a sticky session is included in heartbeats.
const MAX_SESSION_AGE: Duration = Duration::from_millis(1_500);
/// The same limit for the first heartbeat to a new peer, long enough to include all sessions.
const MAX_SESSION_AGE_FOR_NEW_PEER: Duration = Duration::from_secs(3_600);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A message between daemons.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    /// The sender's current state, sent periodically.
    Heartbeat(Box<Heartbeat>),
    /// Reports that the sender has sent a prompt to an engine.
    PromptSent(PrefillNotice),
}

/// Binds the socket for datagrams.
pub async fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends heartbeats to the other daemons until the process exits.
pub async fn send_heartbeats(shared: Arc<Shared>) {
    loop {
        let addresses: Vec<SocketAddr> = shared.dispatcher().peers.addresses().collect();
        send_heartbeat(&shared, &addresses, MAX_SESSION_AGE);
        let period = shared.dispatcher().peers.heartbeat_period();
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = shared.urgent_heartbeat.notified() =>
                tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await,
        }
    }
}

/// Receives and applies datagrams from the other daemons.
pub async fn receive(shared: Arc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match shared.peer_socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("event=datagram_receive_failed error=\"{e}\"");
                tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        match codec::decode_within::<Datagram, MAX_DATAGRAM_BYTES>(&buf[..length]) {
            Ok(Datagram::Heartbeat(heartbeat)) => handle_heartbeat(&shared, *heartbeat, from),
            Ok(Datagram::PromptSent(notice)) => {
                shared.dispatcher().receive_notice(notice, shared.now());
            }
            Err(e) => log::warn!("event=datagram_unreadable peer={from} error=\"{e}\""),
        }
    }
}

fn handle_heartbeat(shared: &Shared, heartbeat: Heartbeat, from: SocketAddr) {
    let now = shared.now();
    let id = heartbeat.from.clone();
    shared.table_era.learn(heartbeat.table_era);
    shared.enter_table_era();
    let reported_version = heartbeat
        .newest_order_version
        .max(heartbeat.newest_upstream_version);
    if shared.dispatcher().receive_heartbeat(heartbeat, from, now) {
        log::info!(
            "event=daemon_heard peer={} incarnation={}",
            id.name,
            id.incarnation
        );
        send_heartbeat(shared, &[from], MAX_SESSION_AGE_FOR_NEW_PEER);
    }
    shared.newest_peer_version.send_if_modified(|known| {
        let newer = reported_version > *known;
        *known = reported_version.max(*known);
        newer
    });
}

/// Notifies the daemons that share an engine that a prompt was sent to it.
pub fn send_prefill_notice(shared: &Shared, assignment: &Assignment) {
    let (notice, receivers) = {
        let dispatcher = shared.dispatcher();
        let Some(notice) = dispatcher.notice(assignment) else {
            return;
        };
        (
            notice,
            dispatcher.notice_receivers(assignment, shared.now()),
        )
    };
    send(shared, &Datagram::PromptSent(notice), &receivers);
}

fn send_heartbeat(shared: &Shared, addresses: &[SocketAddr], max_session_age: Duration) {
    let now = shared.now();
    let readiness = shared.readiness();
    let front = shared.settings.front;
    let heartbeat = shared
        .dispatcher()
        .heartbeat(front, readiness, max_session_age, now);
    let datagram = Datagram::Heartbeat(Box::new(heartbeat));
    send(shared, &datagram, addresses);
}

fn send(shared: &Shared, datagram: &Datagram, addresses: &[SocketAddr]) {
    let datagram = match codec::encode(datagram) {
        Ok(datagram) => datagram,
        Err(e) => {
            log::error!("event=datagram_not_encoded error=\"{e}\"");
            return;
        }
    };
    for address in addresses {
        if let Err(e) = shared.peer_socket.try_send_to(&datagram, *address) {
            log::debug!("event=datagram_send_failed peer={address} error=\"{e}\"");
        }
    }
}
