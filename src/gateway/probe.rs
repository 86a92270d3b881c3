//! Probes whether this instance's links to upstreams work after a connection was lost or a silence.

use std::{io, net::IpAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use http::Request;
use platform::headers::headers_for_probe;

use crate::{
    coordination::dispatch::reachability::{Loss, ProbeTarget},
    gateway::{
        attempt::{self, AttemptError},
        metrics,
        shared::Shared,
    },
    transport::body_memory::HeldBody,
};

/// Time for an upstream to answer; sound ones answer such a request within 100 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two rounds of two probes, which bounds a daemon's probes to eight a second.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Probes upstreams from each lost connection or suspected silence until one answers.
pub async fn run(shared: Arc<Shared>) {
    loop {
        shared.connection_lost.notified().await;
        let mut is_needed = true;
        while is_needed {
            is_needed = probe_round(&shared).await;
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
        metrics::probe(result);
        shared
            .dispatcher()
            .probe_ended(&target.upstream, result, sent_at, now);
    }
    report_changes(shared);
    shared.dispatcher().needs_probes(shared.now())
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

/// Sends an upstream a request that it answers without running it. An open connection alone proves nothing,
/// as a proxy or a firewall may have accepted it.
async fn probe(local: IpAddr, target: &ProbeTarget) -> Result<(), Loss> {
    let mut request = Request::new(HeldBody::default().into());
    *request.headers_mut() = headers_for_probe(target.address, ANSWER_TIMEOUT);
    match attempt::send(local, target.address, request, ANSWER_TIMEOUT).await {
        Ok(_) => Ok(()),
        Err(AttemptError::Broken(e)) if e.is_parse() => Ok(()),
        Err(AttemptError::Unreachable(e)) => Err(loss(&e)),
        Err(AttemptError::Broken(_)) => Err(Loss::Broken),
        Err(AttemptError::TimedOut(_)) => Err(Loss::Silent),
    }
}

/// Returns how a connection was lost that could not be opened.
pub fn loss(e: &io::Error) -> Loss {
    match e.kind() {
        io::ErrorKind::TimedOut => Loss::Unanswered,
        _ => Loss::Refused,
    }
}
