//! Billed once, with real processes; the fold of the table is the judge.

mod claims_process_support;
mod support;

use std::{collections::BTreeSet, time::Duration};

use claims_process_support::{LIMIT, assert_answers, billed, book, home_key, spawn};
use http::StatusCode;
use stand_in::control::{Control, Down, NextRequests};
use support::{
    caller::{Reply, chat},
    fleet::Fleet,
    process::Signal,
    wait_until,
};

const NO_WORK: Duration = Duration::ZERO;
/// The number of service calls and of completions whose answers a test counts.
const CALLS: usize = 15;

/// Sends calls and completions to one daemon; returns the keys of those answered whole.
async fn answered(fleet: &Fleet, number: usize, round: &str) -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    for call in 0..CALLS {
        let key = home_key(fleet, number, &format!("{round}-{call}")).await;
        let reply = book(fleet, number, &key).await.expect("a reply");
        assert_answers(&reply, &key);
        keys.insert(key);
        let key = format!("chat-{round}-{number}-{call}");
        let reply = complete(fleet, number, &key).await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        keys.insert(key);
    }
    keys
}

async fn complete(fleet: &Fleet, number: usize, key: &str) -> Reply {
    let call = chat("draft a report", false).header("idempotency-key", key);
    let reply = call.send(fleet.daemons[number].callers).await;
    reply.expect("a reply")
}

async fn assert_billed(fleet: &Fleet, keys: &BTreeSet<String>) {
    let expected = keys.len() as u64;
    assert_eq!(billed(fleet, expected).await.requests, expected);
}

#[tokio::test]
async fn daemon_killed_between_answer_and_flush() {
    let mut fleet = spawn(NO_WORK).await;
    fleet.table.tell(Control::Down { how: Down::Refuse }).await;
    let keys = answered(&fleet, 0, "1").await;
    fleet.daemons[0].process.kill();
    fleet.table.tell(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn lost_writes_and_repeats_elsewhere() {
    let fleet = spawn(NO_WORK).await;
    let next = NextRequests {
        count: 8,
        path: "/table/commit".into(),
    };
    fleet.table.tell(Control::LoseAnswers { next }).await;
    let mut keys = answered(&fleet, 0, "1").await;
    for key in &keys {
        for at in [1, 2] {
            let reply = if key.starts_with("chat") {
                complete(&fleet, at, key).await
            } else {
                book(&fleet, at, key).await.expect("a reply")
            };
            assert_eq!(reply.status, StatusCode::OK, "{key} {reply:?}");
        }
    }
    keys.extend(answered(&fleet, 2, "2").await);
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn frozen_owner_taken_for_dead_and_woken() {
    let fleet = spawn(NO_WORK).await;
    fleet.table.tell(Control::Down { how: Down::Refuse }).await;
    let mut keys = answered(&fleet, 0, "1").await;
    fleet.daemons[0].process.signal(Signal::Stop);
    fleet.table.tell(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
    fleet.daemons[0].process.signal(Signal::Continue);
    wait_until("the woken daemon serves", LIMIT, async || {
        let key = home_key(&fleet, 1, "woken").await;
        let reply = book(&fleet, 0, &key).await;
        let served = reply.is_some_and(|r| r.status == StatusCode::OK);
        if served {
            keys.insert(key);
        }
        served
    })
    .await;
    keys.extend(answered(&fleet, 0, "2").await);
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn planned_stop_in_an_outage() {
    let mut fleet = spawn(NO_WORK).await;
    fleet.table.tell(Control::Down { how: Down::Refuse }).await;
    let mut keys = answered(&fleet, 0, "1").await;
    fleet.daemons[0].stop(Duration::from_secs(60)).await;
    keys.extend(answered(&fleet, 1, "2").await);
    fleet.table.tell(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
}

#[tokio::test]
async fn table_down_for_a_minute_and_back() {
    let fleet = spawn(NO_WORK).await;
    fleet.table.tell(Control::Down { how: Down::Refuse }).await;
    let started = std::time::Instant::now();
    let mut keys = BTreeSet::new();
    let mut round = 0;
    while started.elapsed() < Duration::from_secs(60) {
        keys.extend(answered(&fleet, round % 3, &round.to_string()).await);
        round += 1;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    fleet.table.tell(Control::Heal).await;
    assert_billed(&fleet, &keys).await;
}
