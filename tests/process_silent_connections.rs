//! Established connections that go silent for good while new ones work, with real processes.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::{Method, StatusCode};
use stand_in::{
    control::Control,
    engine::{EngineConfig, text::whole_answer},
};
use support::{
    caller::{StreamOutcome, chat, messages, service},
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{SERVICE, SKILL, VERSION},
    stand_in::StandIn,
};

/// The time within which a silent connection must be noticed and replaced.
const REPLACED: Duration = Duration::from_secs(3);

/// The callers that ask at the same time after each silence: one, while most idle connections are
/// silent, and as many as the upstreams bear at once.
const CALLERS: [u32; 4] = [1, 16, 16, 16];

/// The callers that ask at the same time before each silence.
const WARM_UP_CALLERS: u32 = 16;

/// How long the fleet may take until its engines run as many requests as they bear.
const WARM_UP_LIMIT: Duration = Duration::from_secs(60);

/// Opens as many connections from the daemon to the upstreams as they bear, so that idle ones stay.
async fn warm_up(fleet: &Fleet) {
    support::wait_until("engines in full use", WARM_UP_LIMIT, async || {
        join_all((0..WARM_UP_CALLERS).map(|index| call_both(fleet, index))).await;
        let mut full = true;
        for engine in &fleet.engines {
            full &= engine.engine_stats().await.running_peak >= fast_engine().slots;
        }
        full
    })
    .await;
}

async fn call_both(fleet: &Fleet, index: u32) {
    let daemon = fleet.daemons[0].callers;
    let prompt = format!("tokens=20 warm {index}");
    let answer = chat(&prompt, false).send(daemon).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let lookup = service(Method::GET, SERVICE, &format!("timetable/{index}"));
    let answer = lookup.send(daemon).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

async fn silence(stand_ins: &[StandIn]) {
    let mut open = 0;
    for stand_in in stand_ins {
        open += stand_in.stats().await.open;
        stand_in.send_control(Control::SilenceEstablished).await;
    }
    assert!(open > 0, "no connection was established");
}

async fn fleet() -> Fleet {
    Fleet::spawn(FleetPlan::default()).await
}

#[tokio::test]
async fn engine_whole_answers() {
    let fleet = fleet().await;
    for (round, callers) in CALLERS.into_iter().enumerate() {
        warm_up(&fleet).await;
        silence(&fleet.engines).await;
        let calls = (0..callers).map(|index| {
            let prompt = format!("tokens=8 silent {round} {index}");
            let call = chat(&prompt, false).send(fleet.daemons[0].callers);
            async move { (prompt.clone(), call.await.expect("an answer")) }
        });
        for (prompt, reply) in join_all(calls).await {
            assert_eq!(reply.status, StatusCode::OK, "{round}: {reply:?}");
            let text = whole_answer(VERSION, SKILL, &messages(&prompt), None);
            assert_eq!(reply.text(), text);
            assert!(reply.elapsed < REPLACED, "{round}: {:?}", reply.elapsed);
        }
    }
}

#[tokio::test]
async fn engine_stream_midway() {
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
        call.await.expect("an answer")
    };
    let silenced = async {
        let engine = fleet.wait_generating(&before, 10).await;
        engine.send_control(Control::SilenceEstablished).await;
    };
    let (streamed, ()) = futures::join!(streamed, silenced);
    assert!(
        matches!(streamed.outcome, StreamOutcome::Completed),
        "{:?}",
        streamed.outcome
    );
    assert_eq!(
        streamed.text(),
        whole_answer(VERSION, SKILL, &messages(prompt), None)
    );
    assert!(
        streamed.longest_gap < REPLACED,
        "{:?}",
        streamed.longest_gap
    );
    let gap = Duration::from_millis(200);
    assert!(streamed.longest_gap > gap, "the connection did go silent");
}

#[tokio::test]
async fn service_idempotent() {
    let fleet = fleet().await;
    for (round, callers) in CALLERS.into_iter().enumerate() {
        warm_up(&fleet).await;
        silence(&fleet.services).await;
        let calls = (0..callers).map(|index| {
            let path = format!("timetable/silent-{round}-{index}");
            service(Method::GET, SERVICE, &path).send(fleet.daemons[0].callers)
        });
        for reply in join_all(calls).await {
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, StatusCode::OK, "{round}: {reply:?}");
            assert!(reply.elapsed < REPLACED, "{round}: {:?}", reply.elapsed);
        }
    }
}

#[tokio::test]
async fn service_not_idempotent() {
    let fleet = fleet().await;
    warm_up(&fleet).await;
    silence(&fleet.services).await;
    for index in 0..3 {
        let key = format!("seat-{index}");
        let call = service(Method::POST, SERVICE, "book").header("idempotency-key", &key);
        let call = call.header("deadline", 4_000);
        let reply = call
            .send(fleet.daemons[0].callers)
            .await
            .expect("an answer");
        let mut executions = 0;
        for service in &fleet.services {
            executions += service.service_stats().await.of_key(&key);
        }
        assert!(executions <= 1, "{executions} of {key}");
        if reply.status == StatusCode::OK {
            assert_eq!(executions, 1);
        } else if reply.problem().run == hibiscusyoke::protocol::problem::Run::NotRun {
            assert_eq!(executions, 0);
        }
    }
}

#[tokio::test]
async fn table_commits() {
    let fleet = fleet().await;
    for round in 0..2 {
        warm_up(&fleet).await;
        silence(std::slice::from_ref(&fleet.table)).await;
        let key = format!("foreign-{round}");
        let call = service(Method::POST, SERVICE, "book").header("idempotency-key", &key);
        let reply = call
            .send(fleet.daemons[0].callers)
            .await
            .expect("an answer");
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        assert!(reply.elapsed < REPLACED, "{:?}", reply.elapsed);
        let mut executions = 0;
        for service in &fleet.services {
            executions += service.service_stats().await.of_key(&key);
        }
        assert_eq!(executions, 1);
    }
}
