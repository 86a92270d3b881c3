//! Where a request would go now, by `hibiscusyoke explain-route`.

use std::process::{Command, Output};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;
use stand_in::gateway::caller;

use crate::harness::{Gateway, Harness, plain, stream};

/// Runs the verb with the metrics address of a gateway.
fn explain_route(gateway: &Gateway, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"))
        .args(["explain-route", "--daemon"])
        .arg(gateway.metrics_address().to_string())
        .args(arguments)
        .output()
        .expect("started")
}

/// Returns the answer to a question in JSON.
fn explanation(gateway: &Gateway, arguments: &[&str]) -> Value {
    let output = explain_route(gateway, &[arguments, &["--json"]].concat());
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Returns the upstream that a request was sent to first.
fn chosen(gateway: &Gateway, id: &str) -> String {
    let log = gateway.log();
    let line = log
        .lines()
        .find(|line| line.contains(&format!("event=chosen id={id} ")));
    let upstream = line.and_then(|line| line.split(" upstream=").nth(1));
    let upstream = upstream.and_then(|rest| rest.split(' ').next());
    upstream.expect("an upstream").into()
}

/// Guards against an explanation that is not made by the code that serves requests, or that reserves slots.
#[tokio::test(flavor = "multi_thread")]
async fn explained_upstream_is_the_one_that_the_next_request_gets() {
    let harness = Harness::spawn(1).await;
    let gateway = &harness.gateways[0];
    let mut upstreams = Vec::new();
    for n in 0..10 {
        let id = format!("s{n}");
        let session = format!("session-{id}");
        let asked = explanation(
            gateway,
            &[
                "--route",
                "ask",
                "--customer",
                "t1",
                "--model",
                "*",
                "--session",
                &session,
                "--prompt-parts",
                "a:500,b:200",
                "--tokens",
                "900,24",
                "--deadline-ms",
                "8000",
                "--body-bytes",
                "8",
            ],
        );
        assert_eq!(asked["model"], "small");
        assert_eq!(asked["candidates"].as_array().expect("a list").len(), 2);
        gateway.call(&stream(&id, "/ask/easy")).await;
        assert_eq!(
            asked["decision"]["upstream"]["upstream"],
            chosen(gateway, &id)
        );
        let id = format!("l{n}");
        let looked = explanation(gateway, &["--route", "look", "--session", &id]);
        gateway.call(&plain(&id, Method::GET, "/look/1")).await;
        assert_eq!(
            looked["decision"]["upstream"]["upstream"],
            chosen(gateway, &id)
        );
        assert_eq!(looked["candidates"][0]["passed_over"], Value::Null);
        assert_eq!(looked["candidates"][1]["passed_over"], "costlier");
        assert_eq!(looked["candidates"][0]["running"], 0);
        upstreams.push(chosen(gateway, &id));
    }
    // The explanations did not agree by chance.
    upstreams.sort();
    upstreams.dedup();
    assert_eq!(upstreams, ["p1", "p2"]);
    let runs = harness
        .upstreams
        .iter()
        .map(|upstream| upstream.runs().len());
    assert_eq!(runs.sum::<usize>(), 20);
}

/// Guards against a reason that is not told, and against a route that is taken for another.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_and_unknown_route_are_explained() {
    let harness = Harness::spawn(1).await;
    let gateway = &harness.gateways[0];
    harness.remove_plain_upstreams().await;
    let answer = explanation(gateway, &["--route", "look"]);
    assert_eq!(answer["decision"]["refuse"]["reason"], "none_listed");
    let output = explain_route(gateway, &["--route", "other"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no_route"));
    let output = explain_route(gateway, &["--route", "look", "--customer", "other"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("no_customer"));
}

/// Guards against questions of other instances.
#[tokio::test(flavor = "multi_thread")]
async fn question_from_another_address_is_refused() {
    let harness = Harness::spawn(1).await;
    let gateway = &harness.gateways[0];
    // Without an address of its own, a connection on the loopback interface comes from 127.0.0.1.
    let sender = caller::connect(gateway.metrics_address()).await;
    let mut sender = sender.expect("connected");
    let question = Bytes::from_static(br#"{"route":"look"}"#);
    let request = caller::request(Method::POST, "/explain-route", &Vec::new(), question);
    let response = sender.send_request(request).await.expect("a response");
    assert_eq!(response.status(), StatusCode::FORBIDDEN);
}
