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
/// Grace period that is shorter than the timeout of a request.
const SHORT_GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Maximum time to a refusal at once, or after the next check of a waiting request.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

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

/// Starts two gateways with a grace period that is shorter than the timeout of a request.
async fn spawn_with_short_grace_period() -> Harness {
    Harness::spawn_with(2, |_, settings| {
        settings["grace_period_s"] = SHORT_GRACE_PERIOD.as_secs().into();
    })
    .await
}

/// Stops the first gateway and waits until the other one no longer lists it.
async fn stop_first(harness: &Harness) {
    let leaving = harness.gateways[0].caller_address();
    harness.gateways[0].terminate();
    wait_until(|| async { !harness.gateways[1].directory().await.contains(&leaving) }).await;
}

/// Requests that may not be repeated were taken after the SIGTERM whatever their deadline, and cut without an answer
/// at the end of the grace period, though another daemon was ready for them.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_daemon_refuses_what_may_outlast_it_and_not_be_repeated() {
    let mut harness = spawn_with_short_grace_period().await;
    stop_first(&harness).await;
    let sent = Instant::now();
    let refused = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent.elapsed() < MAX_REFUSAL_TIME);
    assert_eq!(refused.headers["connection"], "close");
    assert_eq!(refused.headers["retry-after"], "0.000");
    let taken = [
        plain("l1", Method::GET, "/look/1"),
        Call {
            headers: caller::headers("b2", "k1", 1_000),
            ..plain("b2", Method::POST, "/book/1")
        },
    ];
    for call in &taken {
        assert_eq!(harness.call(call).await.status, StatusCode::OK, "{call:?}");
    }
    let runs = runs_by_id(&harness.plain_upstreams());
    assert_eq!((runs.get("b1"), runs.get("b2")), (None, Some(&1)));
    assert!(harness.gateways[0].wait_for_exit().await);
}

/// A request that waited for an upstream when its daemon was stopped was sent on later and cut at the end of the
/// grace period; one that was running then was cut without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_daemon_answers_what_it_had_taken() {
    let mut harness = spawn_with_short_grace_period().await;
    for upstream in harness.plain_upstreams() {
        upstream.set_slots(1);
        upstream.restart();
        upstream.set_behaviour(Behaviour::Hang);
        let row = upstream.row("desk", "v1");
        harness.table.put("servers", &upstream.id, &row);
    }
    let sees_slots = || async { harness.gateways[0].log().matches("\"slots\":1,").count() >= 2 };
    wait_until(sees_slots).await;
    let address = harness.gateways[0].caller_address();
    let requests: Vec<_> = (0..8)
        .map(|n| {
            let call = plain_with_id(format!("b{n}"));
            tokio::spawn(async move {
                let response = open(address, &call).await;
                (response.map(|r| r.status()), Instant::now())
            })
        })
        .collect();
    let log = || harness.gateways[0].log();
    let all_are_taken = || async {
        let waiting = log().matches("event=waiting id=b").count();
        waiting > 0 && waiting + log().matches("event=chosen id=b").count() == 8
    };
    wait_until(all_are_taken).await;
    let stopped = Instant::now();
    harness.gateways[0].terminate();
    let mut waited = 0;
    for (n, request) in requests.into_iter().enumerate() {
        let (status, answered_at) = request.await.expect("a caller");
        let after = answered_at.saturating_duration_since(stopped);
        let has_run = log().contains(&format!("event=chosen id=b{n} "));
        waited += usize::from(!has_run);
        match has_run {
            true => assert_eq!(
                status,
                Some(StatusCode::BAD_GATEWAY),
                "b{n} after {after:?}"
            ),
            false => {
                assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE), "b{n}");
                assert!(after < MAX_REFUSAL_TIME, "b{n} after {after:?}");
            }
        }
    }
    assert!(waited > 0, "some requests waited");
    assert!(harness.gateways[0].wait_for_exit().await);
    assert!(stopped.elapsed() < SHORT_GRACE_PERIOD);
}

fn plain_with_id(id: String) -> Call {
    Call {
        headers: caller::headers(&id, "k1", 4_000),
        ..plain("", Method::POST, "/book/1")
    }
}
