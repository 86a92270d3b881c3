//! Finding the cause of a failed request from its id and the log alone, as docs/OPERATIONS.md
//! describes.

use std::{
    io::Write as _,
    process::{Command, Stdio},
};

use http::{Method, StatusCode};

use stand_in::gateway::{deployment::configuration, upstream::Behaviour};

use crate::harness::{Harness, plain, stream, wait_until};

/// Returns the output of `hibiscusyoke trace ID` for a log.
fn trace(id: &str, log: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusyoke"))
        .args(["trace", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("started");
    let mut stdin = child.stdin.take().expect("a pipe");
    stdin.write_all(log.as_bytes()).expect("written");
    drop(stdin);
    let output = child.wait_with_output().expect("ended");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("text")
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_upstreams_is_traced() {
    let harness = Harness::spawn(1).await;
    harness.remove_plain_upstreams().await;
    let reply = harness.call(&plain("q1", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let trace_output = trace("q1", &harness.gateways[0].log());
    assert!(
        trace_output.contains("event=no_place id=q1 why=none_listed"),
        "{trace_output}"
    );
    assert!(
        trace_output.contains("event=upstream_left upstream=p2"),
        "{trace_output}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_stream_is_traced() {
    let harness = Harness::spawn(1).await;
    harness
        .engines()
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::BreakAfter(2)));
    let response = harness.gateways[0].open(&stream("q2", "/ask/easy")).await;
    http_body_util::BodyExt::collect(response.into_body())
        .await
        .expect_err("cut");
    let trace_output = trace("q2", &harness.gateways[0].log());
    assert!(trace_output.contains("outcome=broken"), "{trace_output}");
    assert!(
        trace_output.contains("event=stream_ended id=q2 outcome=broken_off"),
        "{trace_output}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_key_after_configuration_change_is_traced() {
    let harness = Harness::spawn(1).await;
    harness
        .table
        .put("op", "config", &configuration(2, &["k2"]));
    let log = || harness.gateways[0].log();
    wait_until(|| async { log().contains("configuration generation=2") }).await;
    let reply = harness.call(&plain("q3", Method::GET, "/look/1")).await;
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
    let trace_output = trace("q3", &log());
    assert!(
        trace_output.contains("event=refused id=q3 reason=no_customer generation=2"),
        "{trace_output}"
    );
    assert!(
        trace_output.contains("configuration generation=2"),
        "{trace_output}"
    );
}
