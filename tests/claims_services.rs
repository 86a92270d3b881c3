//! Calls to plain services through three daemons, checked against the service's execution count.

mod claims_fleet;

use std::time::{Duration, Instant};

use claims_fleet::{Fleet, Outcome, wait_until};
use futures::future::join_all;
use hibiscusyoke::{
    coordination::membership::MemberState,
    daemon::service::ServiceAnswer,
    protocol::problem::{ExecutionState, RefusalKind},
};
use stand_in::{
    control::{Control, Down, NextRequests},
    service::ServiceAnswer as Executed,
};

const NO_WORK: Duration = Duration::ZERO;
/// Maximum duration of calls that meet a lost or silent connection.
const MAX_SILENCE_DELAY: Duration = Duration::from_secs(3);

fn next(count: u32) -> NextRequests {
    NextRequests {
        count,
        path: "/".into(),
    }
}

fn answer_for(outcome: &Outcome) -> Executed {
    let answer: &ServiceAnswer = outcome.as_ref().expect("an answer");
    serde_json::from_slice(&answer.body).expect("a JSON answer of the service")
}

fn run(outcome: &Outcome) -> ExecutionState {
    outcome.as_ref().expect_err("a refusal").run
}

#[tokio::test]
async fn home_key_repeated_at_other_daemons_runs_once() {
    let fleet = Fleet::spawn(Duration::from_millis(300)).await;
    let key = fleet.home_key(0, "1");
    let calls = [0, 1, 2, 1].map(|index| fleet.intake(index, &key));
    for outcome in join_all(calls).await {
        assert_eq!(answer_for(&outcome).key, key);
    }
    assert_eq!(fleet.executions(&key), 1);
    let other = fleet.send(1, "POST", "/intake", "other", Some(&key)).await;
    let refusal = other.expect_err("a refusal");
    assert_eq!(
        (refusal.kind, refusal.run),
        (RefusalKind::KeyReused, ExecutionState::NotRun)
    );
}

#[tokio::test]
async fn plain_key_at_three_daemons_runs_once() {
    let fleet = Fleet::spawn(Duration::from_millis(300)).await;
    let calls = [0, 1, 2, 0, 1].map(|index| fleet.intake(index, "plain"));
    for outcome in join_all(calls).await {
        match &outcome {
            Ok(_) => assert_eq!(answer_for(&outcome).key, "plain"),
            Err(refusal) => assert_eq!(refusal.run, ExecutionState::Unknown, "{refusal}"),
        }
    }
    assert_eq!(fleet.executions("plain"), 1);
}

#[tokio::test]
async fn home_keys_are_served_during_table_outage() {
    let fleet = Fleet::spawn(NO_WORK).await;
    fleet.control_table(&Control::Down { how: Down::Refuse });
    let key = fleet.home_key(0, "1");
    assert_eq!(answer_for(&fleet.intake(1, &key).await).key, key);
    assert_eq!(answer_for(&fleet.intake(2, &key).await).key, key);
    assert_eq!(fleet.executions(&key), 1);
    assert_eq!(
        run(&fleet.intake(1, "plain").await),
        ExecutionState::Unknown
    );
    assert_eq!(fleet.executions("plain"), 0);
    fleet.restore_table().await;
    assert!(fleet.intake(1, "plain").await.is_ok());
    assert_eq!(fleet.wait_for_billed_requests(2).await.requests, 2);
}

#[tokio::test]
async fn call_with_lost_insert_reply_runs_once() {
    let fleet = Fleet::spawn(NO_WORK).await;
    for index in 0..5 {
        let key = format!("plain-{index}");
        fleet.control_table(&Control::LoseAnswers {
            next: NextRequests {
                count: 1,
                path: "/table/commit".into(),
            },
        });
        assert_eq!(answer_for(&fleet.intake(index % 3, &key).await).key, key);
        assert_eq!(fleet.executions(&key), 1);
    }
}

#[tokio::test]
async fn call_is_not_repeated_after_broken_connection() {
    let fleet = Fleet::spawn(NO_WORK).await;
    for key in [fleet.home_key(0, "1").as_str(), "plain"] {
        fleet.control_replicas(&Control::LoseAnswers { next: next(1) });
        assert_eq!(run(&fleet.intake(0, key).await), ExecutionState::Unknown);
        fleet.control_replicas(&Control::Heal);
        for index in [0, 1, 2] {
            assert_eq!(
                run(&fleet.intake(index, key).await),
                ExecutionState::Unknown
            );
        }
        assert_eq!(fleet.executions(key), 1);
    }
}

#[tokio::test]
async fn call_refused_by_upstreams_is_not_run_and_may_be_retried() {
    let fleet = Fleet::spawn(NO_WORK).await;
    let downs = [Down::Unavailable, Down::Refuse];
    for (index, how) in downs.into_iter().enumerate() {
        for key in [
            fleet.home_key(0, &index.to_string()),
            format!("plain-{index}").into(),
        ] {
            fleet.take_replicas_down(how).await;
            assert_eq!(
                run(&fleet.intake(0, &key).await),
                ExecutionState::NotRun,
                "{how:?}"
            );
            assert_eq!(fleet.executions(&key), 0);
            fleet.control_replicas(&Control::Heal);
            assert!(fleet.intake(1, &key).await.is_ok(), "{how:?} {key}");
            assert_eq!(fleet.executions(&key), 1);
        }
    }
}

#[tokio::test]
async fn peers_replay_and_take_over_calls_after_shutdown() {
    let mut fleet = Fleet::spawn(NO_WORK).await;
    let ran = fleet.home_key(0, "ran");
    let unused = fleet.home_key(0, "unused");
    assert!(fleet.intake(0, &ran).await.is_ok());
    assert!(fleet.daemons[0].claims.complete().await);
    fleet.daemons[0].isolate().await;
    assert_eq!(answer_for(&fleet.intake(1, &ran).await).key, ran);
    let calls = [1, 2, 1].map(|index| fleet.intake(index, &unused));
    let outcomes = join_all(calls).await;
    assert!(outcomes.iter().any(Result::is_ok), "{outcomes:?}");
    assert_eq!(fleet.executions(&ran), 1);
    assert_eq!(fleet.executions(&unused), 1);
}

#[tokio::test]
async fn calls_of_unreachable_home_are_not_taken_over() {
    let mut fleet = Fleet::spawn(NO_WORK).await;
    let key = fleet.home_key(0, "1");
    fleet.daemons[0].isolate().await;
    for state in [MemberState::Alive, MemberState::Dead] {
        fleet.set_member_state(0, state);
        let refusal = fleet.intake(1, &key).await.expect_err("a refusal");
        assert_eq!(refusal.run, ExecutionState::Unknown);
        assert!(refusal.retry_after.is_some());
    }
    assert_eq!(fleet.executions(&key), 0);
}

#[tokio::test]
async fn idempotent_calls_survive_silent_connections() {
    let fleet = Fleet::spawn(NO_WORK).await;
    let warm = (0..20).map(|n| fleet.send(n % 3, "GET", "/timetable", "", None));
    assert!(join_all(warm).await.iter().all(Result::is_ok));
    fleet.control_replicas(&Control::SilenceEstablished);
    let started = Instant::now();
    let calls = (0..20).map(|n| fleet.send(n % 3, "GET", "/timetable", "", None));
    for outcome in join_all(calls).await {
        assert_eq!(answer_for(&outcome).path, "/timetable");
    }
    assert!(
        started.elapsed() < MAX_SILENCE_DELAY,
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn idempotent_calls_survive_silent_replica() {
    let fleet = Fleet::spawn(NO_WORK).await;
    fleet.replicas[0]
        .control(&Control::Freeze { millis: None })
        .unwrap();
    let started = Instant::now();
    let calls = (0..9).map(|n| fleet.send(n % 3, "GET", "/timetable", "", None));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert!(
        started.elapsed() < MAX_SILENCE_DELAY,
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn crossed_answers_never_reach_another_caller() {
    let fleet = Fleet::spawn(Duration::from_millis(50)).await;
    fleet.control_replicas(&Control::CrossAnswers { next: next(8) });
    let paths: Vec<String> = (0..24).map(|n| format!("/timetable/{n}")).collect();
    let calls = paths.iter().enumerate();
    let calls = calls.map(|(n, path)| fleet.send(n % 3, "GET", path, "", None));
    for (outcome, path) in join_all(calls).await.iter().zip(&paths) {
        assert_eq!(answer_for(outcome).path, *path);
    }
    fleet.control_replicas(&Control::CrossAnswers { next: next(8) });
    let keys: Vec<String> = (0..24).map(|n| format!("plain-{n}")).collect();
    let calls = keys.iter().enumerate();
    let calls = calls.map(|(n, key)| fleet.intake(n % 3, key));
    for (outcome, key) in join_all(calls).await.iter().zip(&keys) {
        match outcome {
            Ok(_) => assert_eq!(answer_for(outcome).key, *key),
            Err(refusal) => assert_eq!(refusal.run, ExecutionState::Unknown, "{refusal}"),
        }
        assert_eq!(fleet.executions(key), 1);
    }
}

#[tokio::test]
async fn denormalized_path_runs_at_most_once() {
    let fleet = Fleet::spawn(NO_WORK).await;
    for path in ["/%69ntake", "//intake", "/x/../intake", "/INTAKE/1?a=b"] {
        fleet.control_replicas(&Control::LoseAnswers { next: next(1) });
        let outcome = fleet.send(0, "post", path, "bale", Some(path)).await;
        assert_eq!(run(&outcome), ExecutionState::Unknown, "{path}");
        fleet.control_replicas(&Control::Heal);
        assert_eq!(fleet.executions(path), 1, "{path}");
    }
}

#[tokio::test]
async fn answer_is_replayed_after_caller_disconnects() {
    let fleet = Fleet::spawn(Duration::from_millis(300)).await;
    let key = fleet.home_key(0, "1");
    let cancelled = tokio::time::timeout(Duration::from_millis(100), fleet.intake(0, &key)).await;
    assert!(cancelled.is_err());
    wait_until("executed", || fleet.executions(&key) == 1).await;
    assert_eq!(answer_for(&fleet.intake(1, &key).await).key, key);
    assert_eq!(fleet.executions(&key), 1);
}

#[tokio::test]
async fn call_runs_at_most_once_when_home_is_killed() {
    for wait_ms in [0, 20, 60, 120, 240] {
        let mut fleet = Fleet::spawn(Duration::from_millis(100)).await;
        let keys = [fleet.home_key(0, "1"), "plain".into()];
        for key in &keys {
            let cancelled = fleet.intake(0, key);
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), cancelled).await;
        }
        fleet.daemons[0].kill();
        for key in &keys {
            for index in [1, 2] {
                match fleet.intake(index, key).await {
                    Ok(answer) => assert_eq!(answer_for(&Ok(answer)).key, *key),
                    Err(refusal) => assert_eq!(refusal.run, ExecutionState::Unknown, "{refusal}"),
                }
            }
            assert!(fleet.executions(key) <= 1, "{key} after {wait_ms} ms");
        }
    }
}

/// Callers sent requests again that had run, as the 408, 429 or 503 of the upstream that had run them was passed on.
#[tokio::test]
async fn error_of_an_upstream_does_not_promise_that_a_call_has_not_run() {
    let fleet = Fleet::spawn(NO_WORK).await;
    for status in [408, 429, 503] {
        let keys = [
            fleet.home_key(0, &format!("home-{status}")),
            format!("plain-{status}").into(),
        ];
        for key in keys {
            fleet.control_replicas(&Control::FailAnswers {
                next: next(1),
                status,
            });
            // The first call runs, the others find what became of it.
            for index in [1, 0, 2] {
                let outcome = fleet.intake(index, &key).await;
                let refusal = outcome.expect_err("a refusal");
                assert_eq!(refusal.run, ExecutionState::Unknown, "{status}: {refusal}");
                assert_eq!(refusal.status(), 502, "{status}: {refusal}");
            }
            fleet.control_replicas(&Control::Heal);
            assert_eq!(fleet.executions(&key), 1, "{status} {key}");
        }
    }
}

/// Lookups were answered with the 408, 429 or 503 of one upstream though the other one could serve them.
#[tokio::test]
async fn error_of_an_upstream_is_retried_if_the_call_is_idempotent() {
    let fleet = Fleet::spawn(NO_WORK).await;
    for status in [408, 429, 503] {
        let path = format!("/timetable/{status}");
        let fail = |count| Control::FailAnswers {
            next: next(count),
            status,
        };
        fleet.replicas[0].control(&fail(100)).expect("supported");
        for index in 0..6 {
            let outcome = fleet.send(index % 3, "GET", &path, "", None).await;
            assert_eq!(answer_for(&outcome).path, path, "{status}");
        }
        fleet.control_replicas(&fail(100));
        let refusal = fleet.send(0, "GET", &path, "", None).await;
        let refusal = refusal.expect_err("a refusal");
        assert_eq!(refusal.run, ExecutionState::Unknown, "{status}: {refusal}");
        assert_eq!(refusal.status(), 502, "{status}: {refusal}");
        fleet.control_replicas(&Control::Heal);
    }
}
