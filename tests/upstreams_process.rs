//! Upstreams that must not receive new requests, with real processes: leaving upstreams, failure
//! domains out of service, withdrawn versions, and upstreams that a poison request would crash.
//! Sessions keep their version or end.

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

/// Maximum time after a change in which new requests may still reach an excluded upstream.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Number of requests sent after a change.
const REQUESTS: usize = 30;
/// A word in the prompt that crashes the stand-in engines.
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

/// Sends requests to all daemons in turn and asserts that each succeeds.
async fn expect_answers(fleet: &Fleet) {
    for i in 0..REQUESTS {
        let daemon = &fleet.daemons[i % fleet.daemons.len()];
        let prompt = format!("tokens=4 number {i}");
        let reply = chat(&prompt, false).send(daemon.callers).await;
        let reply = reply.expect("a response");
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_requests() {
    let fleet = fleet(3).await;
    let mut instances: Vec<Instance> = fleet.daemon_instances();
    instances.push(Instance {
        name: "engine-1".into(),
        role: Role::Upstream,
        failure_domain: DOMAINS[0].into(),
        address: fleet.engines[0].address,
        state: InstanceState::Leaving,
    });
    fleet
        .instances
        .send_control(Control::SetInstances { instances })
        .await;
    wait_until(
        "no new requests on the leaving engine",
        PROPAGATION_LIMIT,
        async || {
            let before = begun(&fleet, 0).await;
            expect_answers(&fleet).await;
            begun(&fleet, 0).await == before
        },
    )
    .await;
    let before = begun(&fleet, 0).await;
    expect_answers(&fleet).await;
    assert_eq!(begun(&fleet, 0).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_out_of_service_gets_no_requests_until_restored() {
    let fleet = fleet(3).await;
    let started = Instant::now();
    let out = fleet.run_command(&["domain", "out", DOMAINS[1]]);
    assert!(out.status.success(), "{out:?}");
    assert!(
        started.elapsed() < PROPAGATION_LIMIT,
        "the change must be in force within the target time"
    );
    let before = begun(&fleet, 1).await;
    expect_answers(&fleet).await;
    assert_eq!(begun(&fleet, 1).await, before);

    let restored = fleet.run_command(&["domain", "in", DOMAINS[1]]);
    assert!(restored.status.success(), "{restored:?}");
    wait_until(
        "requests in the failure domain",
        support::WAIT_TIMEOUT,
        async || {
            expect_answers(&fleet).await;
            begun(&fleet, 1).await > before
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_version_gets_no_requests_and_ends_its_sessions() {
    let fleet = fleet(2).await;
    let daemon = |i: usize| fleet.daemons[i].callers;
    let opened = chat("tokens=4 first", false)
        .header("session", "new")
        .send(daemon(0))
        .await
        .unwrap();
    let token = opened.headers["session"].to_str().unwrap().to_owned();
    let continue_session = |i: usize| {
        chat("tokens=4 next", false)
            .header("session", &token)
            .send(daemon(i))
    };
    let drained = fleet.run_command(&["version", "drain", VERSION]);
    assert!(drained.status.success(), "{drained:?}");
    for i in 0..fleet.daemons.len() {
        let continued = continue_session(i).await.unwrap();
        assert_eq!(continued.status, StatusCode::OK, "{continued:?}");
        assert_eq!(continued.headers["version"], VERSION);
        let new = chat("tokens=4 new", false).send(daemon(i)).await.unwrap();
        assert_eq!(new.problem().run, ExecutionState::NotRun, "{new:?}");
    }
    let withdrawn = fleet.run_command(&["version", "withdraw", VERSION]);
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    let before = begun(&fleet, 0).await + begun(&fleet, 1).await;
    for i in 0..fleet.daemons.len() {
        let ended = continue_session(i).await.unwrap();
        assert_eq!(ended.status, StatusCode::GONE, "{ended:?}");
        assert_eq!(ended.problem().kind, RefusalKind::SessionEnded);
    }
    assert_eq!(begun(&fleet, 0).await + begun(&fleet, 1).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_crashes_at_most_two_upstreams() {
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
    assert!(
        last.problem().retry_after_ms.is_some(),
        "the refusal must carry a retry delay"
    );
    assert!(
        last.elapsed < Duration::from_millis(50),
        "the refusal must be immediate: {last:?}"
    );
    let mut crashes = 0;
    for engine in &fleet.engines {
        crashes += engine.engine_stats().await.poison_crashes;
    }
    assert_eq!(crashes, 2);
    expect_answers(&fleet).await;
}
