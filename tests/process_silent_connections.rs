//! Tests the recovery from established connections that go silent permanently while new ones work;
//! uses real processes.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::{Method, StatusCode};
use stand_in::{
    control::Control,
    engine::{EngineConfig, text::expected_answer},
};
use support::{
    caller::{End, chat, messages, service},
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{SERVICE, SKILL, VERSION},
    stand_in::StandIn,
};

/// Maximum time in which a silent connection must be detected and replaced.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Number of concurrent callers in each round: one, so that most silent idle connections remain in
/// the pool, then as many as the upstreams' concurrency limits allow.
const CALLERS: [u32; 4] = [1, 16, 16, 16];

/// Number of concurrent callers that warm up the connections before each round.
const WARMUP_CALLERS: u32 = 16;

/// Timeout for the engines to reach their concurrency limits.
const WARMUP_LIMIT: Duration = Duration::from_secs(60);

/// Fills the daemon's connection pools: opens as many connections as the upstreams' limits allow.
async fn warm_up_connections(fleet: &Fleet) {
    support::wait_until(
        "engines at their concurrency limit",
        WARMUP_LIMIT,
        async || {
            join_all((0..WARMUP_CALLERS).map(|index| call_engine_and_service(fleet, index))).await;
            let mut all_at_capacity = true;
            for engine in &fleet.engines {
                all_at_capacity &= engine.engine_stats().await.running_peak >= fast_engine().slots;
            }
            all_at_capacity
        },
    )
    .await;
}

async fn call_engine_and_service(fleet: &Fleet, index: u32) {
    let daemon = fleet.daemons[0].callers;
    let prompt = format!("tokens=20 warm {index}");
    let response = chat(&prompt, false).send(daemon).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    let lookup = service(Method::GET, SERVICE, &format!("timetable/{index}"));
    let response = lookup.send(daemon).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
}

async fn silence_established_connections(stand_ins: &[StandIn]) {
    let mut open = 0;
    for stand_in in stand_ins {
        open += stand_in.stats().await.open;
        stand_in.tell(Control::SilenceEstablished).await;
    }
    assert!(open > 0, "no connection was established");
}

async fn fleet() -> Fleet {
    Fleet::spawn(FleetPlan::default()).await
}

#[tokio::test]
async fn completions_survive_silent_engine_connections() {
    let fleet = fleet().await;
    for (round, callers) in CALLERS.into_iter().enumerate() {
        warm_up_connections(&fleet).await;
        silence_established_connections(&fleet.engines).await;
        let calls = (0..callers).map(|index| {
            let prompt = format!("tokens=8 silent {round} {index}");
            let call = chat(&prompt, false).send(fleet.daemons[0].callers);
            async move { (prompt.clone(), call.await.expect("a response")) }
        });
        for (prompt, reply) in join_all(calls).await {
            assert_eq!(reply.status, StatusCode::OK, "{round}: {reply:?}");
            let text = expected_answer(VERSION, SKILL, &messages(&prompt), None);
            assert_eq!(reply.text(), text);
            assert!(
                reply.elapsed < MAX_RECOVERY_TIME,
                "{round}: {:?}",
                reply.elapsed
            );
        }
    }
}

#[tokio::test]
async fn stream_survives_silent_engine_connection() {
    let cfg = EngineConfig {
        token: Duration::from_millis(20),
        ..fast_engine()
    };
    let fleet = Fleet::spawn(FleetPlan {
        engines: vec![cfg; 2],
        ..FleetPlan::default()
    })
    .await;
    fleet.wait_serving().await;
    let before = fleet.tokens().await;
    let prompt = "tokens=100 midway";
    let streamed = async {
        let call = chat(prompt, true).stream(fleet.daemons[0].callers);
        call.await.expect("a response")
    };
    let silence_connections = async {
        let engine = fleet.wait_generating(&before, 10).await;
        engine.tell(Control::SilenceEstablished).await;
    };
    let (streamed, ()) = futures::join!(streamed, silence_connections);
    assert!(matches!(streamed.end, End::Whole), "{:?}", streamed.end);
    assert_eq!(
        streamed.text(),
        expected_answer(VERSION, SKILL, &messages(prompt), None)
    );
    assert!(
        streamed.longest_gap < MAX_RECOVERY_TIME,
        "{:?}",
        streamed.longest_gap
    );
    let gap = Duration::from_millis(200);
    assert!(
        streamed.longest_gap > gap,
        "the connection did not go silent"
    );
}

#[tokio::test]
async fn idempotent_calls_survive_silent_connections() {
    let fleet = fleet().await;
    for (round, callers) in CALLERS.into_iter().enumerate() {
        warm_up_connections(&fleet).await;
        silence_established_connections(&fleet.services).await;
        let calls = (0..callers).map(|index| {
            let path = format!("timetable/silent-{round}-{index}");
            service(Method::GET, SERVICE, &path).send(fleet.daemons[0].callers)
        });
        for reply in join_all(calls).await {
            let reply = reply.expect("a response");
            assert_eq!(reply.status, StatusCode::OK, "{round}: {reply:?}");
            assert!(
                reply.elapsed < MAX_RECOVERY_TIME,
                "{round}: {:?}",
                reply.elapsed
            );
        }
    }
}

#[tokio::test]
async fn non_idempotent_calls_run_at_most_once_on_silent_connections() {
    let fleet = fleet().await;
    warm_up_connections(&fleet).await;
    silence_established_connections(&fleet.services).await;
    for index in 0..3 {
        let key = format!("seat-{index}");
        let call = service(Method::POST, SERVICE, "book").header("idempotency-key", &key);
        let call = call.header("deadline", 4_000);
        let reply = call
            .send(fleet.daemons[0].callers)
            .await
            .expect("a response");
        let mut executions = 0;
        for service in &fleet.services {
            executions += service.service_stats().await.executions_of_key(&key);
        }
        assert!(executions <= 1, "{executions} of {key}");
        if reply.status == StatusCode::OK {
            assert_eq!(executions, 1);
        } else if reply.problem().run == hibiscusyoke::protocol::problem::ExecutionState::NotRun {
            assert_eq!(executions, 0);
        }
    }
}

#[tokio::test]
async fn commits_survive_silent_table_connections() {
    let fleet = fleet().await;
    for round in 0..2 {
        warm_up_connections(&fleet).await;
        silence_established_connections(std::slice::from_ref(&fleet.table)).await;
        let key = format!("foreign-{round}");
        let call = service(Method::POST, SERVICE, "book").header("idempotency-key", &key);
        let reply = call
            .send(fleet.daemons[0].callers)
            .await
            .expect("a response");
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        assert!(reply.elapsed < MAX_RECOVERY_TIME, "{:?}", reply.elapsed);
        let mut executions = 0;
        for service in &fleet.services {
            executions += service.service_stats().await.executions_of_key(&key);
        }
        assert_eq!(executions, 1);
    }
}
