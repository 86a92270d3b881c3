//! What no new work may reach, by real processes: leaving and poisoned upstreams, failure domains
//! taken out, withdrawn versions; and sessions, which keep their version or end.

use std::time::{Duration, Instant};

use hibiscusyoke::protocol::problem::{ExecutionState, RefusalKind};
use http::StatusCode;
use platform_api::instances::{Instance, InstanceState, Role};
use stand_in::control::Control;

mod support;

use support::{
    caller::chat,
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{DOMAINS, VERSION},
    wait_until,
};

/// How long after a change new work may still go where it must not.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// The requests sent after a change.
const REQUESTS: usize = 30;
/// The word that crashes the stand-in engines.
const POISON: &str = "POISON";

async fn fleet(engines: usize) -> Fleet {
    let fleet = Fleet::spawn(FleetPlan {
        daemons: 3,
        engines: vec![fast_engine(); engines],
        services: Vec::new(),
        ..FleetPlan::default()
    })
    .await;
    fleet.wait_serving().await;
    fleet
}

async fn begun(fleet: &Fleet, engine: usize) -> u64 {
    fleet.engines[engine].engine_stats().await.versions[0].begun
}

/// Sends requests through all daemons in turn, and expects each to be answered.
async fn expect_answers(fleet: &Fleet) {
    for i in 0..REQUESTS {
        let daemon = &fleet.daemons[i % fleet.daemons.len()];
        let prompt = format!("tokens=4 number {i}");
        let reply = chat(&prompt, false).send(daemon.callers).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_work() {
    let fleet = fleet(3).await;
    let mut instances: Vec<Instance> = fleet.listed_daemons();
    instances.push(Instance {
        name: "engine-1".into(),
        role: Role::Upstream,
        failure_domain: DOMAINS[0].into(),
        address: fleet.engines[0].address,
        state: InstanceState::Leaving,
    });
    fleet
        .instances
        .tell(Control::SetInstances { instances })
        .await;
    wait_until("no new work there", FEW_SECONDS, async || {
        let before = begun(&fleet, 0).await;
        expect_answers(&fleet).await;
        begun(&fleet, 0).await == before
    })
    .await;
    let before = begun(&fleet, 0).await;
    expect_answers(&fleet).await;
    assert_eq!(begun(&fleet, 0).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_out_gets_no_new_work_and_comes_back() {
    let fleet = fleet(3).await;
    let asked = Instant::now();
    let out = fleet.operate(&["domain", "out", DOMAINS[1]]);
    assert!(out.status.success(), "{out:?}");
    assert!(asked.elapsed() < FEW_SECONDS, "in force within the target");
    let before = begun(&fleet, 1).await;
    expect_answers(&fleet).await;
    assert_eq!(begun(&fleet, 1).await, before);

    let back = fleet.operate(&["domain", "in", DOMAINS[1]]);
    assert!(back.status.success(), "{back:?}");
    wait_until("work in the failure domain", support::LIMIT, async || {
        expect_answers(&fleet).await;
        begun(&fleet, 1).await > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_version_gets_no_new_work_and_ends_its_sessions() {
    let fleet = fleet(2).await;
    let daemon = |i: usize| fleet.daemons[i].callers;
    let opened = chat("tokens=4 first", false)
        .header("session", "new")
        .send(daemon(0))
        .await
        .unwrap();
    let token = opened.headers["session"].to_str().unwrap().to_owned();
    let go_on = |i: usize| {
        chat("tokens=4 next", false)
            .header("session", &token)
            .send(daemon(i))
    };
    let drained = fleet.operate(&["version", "drain", VERSION]);
    assert!(drained.status.success(), "{drained:?}");
    for i in 0..fleet.daemons.len() {
        let kept = go_on(i).await.unwrap();
        assert_eq!(kept.status, StatusCode::OK, "{kept:?}");
        assert_eq!(kept.headers["version"], VERSION);
        let new = chat("tokens=4 new", false).send(daemon(i)).await.unwrap();
        assert_eq!(new.problem().run, ExecutionState::NotRun, "{new:?}");
    }
    let withdrawn = fleet.operate(&["version", "withdraw", VERSION]);
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    let before = begun(&fleet, 0).await + begun(&fleet, 1).await;
    for i in 0..fleet.daemons.len() {
        let ended = go_on(i).await.unwrap();
        assert_eq!(ended.status, StatusCode::GONE, "{ended:?}");
        assert_eq!(ended.problem().kind, RefusalKind::SessionEnded);
    }
    assert_eq!(begun(&fleet, 0).await + begun(&fleet, 1).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_crashes_two_upstreams_at_most() {
    let fleet = fleet(4).await;
    let prompt = format!("tokens=4 {POISON}");
    let mut last = None;
    for i in 0..REQUESTS {
        let daemon = &fleet.daemons[i % fleet.daemons.len()];
        let reply = chat(&prompt, false)
            .header("idempotency-key", format!("again-{i}"))
            .send(daemon.callers)
            .await
            .unwrap();
        assert_ne!(reply.status, StatusCode::OK);
        last = Some(reply);
    }
    let last = last.unwrap();
    assert_eq!(last.problem().kind, RefusalKind::Quarantined, "{last:?}");
    assert!(last.problem().retry_after_ms.is_some(), "when to come back");
    assert!(
        last.elapsed < Duration::from_millis(50),
        "at once: {last:?}"
    );
    let mut crashes = 0;
    for engine in &fleet.engines {
        crashes += engine.engine_stats().await.poison_crashes;
    }
    assert_eq!(crashes, 2);
    expect_answers(&fleet).await;
}
