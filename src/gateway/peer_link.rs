//! Sends heartbeats and prefill notices between daemons as UDP datagrams.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::UdpSocket;

use crate::{
    coordination::dispatch::{
        Assignment, Dispatcher,
        fanout::Fanout,
        heartbeat::{Heartbeat, Readiness},
    },
    gateway::{datagram::Datagram, metrics, shared::Shared, waiting},
    protocol::codec::{self, CodecError},
};

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of heartbeats to a peer that include a sticky session, as datagrams may be lost.
const REPORTS_OF_SESSION: u32 = 3;
/// Minimum time after it was added for which a sticky session is included in heartbeats.
const MIN_SESSION_AGE: Duration = Duration::from_millis(1_500);
/// The same time for the first heartbeat to a new peer, long enough to include all sessions.
const MAX_SESSION_AGE_FOR_NEW_PEER: Duration = Duration::from_secs(3_600);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Binds the socket for datagrams.
pub async fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends heartbeats to the other daemons until the process exits: periodic ones to a part of the
/// fleet at a time, and urgent ones to all.
pub async fn send_heartbeats(shared: Arc<Shared>) {
    let mut next_urgent = tokio::time::Instant::now();
    loop {
        let (part_interval, urgent_interval) = {
            let dispatcher = shared.dispatcher();
            let peers = &dispatcher.peers;
            (peers.part_interval(), peers.urgent_interval())
        };
        let urgent = async {
            tokio::time::sleep_until(next_urgent).await;
            shared.urgent_heartbeat.notified().await;
        };
        tokio::select! {
            () = tokio::time::sleep(part_interval) => {
                let fanout = shared.dispatcher().next_fanout(shared.now());
                send_to_fleet(&shared, &fanout, Dispatcher::heartbeat);
            }
            () = urgent => {
                next_urgent = tokio::time::Instant::now() + urgent_interval;
                let fanout = shared.dispatcher().full_fanout(shared.now());
                send_to_fleet(&shared, &fanout, Dispatcher::urgent_heartbeat);
            }
        }
    }
}

/// Builds a heartbeat.
type BuildHeartbeat =
    fn(&mut Dispatcher, SocketAddr, Readiness, Duration, std::time::Instant) -> Heartbeat;

fn send_to_fleet(shared: &Shared, fanout: &Fanout, build: BuildHeartbeat) {
    let max_session_age = shared.dispatcher().peers.heartbeat_period() * REPORTS_OF_SESSION;
    let heartbeat = heartbeat(shared, max_session_age.max(MIN_SESSION_AGE), build);
    let to_forward = Datagram::HeartbeatToForward(heartbeat.clone());
    send(shared, &to_forward, &fanout.forwarders);
    send(shared, &Datagram::Heartbeat(heartbeat), &fanout.direct);
}

/// Sends this daemon's loads to the daemons that use the same engines until the process exits.
pub async fn send_loads(shared: Arc<Shared>) {
    loop {
        let interval = shared.dispatcher().load_update_interval();
        tokio::time::sleep(interval).await;
        let updates = shared.dispatcher().load_updates(shared.now());
        for (receiver, update) in updates {
            send(&shared, &Datagram::Loads(update), &[receiver]);
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
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match codec::decode_within::<Datagram, MAX_DATAGRAM_BYTES>(&buf[..length]) {
            Ok(Datagram::Heartbeat(heartbeat)) => handle_heartbeat(&shared, *heartbeat, from),
            Ok(Datagram::HeartbeatToForward(heartbeat)) => {
                let receivers = shared.dispatcher().forward_receivers();
                let forwarded = Datagram::ForwardedHeartbeat(from, heartbeat.clone());
                send(&shared, &forwarded, &receivers);
                handle_heartbeat(&shared, *heartbeat, from);
            }
            Ok(Datagram::ForwardedHeartbeat(origin, heartbeat)) => {
                handle_heartbeat(&shared, *heartbeat, origin);
            }
            Ok(Datagram::PromptSent(notice)) => {
                shared.dispatcher().receive_notice(notice, shared.now());
            }
            Ok(Datagram::Loads(update)) => {
                let now = shared.now();
                shared.dispatcher().receive_load_update(&update, now);
            }
            Err(e) => handle_unreadable(&shared, from, &e),
        }
    }
}

/// Counts a daemon of another build, whose messages this one cannot read, among those that share limits.
fn handle_unreadable(shared: &Shared, from: SocketAddr, e: &CodecError) {
    let now = shared.now();
    if shared.dispatcher().peers.hear_unreadable(from, now) {
        log::warn!("event=datagram_unreadable peer={from} error=\"{e}\"");
    }
}

/// Answers a daemon that was heard of for the first time.
async fn introduce(shared: Arc<Shared>, peer: SocketAddr) {
    let delay = shared.dispatcher().introduction_delay();
    tokio::time::sleep(delay).await;
    let build = Dispatcher::heartbeat;
    let heartbeat = heartbeat(&shared, MAX_SESSION_AGE_FOR_NEW_PEER, build);
    send(&shared, &Datagram::Heartbeat(heartbeat), &[peer]);
}

fn handle_heartbeat(shared: &Arc<Shared>, heartbeat: Heartbeat, from: SocketAddr) {
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
        tokio::spawn(introduce(shared.clone(), from));
    }
    waiting::wake_all(shared);
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

fn heartbeat(shared: &Shared, max_session_age: Duration, build: BuildHeartbeat) -> Box<Heartbeat> {
    let now = shared.now();
    let readiness = shared.readiness();
    let front = shared.settings.front;
    let mut dispatcher = shared.dispatcher();
    Box::new(build(
        &mut dispatcher,
        front,
        readiness,
        max_session_age,
        now,
    ))
}

fn send(shared: &Shared, datagram: &Datagram, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let kind = datagram.kind();
    let datagram = match codec::encode(datagram) {
        Ok(datagram) => datagram,
        Err(e) => {
            log::error!("event=datagram_not_encoded error=\"{e}\"");
            return;
        }
    };
    metrics::datagrams(kind, addresses.len(), addresses.len() * datagram.len());
    for address in addresses {
        if let Err(e) = shared.peer_socket.try_send_to(&datagram, *address) {
            log::debug!("event=datagram_send_failed peer={address} error=\"{e}\"");
        }
    }
}
