//! At most once, and a true "not run", with real processes; the service's count is the judge.

mod claims_process_support;
mod support;

use std::time::{Duration, Instant};

use claims_process_support::{
    LIMIT, assert_answers, assert_unknown, book, executions, home_key, spawn,
};
use futures::future::join_all;
use hibiscusyoke::protocol::problem::{ExecutionState, Problem};
use http::StatusCode;
use stand_in::control::{Control, Down, NextRequests};
use support::{process::Signal, wait_until};

const NO_WORK: Duration = Duration::ZERO;
/// A silent home must not hold a caller longer than this.
const SILENT_HOME_LIMIT: Duration = Duration::from_secs(8);

#[tokio::test]
async fn home_killed_during_and_after_dispatch() {
    let mut fleet = spawn(Duration::from_millis(400)).await;
    let keys = [home_key(&fleet, 0, "1").await, "plain".into()];
    {
        let calls = keys.iter().map(|key| book(&fleet, 0, key));
        let dispatched = async {
            for key in &keys {
                wait_until("dispatched", LIMIT, async || {
                    executions(&fleet, key).await == 1
                })
                .await;
            }
        };
        tokio::select! {
            _ = join_all(calls) => panic!("answered too early"),
            () = dispatched => {}
        }
    }
    fleet.daemons[0].process.kill();
    for key in &keys {
        for number in [1, 2] {
            assert_unknown(&book(&fleet, number, key).await.unwrap());
        }
        assert_eq!(executions(&fleet, key).await, 1, "{key}");
    }
    let answered = [home_key(&fleet, 1, "2").await, "plain-2".into()];
    for key in &answered {
        assert_answers(&book(&fleet, 1, key).await.unwrap(), key);
    }
    fleet.daemons[1].process.kill();
    for key in &answered {
        let reply = book(&fleet, 2, key).await.unwrap();
        if reply.status == StatusCode::OK {
            assert_answers(&reply, key);
        } else {
            assert_unknown(&reply);
        }
        assert_eq!(executions(&fleet, key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn home_killed_before_dispatch() {
    let mut fleet = spawn(NO_WORK).await;
    let by = Duration::from_secs(2);
    fleet.table.tell(Control::Slow { by }).await;
    let limit = Duration::from_millis(300);
    let early = tokio::time::timeout(limit, book(&fleet, 0, "plain")).await;
    assert!(early.is_err(), "the claim is still on its way");
    fleet.daemons[0].process.kill();
    fleet.table.tell(Control::Heal).await;
    let key = home_key(&fleet, 1, "1").await;
    let reply = book(&fleet, 1, "plain").await.unwrap();
    let ran = u32::from(reply.status == StatusCode::OK);
    if ran == 0 {
        assert_unknown(&reply);
    }
    assert_eq!(executions(&fleet, "plain").await, ran);
    assert_answers(&book(&fleet, 2, &key).await.unwrap(), &key);
}

#[tokio::test]
async fn home_frozen_past_every_timeout_and_woken() {
    let fleet = spawn(Duration::from_millis(300)).await;
    let keys = [home_key(&fleet, 0, "1").await, "plain".into()];
    {
        let calls = keys.iter().map(|key| book(&fleet, 0, key));
        let dispatched = async {
            for key in &keys {
                wait_until("dispatched", LIMIT, async || {
                    executions(&fleet, key).await == 1
                })
                .await;
            }
            fleet.daemons[0].process.signal(Signal::Stop);
        };
        tokio::select! {
            _ = join_all(calls) => panic!("answered too early"),
            () = dispatched => {}
        }
    }
    let unused = home_key(&fleet, 1, "x").await;
    let frozen = format!("{}.never", keys[0].split('.').next().unwrap());
    for number in [1, 2] {
        for key in [&keys[0], &keys[1], &frozen] {
            let started = Instant::now();
            assert_unknown(&book(&fleet, number, key).await.unwrap());
            let elapsed = started.elapsed();
            assert!(elapsed < SILENT_HOME_LIMIT, "{key} {elapsed:?}");
        }
    }
    assert_answers(&book(&fleet, 2, &unused).await.unwrap(), &unused);
    fleet.daemons[0].process.signal(Signal::Continue);
    for key in &keys {
        wait_until("the answer", LIMIT, async || {
            let reply = book(&fleet, 1, key).await.unwrap();
            reply.status == StatusCode::OK
        })
        .await;
        assert_eq!(executions(&fleet, key).await, 1, "{key}");
    }
    assert!(executions(&fleet, &frozen).await <= 1);
}

#[tokio::test]
async fn store_outage_leaves_home_keys_in_service() {
    let fleet = spawn(NO_WORK).await;
    fleet.table.tell(Control::Down { how: Down::Refuse }).await;
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(8) {
        let home = number % 3;
        let key = home_key(&fleet, home, &number.to_string()).await;
        for at in 0..3 {
            assert_answers(&book(&fleet, at, &key).await.unwrap(), &key);
        }
        assert_eq!(executions(&fleet, &key).await, 1, "{key}");
        number += 1;
    }
    assert_unknown(&book(&fleet, 0, "plain").await.unwrap());
    assert_eq!(executions(&fleet, "plain").await, 0);
    fleet.table.tell(Control::Heal).await;
    wait_until("the plain key runs", LIMIT, async || {
        book(&fleet, 1, "plain").await.unwrap().status == StatusCode::OK
    })
    .await;
    assert_eq!(executions(&fleet, "plain").await, 1);
}

#[tokio::test]
async fn lost_inserts_and_broken_connections_run_once() {
    let fleet = spawn(NO_WORK).await;
    for number in 0..10 {
        let key = format!("plain-{number}");
        let next = NextRequests {
            count: 1,
            path: "/table/commit".into(),
        };
        fleet.table.tell(Control::LoseAnswers { next }).await;
        let calls = (0..3).map(|at| book(&fleet, at, &key));
        for reply in join_all(calls).await {
            let reply = reply.unwrap();
            if reply.status == StatusCode::OK {
                assert_answers(&reply, &key);
            } else {
                assert_unknown(&reply);
            }
        }
        assert_eq!(executions(&fleet, &key).await, 1, "{key}");
    }
    for number in 0..6 {
        let key = home_key(&fleet, number % 3, &number.to_string()).await;
        for replica in &fleet.services {
            let next = NextRequests {
                count: 1,
                path: "/".into(),
            };
            replica.tell(Control::LoseAnswers { next }).await;
        }
        for at in 0..3 {
            assert_unknown(&book(&fleet, at, &key).await.unwrap());
        }
        for replica in &fleet.services {
            replica.tell(Control::Heal).await;
        }
        assert_eq!(executions(&fleet, &key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn planned_stop_lets_others_tell_and_take_over() {
    let mut fleet = spawn(NO_WORK).await;
    let ran = home_key(&fleet, 0, "ran").await;
    let unused = home_key(&fleet, 0, "unused").await;
    assert_answers(&book(&fleet, 0, &ran).await.unwrap(), &ran);
    fleet.daemons[0].stop(LIMIT).await;
    assert_answers(&book(&fleet, 1, &ran).await.unwrap(), &ran);
    let calls = [1, 2, 1, 2].map(|at| book(&fleet, at, &unused));
    let replies = join_all(calls).await;
    let answered = |reply: &Option<support::caller::Reply>| {
        reply.as_ref().is_some_and(|r| r.status == StatusCode::OK)
    };
    assert!(replies.iter().any(answered), "{replies:?}");
    assert_eq!(executions(&fleet, &ran).await, 1);
    assert_eq!(executions(&fleet, &unused).await, 1);
}

#[tokio::test]
async fn refused_by_upstreams_is_truly_not_run() {
    let fleet = spawn(NO_WORK).await;
    let key = home_key(&fleet, 0, "1").await;
    for key in [key.as_str(), "plain"] {
        for replica in &fleet.services {
            replica
                .tell(Control::Down {
                    how: Down::Unavailable,
                })
                .await;
        }
        let problem: Problem = book(&fleet, 1, key).await.unwrap().problem();
        assert_eq!(problem.run, ExecutionState::NotRun, "{problem:?}");
        assert_eq!(executions(&fleet, key).await, 0);
        for replica in &fleet.services {
            replica.tell(Control::Heal).await;
        }
        assert_answers(&book(&fleet, 2, key).await.unwrap(), key);
        assert_eq!(executions(&fleet, key).await, 1);
    }
}
