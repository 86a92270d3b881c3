//! Non-idempotent requests are executed at most once, and "not run" is reported only when it is
//! true. Runs real processes and checks the execution counts of the service replicas.

mod claims_process_support;
mod support;

use std::time::{Duration, Instant};

use claims_process_support::{
    WAIT_TIMEOUT, assert_answered, assert_run_unknown, book, executions, hold_responses, home_key,
    spawn,
};
use futures::future::join_all;
use hibiscusyoke::protocol::problem::{ExecutionState, Problem};
use http::StatusCode;
use stand_in::control::{Control, Down, NextRequests};
use support::{process::Signal, wait_until};

const NO_WORK: Duration = Duration::ZERO;
/// Maximum response time of a request whose key's home daemon is frozen.
const MAX_FROZEN_HOME_DELAY: Duration = Duration::from_secs(8);

#[tokio::test]
async fn home_killed_during_and_after_dispatch() {
    let mut fleet = spawn(NO_WORK).await;
    hold_responses(&fleet, true).await;
    let keys = [home_key(&fleet, 0, "1").await, "plain".into()];
    {
        let calls = keys.iter().map(|key| book(&fleet, 0, key));
        let dispatched = async {
            for key in &keys {
                wait_until("the request to be dispatched", WAIT_TIMEOUT, async || {
                    executions(&fleet, key).await == 1
                })
                .await;
            }
        };
        tokio::select! {
            _ = join_all(calls) => panic!("a response arrived before the daemon was stopped"),
            () = dispatched => {}
        }
    }
    fleet.daemons[0].process.kill();
    for key in &keys {
        for number in [1, 2] {
            assert_run_unknown(&book(&fleet, number, key).await.unwrap());
        }
        assert_eq!(executions(&fleet, key).await, 1, "{key}");
    }
    hold_responses(&fleet, false).await;
    let answered = [home_key(&fleet, 1, "2").await, "plain-2".into()];
    for key in &answered {
        assert_answered(&book(&fleet, 1, key).await.unwrap(), key);
    }
    fleet.daemons[1].process.kill();
    for key in &answered {
        let reply = book(&fleet, 2, key).await.unwrap();
        if reply.status == StatusCode::OK {
            assert_answered(&reply, key);
        } else {
            assert_run_unknown(&reply);
        }
        assert_eq!(executions(&fleet, key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn home_killed_before_dispatch() {
    let mut fleet = spawn(NO_WORK).await;
    let by = Duration::from_secs(2);
    fleet.table.send_control(Control::Slow { by }).await;
    let limit = Duration::from_millis(300);
    let early = tokio::time::timeout(limit, book(&fleet, 0, "plain")).await;
    assert!(early.is_err(), "the claim must still be in flight");
    fleet.daemons[0].process.kill();
    fleet.table.send_control(Control::Heal).await;
    let key = home_key(&fleet, 1, "1").await;
    let reply = book(&fleet, 1, "plain").await.unwrap();
    let ran = u32::from(reply.status == StatusCode::OK);
    if ran == 0 {
        assert_run_unknown(&reply);
    }
    assert_eq!(executions(&fleet, "plain").await, ran);
    assert_answered(&book(&fleet, 2, &key).await.unwrap(), &key);
}

#[tokio::test]
async fn home_frozen_past_all_timeouts_and_resumed() {
    let fleet = spawn(NO_WORK).await;
    hold_responses(&fleet, true).await;
    let keys = [home_key(&fleet, 0, "1").await, "plain".into()];
    {
        let calls = keys.iter().map(|key| book(&fleet, 0, key));
        let dispatched = async {
            for key in &keys {
                wait_until("the request to be dispatched", WAIT_TIMEOUT, async || {
                    executions(&fleet, key).await == 1
                })
                .await;
            }
            fleet.daemons[0].process.signal(Signal::Stop);
        };
        tokio::select! {
            _ = join_all(calls) => panic!("a response arrived before the daemon was stopped"),
            () = dispatched => {}
        }
    }
    let unused = home_key(&fleet, 1, "x").await;
    let frozen_key = format!("{}.never", keys[0].split('.').next().unwrap());
    for number in [1, 2] {
        for key in [&keys[0], &keys[1], &frozen_key] {
            let started = Instant::now();
            assert_run_unknown(&book(&fleet, number, key).await.unwrap());
            let elapsed = started.elapsed();
            assert!(elapsed < MAX_FROZEN_HOME_DELAY, "{key} {elapsed:?}");
        }
    }
    hold_responses(&fleet, false).await;
    assert_answered(&book(&fleet, 2, &unused).await.unwrap(), &unused);
    fleet.daemons[0].process.signal(Signal::Continue);
    for key in &keys {
        wait_until("the response", WAIT_TIMEOUT, async || {
            let reply = book(&fleet, 1, key).await.unwrap();
            reply.status == StatusCode::OK
        })
        .await;
        assert_eq!(executions(&fleet, key).await, 1, "{key}");
    }
    assert!(executions(&fleet, &frozen_key).await <= 1);
}

#[tokio::test]
async fn table_outage_does_not_affect_home_keys() {
    let fleet = spawn(NO_WORK).await;
    fleet
        .table
        .send_control(Control::Down { how: Down::Refuse })
        .await;
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(8) {
        let home = number % 3;
        let key = home_key(&fleet, home, &number.to_string()).await;
        for daemon in 0..3 {
            assert_answered(&book(&fleet, daemon, &key).await.unwrap(), &key);
        }
        assert_eq!(executions(&fleet, &key).await, 1, "{key}");
        number += 1;
    }
    assert_run_unknown(&book(&fleet, 0, "plain").await.unwrap());
    assert_eq!(executions(&fleet, "plain").await, 0);
    fleet.table.send_control(Control::Heal).await;
    wait_until("the plain key to be executed", WAIT_TIMEOUT, async || {
        book(&fleet, 1, "plain").await.unwrap().status == StatusCode::OK
    })
    .await;
    assert_eq!(executions(&fleet, "plain").await, 1);
}

#[tokio::test]
async fn lost_inserts_and_broken_connections_execute_once() {
    let fleet = spawn(NO_WORK).await;
    for number in 0..10 {
        let key = format!("plain-{number}");
        let next = NextRequests {
            count: 1,
            path: "/table/commit".into(),
        };
        fleet
            .table
            .send_control(Control::LoseAnswers { next })
            .await;
        let calls = (0..3).map(|daemon| book(&fleet, daemon, &key));
        for reply in join_all(calls).await {
            let reply = reply.unwrap();
            if reply.status == StatusCode::OK {
                assert_answered(&reply, &key);
            } else {
                assert_run_unknown(&reply);
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
            replica.send_control(Control::LoseAnswers { next }).await;
        }
        for daemon in 0..3 {
            assert_run_unknown(&book(&fleet, daemon, &key).await.unwrap());
        }
        for replica in &fleet.services {
            replica.send_control(Control::Heal).await;
        }
        assert_eq!(executions(&fleet, &key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn shutdown_hands_over_answers_and_unused_keys() {
    let mut fleet = spawn(NO_WORK).await;
    let ran = home_key(&fleet, 0, "ran").await;
    let unused = home_key(&fleet, 0, "unused").await;
    assert_answered(&book(&fleet, 0, &ran).await.unwrap(), &ran);
    fleet.daemons[0].stop(WAIT_TIMEOUT).await;
    assert_answered(&book(&fleet, 1, &ran).await.unwrap(), &ran);
    let calls = [1, 2, 1, 2].map(|daemon| book(&fleet, daemon, &unused));
    let replies = join_all(calls).await;
    let answered = |reply: &Option<support::caller::Reply>| {
        reply.as_ref().is_some_and(|r| r.status == StatusCode::OK)
    };
    assert!(replies.iter().any(answered), "{replies:?}");
    assert_eq!(executions(&fleet, &ran).await, 1);
    assert_eq!(executions(&fleet, &unused).await, 1);
}

#[tokio::test]
async fn request_refused_by_upstreams_is_not_run() {
    let fleet = spawn(NO_WORK).await;
    let key = home_key(&fleet, 0, "1").await;
    for key in [key.as_str(), "plain"] {
        for replica in &fleet.services {
            replica
                .send_control(Control::Down {
                    how: Down::Unavailable,
                })
                .await;
        }
        let problem: Problem = book(&fleet, 1, key).await.unwrap().problem();
        assert_eq!(problem.run, ExecutionState::NotRun, "{problem:?}");
        assert_eq!(executions(&fleet, key).await, 0);
        for replica in &fleet.services {
            replica.send_control(Control::Heal).await;
        }
        assert_answered(&book(&fleet, 2, key).await.unwrap(), key);
        assert_eq!(executions(&fleet, key).await, 1);
    }
}
