//! Shutdown of a gateway on SIGTERM.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;

use stand_in::gateway::{
    caller,
    upstream::{Behaviour, EVENTS_PER_STREAM, FakeUpstream, runs_by_id},
};

use crate::harness::{Call, Gateway, Harness, open, plain, stream, wait_until};

/// Grace period of gateways that are kept running by a stream; shorter than the timeout of a request
/// that arrives when callers have had time to notice the shutdown.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_in_flight_requests() {
    let mut harness = Harness::spawn(2).await;
    let leaving = harness.gateways[0].caller_address();
    let response = harness.gateways[0].open(&stream("s1", "/ask/easy")).await;
    harness.gateways[0].terminate();
    wait_until(|| async { !harness.gateways[1].directory().await.contains(&leaving) }).await;
    assert!(!harness.gateways[0].is_ready().await);
    let late = harness.gateways[0]
        .call(&plain("l1", Method::GET, "/look/1"))
        .await;
    assert_eq!(
        late.status,
        StatusCode::OK,
        "callers that cached the address are served"
    );
    assert_eq!(late.headers["connection"], "close");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body")
        .to_bytes();
    let text = String::from_utf8(body.to_vec()).expect("text");
    assert_eq!(text.matches("id: ").count() as u64, EVENTS_PER_STREAM);
    assert!(harness.gateways[0].wait_for_exit().await);
}

/// When all daemons are stopped at the same time, callers still find one that serves them.
#[tokio::test(flavor = "multi_thread")]
async fn directory_lists_a_leaving_daemon_if_no_other_is_ready() {
    let mut harness = Harness::spawn(2).await;
    for gateway in &harness.gateways {
        gateway.terminate();
    }
    let addresses: Vec<_> = harness
        .gateways
        .iter()
        .map(Gateway::caller_address)
        .collect();
    for (gateway, address) in harness.gateways.iter().zip(&addresses) {
        wait_until(|| async { gateway.directory().await == [*address] }).await;
        let reply = gateway.call(&plain("l1", Method::GET, "/look/1")).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    for gateway in &mut harness.gateways {
        assert!(gateway.wait_for_exit().await);
    }
}

/// A stream keeps each of two daemons running that were stopped at the same time. Meanwhile they serve
/// what ends before they exit, and refuse the rest without running it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_daemon_serves_short_requests_while_no_other_is_ready() {
    let mut harness = Harness::spawn_with(2, |_, settings| {
        settings["grace_period_s"] = GRACE_PERIOD.as_secs().into();
    })
    .await;
    for engine in harness.engines() {
        engine.set_behaviour(Behaviour::Hang);
    }
    for gateway in &harness.gateways {
        let address = gateway.caller_address();
        tokio::spawn(async move { open(address, &stream("s1", "/ask/easy")).await });
    }
    let in_flight = || {
        harness
            .engines()
            .map(FakeUpstream::in_flight)
            .iter()
            .sum::<usize>()
    };
    wait_until(|| async { in_flight() == 2 }).await;
    for gateway in &harness.gateways {
        gateway.terminate();
    }
    let terminated = Instant::now();
    for gateway in &harness.gateways {
        let long = plain("b1", Method::POST, "/book/1");
        wait_until(|| async { gateway.call(&long).await.status != StatusCode::OK }).await;
        let refused = gateway.call(&plain("b2", Method::POST, "/book/1")).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(gateway.directory().await, [gateway.caller_address()]);
        let short = Call {
            headers: caller::headers("l1", "k1", 500),
            ..plain("l1", Method::GET, "/look/1")
        };
        assert_eq!(gateway.call(&short).await.status, StatusCode::OK);
    }
    assert_eq!(runs_by_id(&harness.plain_upstreams()).get("b2"), None);
    for gateway in &mut harness.gateways {
        assert!(gateway.wait_for_exit().await);
    }
    assert!(terminated.elapsed() < GRACE_PERIOD);
}
