//! Bills of service calls through three daemons, checked against the invoice built from the table.

mod claims_fleet;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use claims_fleet::{Fleet, wait_until};
use futures::future::join_all;
use hibiscusyoke::{coordination::membership::MemberState, protocol::problem::RefusalKind};
use stand_in::control::{Control, Down, NextRequests};

const NO_WORK: Duration = Duration::ZERO;

#[tokio::test]
async fn bills_survive_owner_killed_before_flush() {
    let mut fleet = Fleet::spawn(NO_WORK).await;
    fleet.control_table(&Control::Down { how: Down::Refuse });
    let keys: Vec<_> = (0..30).map(|n| fleet.home_key(0, &n.to_string())).collect();
    let calls = keys.iter().map(|key| fleet.intake(0, key));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    fleet.daemons[0].kill();
    fleet.set_member_state(0, MemberState::Dead);
    fleet.restore_table().await;
    let total = fleet.wait_for_billed_requests(keys.len() as u64).await;
    assert_eq!(total.requests, keys.len() as u64);
}

#[tokio::test]
async fn lost_writes_and_repeats_at_other_daemons_are_billed_once() {
    let fleet = Fleet::spawn(NO_WORK).await;
    fleet.control_table(&Control::LoseAnswers {
        next: NextRequests {
            count: 6,
            path: "/table/commit".into(),
        },
    });
    let mut answered = BTreeSet::new();
    for round in 0..4 {
        let keys: Vec<String> = (0..30).map(|n| format!("/timetable/{n}")).collect();
        let calls = keys.iter().enumerate();
        let calls = calls.map(|(n, key)| fleet.send((n + round) % 3, "GET", key, "", Some(key)));
        for (outcome, key) in join_all(calls).await.iter().zip(&keys) {
            assert!(outcome.is_ok(), "{outcome:?}");
            answered.insert(key.clone());
        }
    }
    for daemon in &fleet.daemons {
        assert_eq!(daemon.billing.drain().await, 0);
    }
    let total = fleet.wait_for_billed_requests(answered.len() as u64).await;
    assert_eq!(total.requests, answered.len() as u64);
}

#[tokio::test]
async fn table_outage_delays_bills_and_loses_none() {
    let fleet = Fleet::spawn(NO_WORK).await;
    fleet.control_table(&Control::Down { how: Down::Refuse });
    let mut answered = BTreeSet::new();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        for index in 0..3 {
            let key = format!("lookup-{}", answered.len());
            let lookup = fleet.send(index, "GET", "/timetable", "", Some(&key));
            assert!(lookup.await.is_ok(), "{key}");
            answered.insert(key);
            let key = fleet.home_key(0, &answered.len().to_string());
            assert!(fleet.intake(index, &key).await.is_ok(), "{key}");
            answered.insert(key.into());
        }
    }
    fleet.restore_table().await;
    for daemon in &fleet.daemons {
        assert_eq!(daemon.billing.drain().await, 0);
    }
    let total = fleet.wait_for_billed_requests(answered.len() as u64).await;
    assert_eq!(total.requests, answered.len() as u64);
}

#[tokio::test]
async fn daemon_without_peers_and_table_refuses_work() {
    let mut fleet = Fleet::spawn(NO_WORK).await;
    fleet.control_table(&Control::Down { how: Down::Refuse });
    fleet.daemons[1].kill();
    fleet.daemons[2].kill();
    let first = fleet.send(0, "GET", "/timetable", "", None).await;
    let refusal = first.expect_err("an answer whose bill is not durable must not be returned");
    assert_eq!(refusal.kind, RefusalKind::NotReady);
    let billing = &fleet.daemons[0].billing;
    wait_until("new work is refused", || billing.may_take_work().is_err()).await;
    fleet.restore_table().await;
    let configuration = &fleet.daemons[0].configuration;
    let ready = || billing.may_take_work().is_ok() && configuration.readiness().is_ok();
    wait_until("new work is accepted again", ready).await;
    let again = fleet.send(0, "GET", "/timetable", "", None).await;
    assert!(again.is_ok(), "{again:?}");
}

#[tokio::test]
async fn shutdown_during_table_outage_leaves_bills_with_peers() {
    let mut fleet = Fleet::spawn(NO_WORK).await;
    fleet.control_table(&Control::Down { how: Down::Refuse });
    let keys: Vec<_> = (0..10).map(|n| fleet.home_key(0, &n.to_string())).collect();
    let calls = keys.iter().map(|key| fleet.intake(0, key));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(fleet.daemons[0].billing.drain().await, 0);
    fleet.daemons[0].kill();
    fleet.set_member_state(0, MemberState::Dead);
    fleet.restore_table().await;
    assert_eq!(
        fleet
            .wait_for_billed_requests(keys.len() as u64)
            .await
            .requests,
        keys.len() as u64
    );
}

/// Customers were billed for calls that their upstream had answered with 408, 429 or 503.
#[tokio::test]
async fn call_whose_upstream_failed_is_not_billed() {
    let fleet = Fleet::spawn(NO_WORK).await;
    for status in [408, 429, 503] {
        fleet.control_replicas(&Control::FailAnswers {
            next: NextRequests::any(100),
            status,
        });
        for index in 0..3 {
            let key = format!("{status}-{index}");
            assert!(fleet.intake(index, &key).await.is_err(), "{key}");
            let lookup = fleet.send(index, "GET", "/timetable", "", Some(&key));
            assert!(lookup.await.is_err(), "{key}");
        }
    }
    fleet.control_replicas(&Control::Heal);
    assert!(fleet.intake(0, "served").await.is_ok());
    for daemon in &fleet.daemons {
        assert_eq!(daemon.billing.drain().await, 0);
    }
    assert_eq!(fleet.wait_for_billed_requests(1).await.requests, 1);
}
