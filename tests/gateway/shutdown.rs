//! Shutdown of a gateway on SIGTERM.

use http::{Method, StatusCode};
use http_body_util::BodyExt;

use stand_in::gateway::upstream::EVENTS_PER_STREAM;

use crate::harness::{Gateway, Harness, plain, stream, wait_until};

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
