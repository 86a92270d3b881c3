//! Daemons whose connections to upstreams are accepted but carry no data.
//!
//! The failure was found on a fleet of three: one or two of the daemons served none of their callers'
//! first attempts as long as the fault lasted, as an open connection was taken for a working link.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use stand_in::gateway::upstream::{Behaviour, runs_by_id};
use tokio::task::JoinSet;

use crate::harness::{Call, Gateway, Harness, open, plain, stream, wait_until};

/// Time from the onset until callers of a cut daemon must be served like others (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time for which requests are counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Time from the end until all daemons serve for themselves again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Interval between two requests to each daemon; they do not wait for each other.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Least share of the rate at which other daemons serve first attempts.
const MIN_SERVED_SHARE: f64 = 0.95;

/// The `n`-th request to a daemon.
fn call(prefix: &str, n: usize) -> Call {
    let id = format!("{prefix}-{n}");
    match n % 4 {
        0 => stream(&id, "/ask/easy"),
        1 => plain(&id, Method::POST, "/book/1"),
        2 => stream(&id, "/ask/hard"),
        _ => plain(&id, Method::GET, "/look/1"),
    }
}

/// Sends requests to a gateway for a time, without waiting for the answers of earlier ones; returns the
/// share that was served.
async fn served_share(gateway: &Gateway, time: Duration, prefix: &str) -> f64 {
    let address = gateway.caller_address();
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    while Instant::now() < end {
        let call = call(prefix, calls.len());
        calls.spawn(async move {
            let Some(response) = open(address, &call).await else {
                return false;
            };
            let is_success = response.status() == StatusCode::OK;
            let body = http_body_util::BodyExt::collect(response.into_body()).await;
            is_success && body.is_ok()
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let served = calls.join_all().await;
    let count = served.iter().filter(|served| **served).count();
    count as f64 / served.len() as f64
}

/// Sends requests to all gateways for a time; returns the served shares.
async fn served_shares(harness: &Harness, time: Duration, prefix: &str) -> Vec<f64> {
    let shares = harness.gateways.iter().enumerate().map(|(n, gateway)| {
        let prefix = format!("{prefix}-{n}");
        async move { served_share(gateway, time, &prefix).await }
    });
    futures::future::join_all(shares).await
}

/// Returns how many requests a gateway has served for other daemons.
async fn delegated(gateway: &Gateway) -> usize {
    let metrics = gateway.metrics().await;
    let lines = metrics
        .lines()
        .filter(|l| l.starts_with("hibiscusyoke_gateway_delegated_requests_total"));
    let counts = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    counts.sum::<f64>() as usize
}

/// The ids of non-idempotent requests that ran more than once.
fn repeated_bookings(harness: &Harness) -> BTreeMap<String, usize> {
    let upstreams: Vec<_> = harness.upstreams.iter().collect();
    let bookings: Vec<String> = upstreams
        .iter()
        .flat_map(|upstream| upstream.runs())
        .filter(|run| run.headers.get("request-id").is_some())
        .map(|run| run.id)
        .collect();
    let is_booking = |id: &str| {
        let n = id.rsplit('-').next().and_then(|n| n.parse::<usize>().ok());
        n.is_some_and(|n| n % 4 == 1)
    };
    let mut runs = runs_by_id(&upstreams);
    runs.retain(|id, n| bookings.contains(id) && is_booking(id) && *n > 1);
    runs
}

/// Silences the links of the first `cut` of three daemons and checks the bounds during and after the fault.
async fn check_silent_links(cut: usize) {
    let harness = Harness::spawn(3).await;
    served_shares(&harness, Duration::from_secs(1), "before").await;
    for gateway in 0..cut {
        harness.silence(gateway);
    }
    served_shares(&harness, CONTACT_TIME, "early").await;
    let shares = served_shares(&harness, COUNTED_TIME, "cut").await;
    let others = shares[cut..].iter().sum::<f64>() / (3 - cut) as f64;
    assert!(others >= MIN_SERVED_SHARE, "{shares:?}");
    for share in &shares[..cut] {
        assert!(*share >= MIN_SERVED_SHARE * others, "{shares:?}");
    }
    for gateway in 0..cut {
        harness.reconnect(gateway);
    }
    served_shares(&harness, RECOVERY_TIME, "end").await;
    let before = futures::future::join_all(harness.gateways.iter().map(delegated)).await;
    let shares = served_shares(&harness, Duration::from_secs(2), "after").await;
    let after = futures::future::join_all(harness.gateways.iter().map(delegated)).await;
    assert_eq!(before, after, "requests are still delegated");
    assert!(shares.iter().all(|s| *s >= MIN_SERVED_SHARE), "{shares:?}");
    assert_eq!(repeated_bookings(&harness), BTreeMap::new());
    for gateway in &harness.gateways {
        let log = gateway.log();
        for event in ["event=upstream_presumed_cold", "event=upstream_crashed"] {
            assert!(!log.contains(event), "{log}");
        }
    }
}

/// A daemon whose links carry no data served none of its callers.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_of_three_daemons_with_silent_links_are_served() {
    check_silent_links(1).await;
}

/// The same for two of three daemons, which must not delegate to each other.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_two_of_three_daemons_with_silent_links_are_served() {
    check_silent_links(2).await;
}

/// Guards against taking busy or slow upstreams for a loss of this daemon's links.
async fn check_no_cut_off(harness: &Harness) {
    let shares = served_shares(harness, Duration::from_secs(8), "slow").await;
    assert!(shares.iter().all(|s| *s > 0.0), "{shares:?}");
    for gateway in &harness.gateways {
        let log = gateway.log();
        assert!(!log.contains("event=upstreams_lost"), "{log}");
        assert_eq!(delegated(gateway).await, 0);
    }
}

/// One upstream that never answers is not a loss of the links.
#[tokio::test(flavor = "multi_thread")]
async fn one_slow_upstream_is_not_taken_for_a_cut() {
    let harness = Harness::spawn(3).await;
    harness.upstreams[0].set_behaviour(Behaviour::Hang);
    check_no_cut_off(&harness).await;
}

/// Engines whose first events take seconds are not a loss of the links.
#[tokio::test(flavor = "multi_thread")]
async fn service_that_is_busy_with_long_prompts_is_not_taken_for_a_cut() {
    let harness = Harness::spawn(3).await;
    for engine in harness.engines() {
        engine.set_behaviour(Behaviour::SilentFor(3_000));
    }
    check_no_cut_off(&harness).await;
}

/// The same while only one of the daemons has callers, and they use no other service.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_callers_of_one_daemon_wait_for_long_prompts() {
    let harness = Harness::spawn(3).await;
    for engine in harness.engines() {
        engine.set_behaviour(Behaviour::SilentFor(3_000));
    }
    let gateway = &harness.gateways[0];
    let calls = (0..4).map(|n| async move {
        tokio::time::sleep(Duration::from_millis(700 * n)).await;
        let call = stream(&format!("long-{n}"), "/ask/easy");
        open(gateway.caller_address(), &call).await
    });
    futures::future::join_all(calls).await;
    let log = gateway.log();
    assert!(!log.contains("event=upstreams_lost"), "{log}");
}

/// Without traffic and faults, no upstream gets a connection that no caller caused.
#[tokio::test(flavor = "multi_thread")]
async fn calm_daemons_send_no_probes() {
    let harness = Harness::spawn(2).await;
    served_shares(&harness, Duration::from_secs(2), "calm").await;
    wait_until(|| async { harness.upstreams.iter().all(|u| u.in_flight() == 0) }).await;
    for gateway in &harness.gateways {
        let metrics = gateway.metrics().await;
        let sent = metrics
            .lines()
            .filter(|l| l.starts_with("hibiscusyoke_gateway_probes_total"))
            .any(|l| !l.ends_with(" 0"));
        assert!(!sent, "{metrics}");
    }
}
