//! Upstreams that crash if they must refuse too many requests in a second, and say so.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use stand_in::gateway::upstream::Behaviour;

use crate::harness::{Harness, plain, wait_until};

/// Number of refusals in a second that an upstream bears.
const MAX_REFUSALS: u32 = 3;
/// Number of requests that an upstream runs at a time.
const SLOTS: usize = 3;
/// Number of callers that send one request after the other to each gateway.
const CALLERS: usize = 8;
/// Time from the first answer until an upstream must be spared.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent after that.
const BRITTLE_TIME: Duration = Duration::from_secs(5);
/// Pause of a caller after a refusal.
const CALLER_PAUSE: Duration = Duration::from_millis(30);

/// Sends requests through all gateways at the same time until `end`; returns how many were served.
async fn overload(harness: &Harness, end: Instant) -> usize {
    let callers = (0..CALLERS).flat_map(|n| harness.gateways.iter().map(move |g| (n, g)));
    let served = callers.map(|(n, gateway)| async move {
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            sent += 1;
            let id = format!("{}-{n}-{sent}-{:?}", gateway.caller_address(), end);
            let reply = gateway.call(&plain(&id, Method::GET, "/look/1")).await;
            match reply.status {
                StatusCode::OK => served += 1,
                _ => tokio::time::sleep(CALLER_PAUSE).await,
            }
        }
        served
    });
    futures::future::join_all(served).await.into_iter().sum()
}

/// The daemons filled the slots together and made brittle upstreams crash again and again.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstreams_do_not_crash_under_overload() {
    let harness = Harness::spawn(3).await;
    for upstream in harness.plain_upstreams() {
        upstream.set_slots(SLOTS);
        upstream.restart();
        upstream.set_behaviour(Behaviour::Brittle(MAX_REFUSALS));
        harness
            .table
            .put("servers", &upstream.id, &upstream.row("desk", "v1"));
    }
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().matches("\"slots\":3").count() == 2 }).await;
    }
    let from = Instant::now() + CONTACT_TIME;
    overload(&harness, from).await;
    let served = overload(&harness, from + BRITTLE_TIME).await;
    let crashes = harness
        .plain_upstreams()
        .iter()
        .flat_map(|upstream| upstream.crashes())
        .filter(|at| *at >= from)
        .count();
    assert!(crashes <= 2, "{crashes} crashes, {served} served");
    // Six slots of 60 ms each run 500 requests in five seconds.
    assert!(served >= 200, "{served} served");
}
