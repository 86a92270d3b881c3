//! A table that is restored from an older copy.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use stand_in::gateway::{caller, deployment::configuration};

use crate::harness::{Call, Harness, plain, wait_until};

/// Time after a restore in which the calls to the table are counted.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Calls in that time: each of two tables is polled every 3 s and read at most twice by each of two
/// pollers, and each daemon may register once.
const MAX_CALLS: u64 = 20;

fn look(id: &str, key: &str) -> Call {
    Call {
        headers: caller::headers(id, key, 4_000),
        ..plain(id, Method::GET, "/look/1")
    }
}

/// The daemons called the table without a pause, 440 times in 5 s, and wrote nothing again.
#[tokio::test(flavor = "multi_thread")]
async fn restored_table_is_read_once_and_its_lost_records_are_written_again() {
    let harness = Harness::spawn(2).await;
    let daemons = ["daemon/front-1", "daemon/front-2"];
    let empty = harness.table.copy_without("hibiscusyoke");
    harness.table.restore(&empty);
    let before = harness.table.calls();
    tokio::time::sleep(SETTLE_TIME).await;
    let calls = harness.table.calls() - before;
    assert!(calls <= MAX_CALLS, "{calls} calls");
    for daemon in daemons {
        assert!(
            harness.table.get("hibiscusyoke", daemon).is_some(),
            "{daemon}"
        );
    }
    let log = harness.gateways[0].log();
    assert!(log.contains("event=table_restored era=2"), "{log}");
}

/// A key that was revoked after the copy was made stays revoked, and one that was added stays valid,
/// also for a daemon that starts before operators have written the configuration again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_does_not_go_back_with_the_table() {
    let mut harness = Harness::spawn(2).await;
    let copy = harness.table.copy();
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.call(&look("a", "k2")).await.status == StatusCode::OK })
            .await;
    }
    harness.table.restore(&copy);
    harness.start_gateway();
    let [first, _, started] = &harness.gateways[..] else {
        panic!("three gateways");
    };
    wait_until(|| async { first.log().contains("event=table_restored") }).await;
    wait_until(|| async { started.is_ready().await }).await;
    for (n, gateway) in harness.gateways.iter().enumerate() {
        for (key, status) in [("k1", StatusCode::UNAUTHORIZED), ("k2", StatusCode::OK)] {
            let reply = gateway.call(&look(&format!("{key}-{n}"), key)).await;
            assert_eq!(reply.status, status, "{key} at gateway {n}");
        }
    }
    harness
        .table
        .put("op", "config", &configuration(3, &["k3"]));
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.call(&look("c", "k3")).await.status == StatusCode::OK })
            .await;
    }
}

/// An evacuation that the copy lacks stays in force until operators have had time to order it again.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_is_carried_over_a_restore() {
    let harness = Harness::spawn(1).await;
    let copy = harness.table.copy();
    harness.table.put("op", "evacuate/a", &json!({}));
    let is_refused = || async {
        let reply = harness.call(&look("a", "k1")).await;
        reply.status == StatusCode::SERVICE_UNAVAILABLE
    };
    wait_until(is_refused).await;
    harness.table.restore(&copy);
    wait_until(|| async {
        harness.gateways[0]
            .log()
            .contains("event=rows_carried_over")
    })
    .await;
    assert!(is_refused().await);
    // It is not ordered again, so it ends.
    wait_until(|| async { !is_refused().await }).await;
}
