//! The whole path by real processes: platform, three daemons, five upstreams, callers, operators.

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
    caller::{Call, End, chat, get, locate, service},
    fleet::{Fleet, FleetPlan, fast_engine},
    objects::{RULE, SERVICE, VERSION, key_hash},
    wait_until,
};

/// A body one byte over the limit that the daemons document.
const TOO_LARGE_BYTES: usize = (1 << 20) + 1;
/// The key of a customer that may use no rule.
const POOR_KEY: &str = "poor";

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
    let reply = call.send(daemon).await.expect("an answer");
    assert_eq!(reply.status, status, "{kind}");
    let problem = reply.problem();
    assert_eq!(problem.kind, kind);
    assert_eq!(problem.run, ExecutionState::NotRun, "{kind}");
}

#[tokio::test(flavor = "multi_thread")]
async fn path_serves_every_kind_of_request() {
    let fleet = fleet().await;
    let asked = fleet.daemons[0].callers;
    let found: LocateResponse = locate().send(asked).await.unwrap().json();
    assert_eq!(found.addresses.len(), 3, "{found:?}");
    assert_eq!(found.addresses[0], asked, "its own failure domain first");
    let daemon = found.addresses[0];

    let whole = chat("weigh this bale", false).send(daemon).await.unwrap();
    assert_eq!(whole.status, StatusCode::OK);
    assert_eq!(whole.headers["version"], VERSION);

    let streamed = chat("weigh this bale", true).stream(daemon).await.unwrap();
    assert!(matches!(streamed.end, End::Whole), "{:?}", streamed.end);
    assert_eq!(streamed.text(), whole.text(), "one prompt, one answer");

    let key = format!("{}.load-17", found.key_prefix.unwrap());
    for at in [daemon, found.addresses[1]] {
        let booked = service(Method::POST, SERVICE, "book")
            .header("idempotency-key", &key)
            .send(at)
            .await
            .unwrap();
        assert_eq!(booked.status, StatusCode::OK, "{booked:?}");
    }
    assert_eq!(fleet.executions(&key).await, 1, "the repeat ran nothing");
    let metrics = get("/metrics").send(fleet.daemons[0].operators).await;
    let metrics = metrics.unwrap().text_body();
    let served =
        "hibiscusyoke_requests_total{daemon=\"entry-1\",kind=\"chat\",outcome=\"served\"} 2";
    assert!(metrics.contains(served), "{metrics}");

    wait_until("three bills in the table", support::LIMIT, async || {
        let out = fleet.operate(&["invoice", "--json"]);
        let invoice: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        invoice["customers"]["clerks"]["requests"] == json!(3)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn path_refuses_bad_input_and_changes_nothing() {
    let fleet = fleet().await;
    let daemon = fleet.daemons[1].callers;
    let mut objects = fleet.configuration.clone();
    let poor = Customer {
        keys: vec![key_hash(POOR_KEY)],
        rules: Vec::new(),
        ..objects.customers["clerks"].clone()
    };
    objects.customers.insert("poor".into(), poor);
    fleet.publish(&objects);
    wait_until("the new customer is known", support::LIMIT, async || {
        let reply = locate().key(POOR_KEY).send(daemon).await.unwrap();
        reply.status == StatusCode::OK
    })
    .await;

    let asks = || chat("weigh this bale", false);
    let unknown_rule =
        json!({"model": "no-such-rule", "messages": [{"role": "user", "content": "x"}]});
    let refusals = [
        (asks().key("stranger"), 401, RefusalKind::Unauthenticated),
        (asks().key(POOR_KEY), 403, RefusalKind::NotAllowed),
        (
            asks().body(unknown_rule.to_string()),
            404,
            RefusalKind::NotFound,
        ),
        (asks().body("{\"model\": "), 400, RefusalKind::Malformed),
        (
            asks().body(vec![b' '; TOO_LARGE_BYTES]),
            413,
            RefusalKind::TooLarge,
        ),
        (
            asks().header("session", "forged"),
            400,
            RefusalKind::SessionInvalid,
        ),
        (
            asks().header("deadline", "soon"),
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
    let said =
        String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout);
    assert!(
        said.contains("ghost-1") && said.contains("ghost-2"),
        "{said}"
    );
    let served = asks().send(daemon).await.unwrap();
    assert_eq!(served.status, StatusCode::OK, "the old set stays in force");
}
