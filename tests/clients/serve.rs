//! Crowds at a daemon with the product's own interface.

use std::time::Duration;

use http::StatusCode;
use tokio::task::JoinSet;

use crate::{
    crowd::{Crowd, Script},
    gateway::ALONE,
    streams::{STREAM_TIME, send_streams_that_stop_short},
    support::{
        caller::chat,
        fleet::{Fleet, FleetPlan},
        objects::CUSTOMER_KEY,
    },
    usage::Usage,
};

/// Memory of an instance in MB whose settings do not name it.
const MEMORY_MB: u64 = 256;
/// Number of clients; their bodies alone exceed the instance's memory.
const CROWD: usize = 320;
/// Number of HTTP/2 connections; the bodies of their streams alone exceed the instance's memory.
const CONNECTIONS: usize = 8;
/// Number of zeros after which a client gives up: several times the largest body, and what buffers hold.
const MOST_ZEROS: usize = 16 << 20;
/// Maximum size of a body.
const BODY_LIMIT: usize = 1 << 20;
/// Time for which an ordinary caller that is refused tries again.
const RETRY_TIME: Duration = Duration::from_secs(30);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

async fn assert_answered(fleet: &Fleet) {
    let daemon = fleet.daemons[0].callers;
    let answered = async {
        loop {
            let reply = chat("summarise difficulty=0.2", false).send(daemon).await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    let answered = tokio::time::timeout(RETRY_TIME, answered).await;
    answered.expect("an ordinary request is answered");
}

async fn assert_bears(script: &Script) {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::spawn(FleetPlan::default()).await;
    fleet.wait_serving().await;
    let daemon = &mut fleet.daemons[0];
    let address = daemon.callers;
    let usage = Usage::observe(daemon.process.child().id(), address);
    let crowd = Crowd::connect(address, CROWD, script);
    crowd.sent().await;
    assert_answered(&fleet).await;
    crowd.leave().await;
    assert_answered(&fleet).await;
    assert_within_memory(&usage);
}

fn assert_within_memory(usage: &Usage) {
    let peak = usage.peak();
    println!("peak {peak:?}");
    assert!(peak.memory_bytes > 0, "the process was not observed");
    assert!(peak.memory_bytes <= MEMORY_MB * 1_000_000, "{peak:?}");
}

fn with_key(script: Script) -> Script {
    script.header(&format!("authorization: Bearer {CUSTOMER_KEY}"))
}

/// Guards against streams of one connection that together hold more than its windows.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_daemon_is_bounded_if_streams_stop_short() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::spawn(FleetPlan::default()).await;
    fleet.wait_serving().await;
    let daemon = &mut fleet.daemons[0];
    let address = daemon.callers;
    let usage = Usage::observe(daemon.process.child().id(), address);
    let mut crowd = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let path = "/v1/chat/completions";
        crowd.spawn(send_streams_that_stop_short(address, path, CUSTOMER_KEY));
    }
    tokio::time::sleep(STREAM_TIME).await;
    assert_answered(&fleet).await;
    crowd.shutdown().await;
    assert_answered(&fleet).await;
    assert_within_memory(&usage);
}

/// Zeros before the size of a chunk were read until the body's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn zeros_before_the_size_of_a_chunk_end_at_a_daemon() {
    let _alone = ALONE.lock().await;
    let fleet = Fleet::spawn(FleetPlan::default()).await;
    fleet.wait_serving().await;
    let address = fleet.daemons[0].callers;
    let zeros = vec![b'0'; 64 << 10];
    let script =
        Script::chunked("POST /v1/chat/completions", 0, &[1]).then_endless(&zeros, MOST_ZEROS);
    let (is_sent, _) = with_key(script).send_then_read(address, "z").await;
    assert!(!is_sent, "zeros are read without end");
    assert_answered(&fleet).await;
}

/// A client without a valid key was reset while it sent, and never learned why.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_daemon_reaches_a_client_that_sends() {
    let _alone = ALONE.lock().await;
    let fleet = Fleet::spawn(FleetPlan::default()).await;
    fleet.wait_serving().await;
    let address = fleet.daemons[0].callers;
    let length = 4 * BODY_LIMIT;
    let script = Script::with_length("POST /v1/chat/completions", length as u64, length);
    for n in 0..10 {
        let (is_sent, line) = script.send_then_read(address, &format!("r{n}")).await;
        assert!(is_sent, "the connection was reset");
        assert_eq!(line, "HTTP/1.1 401 Unauthorized");
    }
}

/// Bodies counted each alone, and a crowd of them filled the instance's memory.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_daemon_is_bounded_if_bodies_stop_short() {
    let target = "POST /v1/chat/completions";
    let script = Script::with_length(target, BODY_LIMIT as u64, BODY_LIMIT - 1);
    assert_bears(&with_key(script)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_daemon_is_bounded_if_chunked_bodies_stop_short() {
    let target = "POST /v1/services/registry/x";
    let script = Script::chunked(target, BODY_LIMIT - 1, &[64 << 10, 1, 700]);
    assert_bears(&with_key(script)).await;
}
