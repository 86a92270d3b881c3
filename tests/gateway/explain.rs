//! From a failed request's id to its cause, by the log alone, as docs/OPERATIONS.md tells it.

use std::{
    io::Write as _,
    process::{Command, Stdio},
};

use http::{Method, StatusCode};

use stand_in::gateway::{deployment::configuration, upstream::Behaviour};

use crate::bed::{Bed, plain, stream, wait};

/// What `hibiscusyoke trace ID` makes of a log.
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
async fn refused_request_without_places() {
    let bed = Bed::spawn(1).await;
    bed.remove_desks().await;
    let answer = bed.call(&plain("q1", Method::POST, "/book/1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let told = trace("q1", &bed.gateways[0].log());
    assert!(
        told.contains("event=no_place id=q1 why=none_listed"),
        "{told}"
    );
    assert!(told.contains("event=upstream_left upstream=p2"), "{told}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_off_midway() {
    let bed = Bed::spawn(1).await;
    bed.engines()
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::BreakAfter(2)));
    let response = bed.gateways[0].open(&stream("q2", "/ask/easy")).await;
    http_body_util::BodyExt::collect(response.into_body())
        .await
        .expect_err("cut");
    let told = trace("q2", &bed.gateways[0].log());
    assert!(told.contains("outcome=broken"), "{told}");
    assert!(
        told.contains("event=stream_ended id=q2 outcome=broken_off"),
        "{told}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_after_a_configuration_change() {
    let bed = Bed::spawn(1).await;
    bed.table.put("op", "config", &configuration(2, &["k2"]));
    let log = || bed.gateways[0].log();
    wait(|| async { log().contains("configuration generation=2") }).await;
    let answer = bed.call(&plain("q3", Method::GET, "/look/1")).await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    let told = trace("q3", &log());
    assert!(
        told.contains("event=refused id=q3 reason=no_customer generation=2"),
        "{told}"
    );
    assert!(told.contains("configuration generation=2"), "{told}");
}
