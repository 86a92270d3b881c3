//! Probes whether this instance's links to upstreams work after a connection was lost.

use std::{io, net::IpAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use platform::net;

use crate::{
    coordination::dispatch::reachability::{Loss, ProbeTarget},
    gateway::shared::Shared,
};

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a new connection must stay open.
const MIN_OPEN_TIME: Duration = Duration::from_millis(30);
/// How long the upstream's host may be silent before the connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Probes upstreams from each lost connection until one is reached.
pub async fn run(shared: Arc<Shared>) {
    loop {
        shared.connection_lost.notified().await;
        while probe_round(&shared).await {
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
}

/// Probes some upstreams; returns whether more probes are needed.
async fn probe_round(shared: &Shared) -> bool {
    let sent_at = shared.now();
    let targets = shared.dispatcher().probe_targets(sent_at);
    let local = shared.settings.ip;
    let probes = targets.iter().map(|target| probe(local, target));
    for (result, target) in join_all(probes).await.into_iter().zip(&targets) {
        let now = shared.now();
        shared
            .dispatcher()
            .probe_ended(&target.upstream, result, sent_at, now);
    }
    report_changes(shared);
    shared.dispatcher().reachability.is_suspected()
}

/// Logs that the links to upstreams were lost or work again, and tells the other daemons at once.
pub fn report_changes(shared: &Shared) {
    let changes = shared.dispatcher().reachability.take_changes();
    for change in &changes {
        log::warn!("{change}");
    }
    if !changes.is_empty() {
        shared.urgent_heartbeat.notify_one();
    }
}

/// Connects to an upstream and waits whether the connection is closed at once.
async fn probe(local: IpAddr, target: &ProbeTarget) -> Result<(), Loss> {
    let connected = net::connect_from(local, target.address, CONNECT_TIMEOUT, SILENCE_TIMEOUT);
    let stream = connected.await.map_err(|e| loss(&e))?;
    match tokio::time::timeout(MIN_OPEN_TIME, stream.readable()).await {
        Err(_) => Ok(()),
        Ok(_) => Err(Loss::Broken),
    }
}

/// Returns how a connection was lost that could not be opened.
pub fn loss(e: &io::Error) -> Loss {
    match e.kind() {
        io::ErrorKind::TimedOut => Loss::Unanswered,
        _ => Loss::Refused,
    }
}
