//! Normal operation: requests of each kind and changes in the table.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;

use stand_in::gateway::{
    deployment::configuration,
    table::Fault,
    upstream::{EVENTS_PER_STREAM, runs_by_id},
};

use crate::harness::{Gateway, Harness, open, plain, stream, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_request_is_served_by_two_gateways() {
    let harness = Harness::spawn(2).await;
    for (gateway, n) in harness.gateways.iter().zip(1..) {
        let reply = gateway.call(&stream(&format!("s{n}"), "/ask/easy")).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(reply.headers["response-seal"], "s");
        assert_eq!(reply.body.matches("id: ").count() as u64, EVENTS_PER_STREAM);
        assert!(reply.body.contains("model=small"), "{}", reply.body);
        let reply = gateway
            .call(&plain(&format!("b{n}"), Method::POST, "/book/1"))
            .await;
        assert_eq!(
            (reply.status, reply.body),
            (StatusCode::OK, format!("answer to b{n}"))
        );
        let reply = gateway
            .call(&plain(&format!("l{n}"), Method::GET, "/look/1"))
            .await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(gateway.is_ready().await);
        assert!(
            gateway
                .metrics()
                .await
                .contains("hibiscusyoke_gateway_requests_total")
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hard_request_is_escalated_to_the_large_model() {
    let harness = Harness::spawn(1).await;
    let reply = harness.call(&stream("s1", "/ask/hard")).await;
    assert_eq!(
        reply.body.matches("model=large").count() as u64,
        EVENTS_PER_STREAM,
        "{}",
        reply.body
    );
    assert!(!reply.body.contains("model=small"));
    assert_eq!(runs_by_id(&harness.engines())["s1"], 2);
}

/// A change in the operators' table takes effect without a restart, also on daemons that do not poll
/// the table themselves.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_refused_by_all_gateways() {
    let harness = Harness::spawn(4).await;
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    for gateway in &harness.gateways {
        let refused = || async {
            let reply = gateway.call(&plain("b", Method::GET, "/look/1")).await;
            reply.status == StatusCode::UNAUTHORIZED
        };
        wait_until(refused).await;
    }
}

/// Daemons that do not poll the table receive its changes from those that do.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_send_table_changes_to_peers() {
    let harness = Harness::spawn(4).await;
    let generation = std::sync::atomic::AtomicU64::new(2);
    wait_until(|| async {
        let next = generation.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        harness
            .table
            .put("op", "config", &configuration(next, &["k1"]));
        let received_changes = |gateway: &crate::harness::Gateway| {
            gateway.log().contains("event=changes_told table=op")
        };
        harness
            .gateways
            .iter()
            .filter(|gateway| received_changes(gateway))
            .count()
            >= 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_new_requests() {
    let harness = Harness::spawn(1).await;
    let [e1, e2] = harness.engines();
    let mut row = e1.row("pool", "v1");
    row["state"] = "draining".into();
    harness.table.put("servers", "e1", &row);
    wait_until(|| async {
        harness.gateways[0]
            .log()
            .contains("event=upstream_draining upstream=e1")
    })
    .await;
    for n in 0..8 {
        harness.call(&stream(&format!("s{n}"), "/ask/easy")).await;
    }
    assert_eq!((e1.runs().len(), e2.runs().len()), (0, 8));
}

/// Each start made two full reads of the tables, which grew with the fleet. A daemon that does not
/// hear from a peer in time, such as on a busy machine, still reads them.
#[tokio::test(flavor = "multi_thread")]
async fn started_daemon_learns_the_tables_from_its_peers() {
    const MAX_STARTS: usize = 5;
    let mut harness = Harness::spawn(3).await;
    for _ in 0..MAX_STARTS {
        let before = ["op", "servers"].map(|table| harness.table.reads(table));
        harness.start_gateway();
        let started = harness.gateways.last().expect("started");
        wait_until(|| async { started.is_ready().await }).await;
        let reply = started.call(&plain("l1", Method::GET, "/look/1")).await;
        assert_eq!(reply.status, StatusCode::OK);
        if before == ["op", "servers"].map(|table| harness.table.reads(table)) {
            return;
        }
    }
    panic!("each start reads the tables: {}", harness.gateways[3].log());
}

/// A daemon that read the record of a completed rollout before its order started the rollout again,
/// and found no upstream of the old version.
#[tokio::test(flavor = "multi_thread")]
async fn completed_rollout_stays_completed_after_a_restart_of_all_daemons() {
    let mut harness = Harness::spawn(1).await;
    let order = json!({"service": "pool", "target": "v2", "duration_s": 3.0});
    harness.table.put("op", "rollout/pool", &order);
    for engine in harness.engines() {
        harness
            .table
            .put("servers", &engine.id, &engine.row("pool", "v2"));
    }
    let status = || {
        harness
            .table
            .get("status", "rollout/pool")
            .unwrap_or_default()
    };
    wait_until(|| async {
        harness.call(&stream("s0", "/ask/easy")).await;
        status().contains("completed")
    })
    .await;
    harness.gateways[0].terminate();
    assert!(harness.gateways[0].wait_for_exit().await);
    harness.start_gateway();
    let started = harness.gateways.last().expect("started");
    wait_until(|| async { started.is_ready().await }).await;
    let reply = started.call(&stream("s1", "/ask/easy")).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", started.log());
}

/// A daemon that had the tables from a peer first polled for 3 s. If the table did not answer just then,
/// the daemon learned too late of a change after the table's return.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_started_in_an_outage_learns_of_a_change_in_time() {
    const CONFIGURATION_APPLY_TIME: Duration = Duration::from_secs(2);
    let mut harness = Harness::spawn(2).await;
    harness.gateways[1].terminate();
    assert!(harness.gateways[1].wait_for_exit().await);
    harness.table.set_fault(Fault::SilentFeeds);
    wait_until(|| async { harness.gateways[0].log().matches("table_lost").count() == 2 }).await;
    harness.restart_gateway(1);
    wait_until(|| async { harness.gateways[1].log().contains("changes_told table=op") }).await;
    harness.table.set_fault(Fault::None);
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    let written_at = Instant::now();
    wait_until(|| async {
        harness.gateways[1]
            .log()
            .contains("configuration generation=2")
    })
    .await;
    let elapsed = written_at.elapsed();
    assert!(elapsed < CONFIGURATION_APPLY_TIME, "{elapsed:?}");
}

/// While the table discarded its history, all daemons fetched all orders after each read of a poller.
#[tokio::test(flavor = "multi_thread")]
async fn full_reads_without_news_are_not_told_to_peers() {
    const ROUNDS: u32 = 10;
    let harness = Harness::spawn(4).await;
    let told = |gateway: &Gateway| gateway.log().matches("changes_told table=op").count();
    let before: usize = harness.gateways.iter().map(told).sum();
    for round in 0..ROUNDS {
        let reads = harness.table.reads("op");
        harness.table.put("other", "row", &json!(round));
        harness.table.compact();
        wait_until(|| async { harness.table.reads("op") > reads }).await;
    }
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().contains("configuration generation=2") }).await;
    }
    let after: usize = harness.gateways.iter().map(told).sum();
    assert!(
        after - before <= harness.gateways.len(),
        "{}",
        after - before
    );
}

/// Callers connect as soon as a restarted gateway listens, before it has read the tables.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_a_gateway_that_just_started_waits_for_the_tables() {
    let mut harness = Harness::spawn(1).await;
    harness.gateways[0].signal("KILL");
    assert!(!harness.gateways[0].wait_for_exit().await);
    harness.restart_gateway(0);
    let address = harness.gateways[0].caller_address();
    let look = plain("l1", Method::GET, "/look/1");
    let response = loop {
        if let Some(response) = open(address, &look).await {
            break response;
        }
    };
    assert_eq!(response.status(), StatusCode::OK);
}

/// If the tables cannot be read, requests wait only right after the start.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_tables_is_refused_soon_after_the_start() {
    const MAX_WAIT: Duration = Duration::from_secs(1);
    const MAX_LATER_WAIT: Duration = Duration::from_millis(200);
    let mut harness = Harness::spawn(1).await;
    harness.table.set_fault(Fault::Silent);
    harness.gateways[0].signal("KILL");
    assert!(!harness.gateways[0].wait_for_exit().await);
    harness.restart_gateway(0);
    let address = harness.gateways[0].caller_address();
    let look = plain("l1", Method::GET, "/look/1");
    for max_wait in [MAX_WAIT, MAX_LATER_WAIT] {
        let (sent_at, response) = loop {
            let sent_at = Instant::now();
            if let Some(response) = open(address, &look).await {
                break (sent_at, response);
            }
        };
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key("retry-after"));
        let elapsed = sent_at.elapsed();
        assert!(elapsed < max_wait, "{elapsed:?}");
    }
}
