//! The client of the platform's table against the stand-in table.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use platform::{
    EraTracker, RowVersion,
    table::{Row, Step, TableClient, TableErrorCause, Transaction, TransactionOutcome},
    version::EraError,
};
use serde_json::json;
use tokio::net::TcpListener;

use stand_in::gateway::table::{FakeTable, Fault};

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// A version of the stand-in's first era.
fn version(number: u64) -> RowVersion {
    RowVersion { era: 1, number }
}

#[tokio::test]
async fn read_pages_through_all_rows() {
    let table = FakeTable::spawn().await;
    for i in 0..1_201 {
        table.put("servers", &format!("a/{i:05}"), &json!(i));
    }
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let rows = client.read("servers", TIMEOUT).await.expect("answered");
    assert_eq!(rows.rows.len(), 1_201);
    assert_eq!(rows.version, version(1_201));
    assert_eq!(table.calls(), 3);
}

#[tokio::test]
async fn changes_include_writes_and_removals() {
    let table = FakeTable::spawn().await;
    table.put("op", "config", &json!(1));
    let mut client = TableClient::open(table.address(), EraTracker::default());
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
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let polling = client.changes("op", version(0), TIMEOUT, TIMEOUT);
    let writing = async { table.put("op", "config", &json!(1)) };
    let (changes, ()) = tokio::join!(polling, writing);
    assert_eq!(changes.expect("answered").rows.len(), 1);
}

#[tokio::test]
async fn changes_after_pruned_history_fail() {
    let table = FakeTable::spawn().await;
    table.put("op", "config", &json!(1));
    table.compact();
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let e = client
        .changes("op", version(0), SHORT_WAIT, TIMEOUT)
        .await
        .expect_err("too old");
    assert!(matches!(e.cause, TableErrorCause::HistoryGone), "{e}");
}

#[tokio::test]
async fn silent_table_times_out() {
    let table = FakeTable::spawn().await;
    table.set_fault(Fault::Silent);
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let e = client
        .changes("op", version(0), SHORT_WAIT, SHORT_WAIT)
        .await
        .expect_err("silent");
    assert!(matches!(e.cause, TableErrorCause::Timeout(_)), "{e}");
    assert_eq!((e.step, e.peer), (Step::Call, table.address()));
    table.set_fault(Fault::None);
    client
        .changes("op", version(0), SHORT_WAIT, TIMEOUT)
        .await
        .expect("a new connection");
}

#[tokio::test]
async fn call_fails_when_table_is_busy() {
    let table = FakeTable::spawn().await;
    table.set_fault(Fault::Busy);
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let e = client.read("op", TIMEOUT).await.expect_err("busy");
    assert!(
        matches!(e.cause, TableErrorCause::Status(status) if status == 429),
        "{e}"
    );
}

#[tokio::test]
async fn transaction_requires_its_conditions() {
    let table = FakeTable::spawn().await;
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let row = Row::new("owner", b"me".to_vec());
    let write = Transaction::default()
        .expect("own", "owner", RowVersion::default())
        .put("own", &row);
    assert_eq!(
        client.transact(&write, TIMEOUT).await.expect("decided"),
        TransactionOutcome::Written(version(1))
    );
    assert_eq!(
        client.transact(&write, TIMEOUT).await.expect("decided"),
        TransactionOutcome::ConditionFailed
    );
    let next = Transaction::default()
        .expect("own", "owner", version(1))
        .remove("own", "owner");
    assert_eq!(
        client.transact(&next, TIMEOUT).await.expect("decided"),
        TransactionOutcome::Written(version(2))
    );
}

/// A write whose response is lost may have been applied; its condition prevents a repeat from
/// applying it twice.
#[tokio::test]
async fn transaction_with_lost_response() {
    let table = FakeTable::spawn().await;
    table.set_fault(Fault::LostAnswers);
    let mut client = TableClient::open(table.address(), EraTracker::default());
    let row = Row::new("owner", b"me".to_vec());
    let write = Transaction::default()
        .expect("own", "owner", RowVersion::default())
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

/// Numbers are assigned again after a restore, so changes after a number of an earlier era would miss
/// rows.
#[tokio::test]
async fn changes_across_a_restore_require_a_full_read() {
    let table = FakeTable::spawn().await;
    table.put("op", "config", &json!(1));
    let copy = table.copy();
    let mut client = TableClient::open(table.address(), EraTracker::default());
    table.put("op", "config", &json!(2));
    let before = client.read("op", TIMEOUT).await.expect("answered");
    table.restore(&copy);
    for n in 0..3 {
        table.put("op", &format!("other/{n}"), &json!(n));
    }
    let e = client
        .changes("op", before.version, SHORT_WAIT, TIMEOUT)
        .await
        .expect_err("another era");
    assert!(matches!(e.cause, TableErrorCause::HistoryGone), "{e}");
    let after = client.read("op", TIMEOUT).await.expect("answered");
    assert_eq!(after.version, RowVersion { era: 2, number: 4 });
    assert!(after.version > before.version && after.rows.len() == 4);
}

#[tokio::test]
async fn response_of_an_earlier_or_invalid_era_is_not_used() {
    let table = FakeTable::spawn().await;
    let era = EraTracker::default();
    let mut client = TableClient::open(table.address(), era.clone());
    client.read("op", TIMEOUT).await.expect("answered");
    for (announced, expected) in [
        (None, EraError::Missing),
        (Some("soon"), EraError::Invalid("soon".into())),
        (Some("-1"), EraError::Invalid("-1".into())),
        (Some("0"), EraError::Older(0, 1)),
    ] {
        table.announce_era(announced);
        let e = client
            .read("op", TIMEOUT)
            .await
            .expect_err("an invalid era");
        assert!(
            matches!(&e.cause, TableErrorCause::Era(cause) if *cause == expected),
            "{announced:?}: {e}"
        );
    }
    assert_eq!(era.current(), 1);
}

#[tokio::test]
async fn era_is_learned_from_failures() {
    let table = FakeTable::spawn().await;
    let era = EraTracker::default();
    let mut client = TableClient::open(table.address(), era.clone());
    table.restore(&table.copy());
    table.set_fault(Fault::Busy);
    client.read("op", TIMEOUT).await.expect_err("busy");
    assert_eq!(era.current(), 2);
}

/// Answers each call with this page of rows.
async fn spawn_page(page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = service_fn(async |_| {
                let page = Full::new(Bytes::from_static(page.as_bytes()));
                Ok::<_, Infallible>(Response::new(page))
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), answer));
        }
    });
    address
}

/// A row that could not be read failed the read of all rows, again and again.
#[tokio::test]
async fn unreadable_rows_do_not_hide_the_others() {
    let page = r#"{"ver":9,"now_ms":5,"rows":[
        {"part":"","key":"a","value":"YQ==","ver":1},
        {"part":"","key":"no-base64","value":"***","ver":2},
        {"part":"","key":"value-is-a-number","value":7,"ver":3},
        {"part":"","key":"version-is-text","value":"Yg==","ver":"4"},
        {"part":"","key":"removed","deleted":true,"ver":5},
        {"part":"","key":"nested","value":[[[[1e400]]]],"ver":6},
        {"part":"","value":"no key","ver":7},
        [], 7, null, "text",
        {"part":"other","key":"other","value":"YQ==","ver":8},
        {"part":"","key":"z","value":"eg==","ver":9}]}"#;
    let address = spawn_page(page).await;
    let mut client = TableClient::open(address, EraTracker::default());
    let rows = client.read("servers", TIMEOUT).await.expect("answered");
    let read: Vec<(&str, Option<&[u8]>, u64)> = rows
        .rows
        .iter()
        .map(|row| (row.key.as_str(), row.value.as_deref(), row.version.number))
        .collect();
    assert_eq!(
        read,
        [
            ("a", Some(&b"a"[..]), 1),
            ("no-base64", Some(&b""[..]), 2),
            ("value-is-a-number", Some(&b""[..]), 9),
            ("version-is-text", Some(&b""[..]), 9),
            ("removed", None, 5),
            ("nested", Some(&b""[..]), 9),
            ("z", Some(&b"z"[..]), 9),
        ]
    );
}

/// The next page cannot be asked for after a page without a key; it must not be asked for again and again.
#[tokio::test]
async fn page_without_a_key_fails_the_read() {
    let address = spawn_page(r#"{"ver":9,"rows":[{"ver":1}],"has_more":true}"#).await;
    let mut client = TableClient::open(address, EraTracker::default());
    let e = client.read("servers", TIMEOUT).await.expect_err("no key");
    assert!(matches!(e.cause, TableErrorCause::NoKey), "{e}");
}
