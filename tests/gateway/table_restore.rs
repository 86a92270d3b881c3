//! A table that is restored from an older copy.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use soak::proxy::{LinkState, Proxy};
use stand_in::gateway::{
    caller,
    deployment::configuration,
    table::{FakeTable, Fault, TableCopy},
    upstream::FakeUpstream,
};

use crate::harness::{Call, Harness, plain, wait_until};

/// Time after a restore in which the calls to the table are counted.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Full reads of each table in that time: at most two by each of two pollers.
const MAX_READS: u64 = 4;
/// Other calls in that time: each of two tables is polled every 1.8 s by each of two pollers, which is three
/// times, and once more to take its turn; each daemon may read the records and register once.
const MAX_OTHER_CALLS: u64 = 20;
/// Tables that daemons follow.
const FOLLOWED: [&str; 2] = ["op", "servers"];

/// Counts of calls to the table since a moment.
struct CallCounts {
    reads: [u64; 2],
    calls: u64,
}

impl CallCounts {
    fn of(table: &FakeTable) -> Self {
        Self {
            reads: FOLLOWED.map(|name| table.reads(name)),
            calls: table.calls(),
        }
    }

    /// Asserts that the calls since then are as few as daemons need.
    fn check(&self, table: &FakeTable) {
        let now = Self::of(table);
        let mut others = now.calls - self.calls;
        for ((table, before), after) in FOLLOWED.iter().zip(self.reads).zip(now.reads) {
            let reads = after - before;
            assert!(reads <= MAX_READS, "{reads} reads of {table}");
            others -= reads;
        }
        assert!(others <= MAX_OTHER_CALLS, "{others} other calls");
    }
}

/// Starts gateways of a fleet that ran before, which read the table in turns.
async fn spawn(gateways: usize) -> Harness {
    Harness::spawn_with(gateways, |_, settings| set_restarted(settings)).await
}

fn set_restarted(settings: &mut Value) {
    settings["bootstrap"] = json!(false);
}

fn look(id: &str, key: &str) -> Call {
    Call {
        headers: caller::headers(id, key, 4_000),
        ..plain(id, Method::GET, "/look/1")
    }
}

/// The daemons called the table without a pause, 440 times in 5 s, and wrote nothing again.
#[tokio::test(flavor = "multi_thread")]
async fn restored_table_is_read_once_and_its_lost_records_are_written_again() {
    let harness = spawn(2).await;
    let daemons = ["daemon/front-1", "daemon/front-2"];
    let empty = harness.table.copy_without("hibiscusyoke");
    harness.table.restore(&empty);
    let before = CallCounts::of(&harness.table);
    tokio::time::sleep(SETTLE_TIME).await;
    before.check(&harness.table);
    for (daemon, gateway) in daemons.iter().zip(&harness.gateways) {
        assert!(
            harness.table.get("hibiscusyoke", daemon).is_some(),
            "{daemon}: {}",
            gateway.log()
        );
    }
    let log = harness.gateways[0].log();
    assert!(log.contains("event=table_restored era=2"), "{log}");
}

/// A key that was revoked after the copy was made stays revoked, and one that was added stays valid,
/// also for a daemon that starts before operators have written the configuration again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_does_not_go_back_with_the_table() {
    let mut harness = spawn(2).await;
    let copy = harness.table.copy();
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.call(&look("a", "k2")).await.status == StatusCode::OK })
            .await;
    }
    harness.table.restore(&copy);
    harness.start_gateway_with(set_restarted);
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
    let harness = spawn(1).await;
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

/// Whatever the age of the copy, a revoked key, an evacuation and a drain stay in force until operators
/// and upstreams have written them again, also at a daemon that cannot reach the table.
#[tokio::test(flavor = "multi_thread")]
async fn restore_1_s_back_keeps_what_is_in_force() {
    check_restore(Duration::from_secs(1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restore_3_s_back_keeps_what_is_in_force() {
    check_restore(Duration::from_secs(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restore_8_s_back_keeps_what_is_in_force() {
    check_restore(Duration::from_secs(8)).await;
}

async fn check_restore(copy_age: Duration) {
    let table = FakeTable::spawn().await;
    let proxy = Proxy::bind(table.address()).await.expect("a free port");
    let harness = Harness::spawn_at(table, 2, |n, settings| {
        set_restarted(settings);
        if n == 1 {
            settings["table"] = json!(proxy.address());
        }
    })
    .await;
    let p2 = harness.plain_upstreams()[1];
    harness.table.put("servers", "p2", &row_of(p2, "ready", 1));
    let copy = harness.table.copy();
    let write = |sequence: u64| {
        harness
            .table
            .put("servers", "p2", &row_of(p2, "draining", sequence));
        harness
            .table
            .put("op", "config", &configuration(2, &["k2"]));
        harness.table.put("op", "evacuate/b", &json!({}));
    };
    write(2);
    let written_at = tokio::time::Instant::now();
    for gateway in &harness.gateways {
        for event in ["upstream_draining", "generation=2", "evacuated domain=b"] {
            wait_until(|| async { gateway.log().contains(event) }).await;
        }
    }
    let runs = p2.runs().len();
    tokio::time::sleep_until(written_at + copy_age).await;
    proxy.set(LinkState::Silent);
    let before = CallCounts::of(&harness.table);
    harness.table.restore(&copy);
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().contains("event=table_restored era=2") }).await;
    }
    check_in_force(&harness).await;
    write(3);
    check_in_force(&harness).await;
    proxy.set(LinkState::Open);
    tokio::time::sleep(SETTLE_TIME).await;
    check_in_force(&harness).await;
    assert_eq!(p2.runs().len(), runs, "the drained upstream ran requests");
    before.check(&harness.table);
}

/// Checks what callers see of the changes that were made after the copy.
async fn check_in_force(harness: &Harness) {
    for (n, gateway) in harness.gateways.iter().enumerate() {
        for m in 0..4 {
            for (key, status) in [("k1", StatusCode::UNAUTHORIZED), ("k2", StatusCode::OK)] {
                let reply = gateway.call(&look(&format!("{key}-{n}-{m}"), key)).await;
                assert_eq!(reply.status, status, "{key} at gateway {n}");
            }
        }
        assert!(!gateway.log().contains("restored domain=b"), "gateway {n}");
    }
}

fn row_of(upstream: &FakeUpstream, state: &str, sequence: u64) -> Value {
    let mut row = upstream.row("desk", "v1");
    row["state"] = json!(state);
    row["sequence"] = json!(sequence);
    row
}

/// Starts a second gateway whose registration meets a fault; returns the table's copy from before.
async fn start_during(harness: &mut Harness, fault: Fault) -> TableCopy {
    let copy = harness.table.copy();
    harness.table.set_fault(fault);
    // It registers before it reads the records.
    harness.start_gateway_with(|settings| settings["bootstrap"] = json!(true));
    wait_until_registered(harness).await;
    copy
}

async fn wait_until_registered(harness: &Harness) {
    let table = &harness.table;
    wait_until(|| async { table.get("hibiscusyoke", "daemon/front-2").is_some() }).await;
}

/// A registration is lost with the table's state, before or after it was answered.
#[tokio::test(flavor = "multi_thread")]
async fn registration_that_a_restore_lost_is_written_again() {
    for fault in [Fault::LostAnswers, Fault::SilentReads] {
        let mut harness = spawn(1).await;
        let copy = start_during(&mut harness, fault).await;
        harness.table.restore(&copy);
        harness.table.set_fault(Fault::None);
        wait_until(|| async { harness.gateways[1].is_ready().await }).await;
        wait_until_registered(&harness).await;
    }
}
