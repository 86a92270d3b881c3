//! The whole request path through real processes: platform, three daemons, five upstreams, callers
//! and operators.

use std::net::SocketAddr;

use hibiscusyoke::{
    daemon::locate::LocateResponse,
    protocol::problem::{ExecutionState, RefusalKind},
    state::objects::{Customer, Rule},
};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use stand_in::service::ServiceConfig;

mod support;

use support::{
    caller::{Call, StreamOutcome, chat, get, locate, service},
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{RULE, SERVICE, VERSION, key_hash},
    wait_until,
};

/// One byte over the documented maximum body size.
const TOO_LARGE_BYTES: usize = (1 << 20) + 1;
/// Bearer key of a customer that may not use any rule.
const RESTRICTED_KEY: &str = "poor";

async fn fleet() -> Fleet {
    Fleet::spawn(FleetPlan {
        daemons: 3,
        engines: vec![fast_engine(); 3],
        services: vec![ServiceConfig::default(); 2],
        ..FleetPlan::default()
    })
    .await
}

async fn expect_refusal(call: Call, daemon: SocketAddr, status: StatusCode, kind: RefusalKind) {
    let reply = call.send(daemon).await.expect("a response");
    assert_eq!(reply.status, status, "{kind}");
    let problem = reply.problem();
    assert_eq!(problem.kind, kind);
    assert_eq!(problem.run, ExecutionState::NotRun, "{kind}");
}

#[tokio::test(flavor = "multi_thread")]
async fn path_serves_every_kind_of_request() {
    let fleet = fleet().await;
    let contacted = fleet.daemons[0].callers;
    let location: LocateResponse = locate().send(contacted).await.unwrap().json();
    assert_eq!(location.addresses.len(), 3, "{location:?}");
    assert_eq!(
        location.addresses[0], contacted,
        "a daemon in its own failure domain comes first"
    );
    let daemon = location.addresses[0];

    let unstreamed = chat("weigh this bale", false).send(daemon).await.unwrap();
    assert_eq!(unstreamed.status, StatusCode::OK);
    assert_eq!(unstreamed.headers["version"], VERSION);

    let streamed = chat("weigh this bale", true).stream(daemon).await.unwrap();
    assert!(
        matches!(streamed.outcome, StreamOutcome::Completed),
        "{:?}",
        streamed.outcome
    );
    assert_eq!(
        streamed.text(),
        unstreamed.text(),
        "streamed and unstreamed responses must match"
    );

    let key = format!("{}.load-17", location.key_prefix.unwrap());
    for address in [daemon, location.addresses[1]] {
        let booked = service(Method::POST, SERVICE, "book")
            .header("idempotency-key", &key)
            .send(address)
            .await
            .unwrap();
        assert_eq!(booked.status, StatusCode::OK, "{booked:?}");
    }
    assert_eq!(
        fleet.executions(&key).await,
        1,
        "the repeated request must not be executed again"
    );
    let metrics = get("/metrics").send(fleet.daemons[0].operators).await;
    let metrics = metrics.unwrap().text_body();
    let served =
        "hibiscusyoke_requests_total{daemon=\"entry-1\",kind=\"chat\",outcome=\"served\"} 2";
    assert!(metrics.contains(served), "{metrics}");

    wait_until(
        "three bills in the table",
        support::WAIT_TIMEOUT,
        async || {
            let out = fleet.run_command(&["invoice", "--json"]);
            let invoice: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
            invoice["customers"]["clerks"]["requests"] == json!(3)
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn path_refuses_invalid_requests_without_side_effects() {
    let fleet = fleet().await;
    let daemon = fleet.daemons[1].callers;
    let mut objects = fleet.configuration.clone();
    let restricted = Customer {
        keys: vec![key_hash(RESTRICTED_KEY)],
        rules: Vec::new(),
        ..objects.customers["clerks"].clone()
    };
    objects.customers.insert("poor".into(), restricted);
    fleet.publish(&objects);
    wait_until(
        "the new customer to be known",
        support::WAIT_TIMEOUT,
        async || {
            let reply = locate().key(RESTRICTED_KEY).send(daemon).await.unwrap();
            reply.status == StatusCode::OK
        },
    )
    .await;

    let completion = || chat("weigh this bale", false);
    let unknown_rule =
        json!({"model": "no-such-rule", "messages": [{"role": "user", "content": "x"}]});
    let refusals = [
        (
            completion().key("stranger"),
            401,
            RefusalKind::Unauthenticated,
        ),
        (
            completion().key(RESTRICTED_KEY),
            403,
            RefusalKind::NotAllowed,
        ),
        (
            completion().body(unknown_rule.to_string()),
            404,
            RefusalKind::NotFound,
        ),
        (
            completion().body("{\"model\": "),
            400,
            RefusalKind::Malformed,
        ),
        (
            completion().body(vec![b' '; TOO_LARGE_BYTES]),
            413,
            RefusalKind::TooLarge,
        ),
        (
            completion().header("session", "forged"),
            400,
            RefusalKind::SessionInvalid,
        ),
        (
            completion().header("deadline", "soon"),
            400,
            RefusalKind::Malformed,
        ),
        (
            service(Method::GET, "nowhere", "x"),
            404,
            RefusalKind::NotFound,
        ),
    ];
    for (call, status, kind) in refusals {
        let status = StatusCode::from_u16(status).unwrap();
        expect_refusal(call, daemon, status, kind).await;
    }
    for engine in &fleet.engines {
        assert!(engine.engine_stats().await.attempts.is_empty());
    }

    let rule = Rule {
        versions: vec!["ghost-1".into(), "ghost-2".into()],
        ..objects.rules[RULE].clone()
    };
    objects.rules.insert(RULE.into(), rule);
    let out = fleet.try_publish(&objects);
    assert_eq!(out.status.code(), Some(1), "{out:?}");
    let output =
        String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout);
    assert!(
        output.contains("ghost-1") && output.contains("ghost-2"),
        "{output}"
    );
    let served = completion().send(daemon).await.unwrap();
    assert_eq!(
        served.status,
        StatusCode::OK,
        "the old configuration must stay in force"
    );
}
