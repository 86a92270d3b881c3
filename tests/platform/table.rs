//! The client of the platform's table against the stand-in table.

use std::time::Duration;

use platform::table::{Row, Step, TableClient, TableErrorCause, Transaction, TransactionOutcome};
use serde_json::json;

use stand_in::gateway::table::{FakeTable, Fault};

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_WAIT: Duration = Duration::from_millis(100);

#[tokio::test]
async fn read_pages_through_all_rows() {
    let table = FakeTable::spawn().await;
    for i in 0..1_201 {
        table.put("servers", &format!("a/{i:05}"), &json!(i));
    }
    let mut client = TableClient::open(table.address());
    let rows = client.read("servers", TIMEOUT).await.expect("answered");
    assert_eq!(rows.rows.len(), 1_201);
    assert_eq!(rows.version, 1_201);
    assert_eq!(table.calls(), 3);
}

#[tokio::test]
async fn changes_include_writes_and_removals() {
    let table = FakeTable::spawn().await;
    table.put("op", "config", &json!(1));
    let mut client = TableClient::open(table.address());
    let before = client.read("op", TIMEOUT).await.expect("answered");
    table.put("op", "rollout/pool", &json!(2));
    table.remove("op", "config");
    let changes = client
        .changes("op", before.version, SHORT_WAIT, TIMEOUT)
        .await
        .expect("answered");
    let seen: Vec<(&str, bool)> = changes
        .rows
        .iter()
        .map(|row| (row.key.as_str(), row.value.is_some()))
        .collect();
    assert_eq!(seen, [("rollout/pool", true), ("config", false)]);
}

#[tokio::test]
async fn changes_return_on_first_change() {
    let table = FakeTable::spawn().await;
    let mut client = TableClient::open(table.address());
    let polling = client.changes("op", 0, TIMEOUT, TIMEOUT);
    let writing = async { table.put("op", "config", &json!(1)) };
    let (changes, ()) = tokio::join!(polling, writing);
    assert_eq!(changes.expect("answered").rows.len(), 1);
}

#[tokio::test]
async fn changes_after_pruned_history_fail() {
    let table = FakeTable::spawn().await;
    table.put("op", "config", &json!(1));
    table.compact();
    let mut client = TableClient::open(table.address());
    let e = client
        .changes("op", 0, SHORT_WAIT, TIMEOUT)
        .await
        .expect_err("too old");
    assert!(matches!(e.cause, TableErrorCause::HistoryGone), "{e}");
}

#[tokio::test]
async fn silent_table_times_out() {
    let table = FakeTable::spawn().await;
    table.set_fault(Fault::Silent);
    let mut client = TableClient::open(table.address());
    let e = client
        .changes("op", 0, SHORT_WAIT, SHORT_WAIT)
        .await
        .expect_err("silent");
    assert!(matches!(e.cause, TableErrorCause::Timeout(_)), "{e}");
    assert_eq!((e.step, e.peer), (Step::Call, table.address()));
    table.set_fault(Fault::None);
    client
        .changes("op", 0, SHORT_WAIT, TIMEOUT)
        .await
        .expect("a new connection");
}

#[tokio::test]
async fn call_fails_when_table_is_busy() {
    let table = FakeTable::spawn().await;
    table.set_fault(Fault::Busy);
    let mut client = TableClient::open(table.address());
    let e = client.read("op", TIMEOUT).await.expect_err("busy");
    assert!(
        matches!(e.cause, TableErrorCause::Status(status) if status == 429),
        "{e}"
    );
}

#[tokio::test]
async fn transaction_requires_its_conditions() {
    let table = FakeTable::spawn().await;
    let mut client = TableClient::open(table.address());
    let row = Row::new("owner", b"me".to_vec());
    let write = Transaction::default()
        .expect("own", "owner", 0)
        .put("own", &row);
    assert_eq!(
        client.transact(&write, TIMEOUT).await.expect("decided"),
        TransactionOutcome::Written(1)
    );
    assert_eq!(
        client.transact(&write, TIMEOUT).await.expect("decided"),
        TransactionOutcome::ConditionFailed
    );
    let next = Transaction::default()
        .expect("own", "owner", 1)
        .remove("own", "owner");
    assert_eq!(
        client.transact(&next, TIMEOUT).await.expect("decided"),
        TransactionOutcome::Written(2)
    );
}

/// A write whose response is lost may have been applied; its condition prevents a repeat from
/// applying it twice.
#[tokio::test]
async fn transaction_with_lost_response() {
    let table = FakeTable::spawn().await;
    table.set_fault(Fault::LostAnswers);
    let mut client = TableClient::open(table.address());
    let row = Row::new("owner", b"me".to_vec());
    let write = Transaction::default()
        .expect("own", "owner", 0)
        .put("own", &row);
    client
        .transact(&write, TIMEOUT)
        .await
        .expect_err("no answer");
    assert_eq!(table.get("own", "owner").as_deref(), Some("me"));
    table.set_fault(Fault::None);
    assert_eq!(
        client.transact(&write, TIMEOUT).await.expect("decided"),
        TransactionOutcome::ConditionFailed
    );
}
