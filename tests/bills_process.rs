//! Each request is billed exactly once. Runs real processes and compares the invoice built from the
//! table with the requests sent.

mod claims_process_support;
mod support;

use std::{collections::BTreeSet, time::Duration};

use claims_process_support::{
    WAIT_TIMEOUT, assert_answered, book, home_key, spawn, wait_for_invoice,
};
use http::StatusCode;
use stand_in::control::{Control, Down, NextRequests};
use support::{
    caller::{Reply, chat},
    fleet::Fleet,
    process::Signal,
    wait_until,
};

const NO_WORK: Duration = Duration::ZERO;
/// Number of service requests, and of completions, that [`send_requests`] sends.
const REQUESTS_PER_KIND: usize = 15;

/// Sends service requests and completions to one daemon and returns their keys; all must succeed.
async fn send_requests(fleet: &Fleet, daemon_index: usize, round: &str) -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    for call in 0..REQUESTS_PER_KIND {
        let key = home_key(fleet, daemon_index, &format!("{round}-{call}")).await;
        let reply = book(fleet, daemon_index, &key).await.expect("a reply");
        assert_answered(&reply, &key);
        keys.insert(key);
        let key = format!("chat-{round}-{daemon_index}-{call}");
        let reply = send_completion(fleet, daemon_index, &key).await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        keys.insert(key);
    }
    keys
}

async fn send_completion(fleet: &Fleet, daemon_index: usize, key: &str) -> Reply {
    let call = chat("draft a report", false).header("idempotency-key", key);
    let reply = call.send(fleet.daemons[daemon_index].callers).await;
    reply.expect("a reply")
}

async fn assert_billed(fleet: &Fleet, keys: &BTreeSet<String>) {
    let expected = keys.len() as u64;
    assert_eq!(wait_for_invoice(fleet, expected).await.requests, expected);
}

#[tokio::test]
async fn daemon_killed_between_answer_and_flush() {
    let mut fleet = spawn(NO_WORK).await;
    fleet
        .table
        .send_control(Control::Down { how: Down::Refuse })
        .await;
    let keys = send_requests(&fleet, 0, "1").await;
    fleet.daemons[0].process.kill();
    fleet.table.send_control(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn lost_writes_and_retries_on_other_daemons() {
    let fleet = spawn(NO_WORK).await;
    let next = NextRequests {
        count: 8,
        path: "/table/commit".into(),
    };
    fleet
        .table
        .send_control(Control::LoseAnswers { next })
        .await;
    let mut keys = send_requests(&fleet, 0, "1").await;
    for key in &keys {
        for other in [1, 2] {
            let reply = if key.starts_with("chat") {
                send_completion(&fleet, other, key).await
            } else {
                book(&fleet, other, key).await.expect("a reply")
            };
            assert_eq!(reply.status, StatusCode::OK, "{key} {reply:?}");
        }
    }
    keys.extend(send_requests(&fleet, 2, "2").await);
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn frozen_owner_declared_dead_and_resumed() {
    let fleet = spawn(NO_WORK).await;
    fleet
        .table
        .send_control(Control::Down { how: Down::Refuse })
        .await;
    let mut keys = send_requests(&fleet, 0, "1").await;
    fleet.daemons[0].process.signal(Signal::Stop);
    fleet.table.send_control(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
    fleet.daemons[0].process.signal(Signal::Continue);
    wait_until(
        "the resumed daemon to serve requests",
        WAIT_TIMEOUT,
        async || {
            let key = home_key(&fleet, 1, "resumed").await;
            let reply = book(&fleet, 0, &key).await;
            let served = reply.is_some_and(|r| r.status == StatusCode::OK);
            if served {
                keys.insert(key);
            }
            served
        },
    )
    .await;
    keys.extend(send_requests(&fleet, 0, "2").await);
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn shutdown_during_table_outage() {
    let mut fleet = spawn(NO_WORK).await;
    fleet
        .table
        .send_control(Control::Down { how: Down::Refuse })
        .await;
    let mut keys = send_requests(&fleet, 0, "1").await;
    fleet.daemons[0].stop(Duration::from_secs(60)).await;
    keys.extend(send_requests(&fleet, 1, "2").await);
    fleet.table.send_control(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn table_outage_of_one_minute() {
    let fleet = spawn(NO_WORK).await;
    fleet
        .table
        .send_control(Control::Down { how: Down::Refuse })
        .await;
    let started = std::time::Instant::now();
    let mut keys = BTreeSet::new();
    let mut round = 0;
    while started.elapsed() < Duration::from_secs(60) {
        keys.extend(send_requests(&fleet, round % 3, &round.to_string()).await);
        round += 1;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    fleet.table.send_control(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
}
