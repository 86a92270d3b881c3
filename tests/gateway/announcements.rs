//! Upstreams that announce in their responses that they leave or want a pause.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use stand_in::gateway::upstream::Behaviour;

use crate::harness::{Harness, plain, stream};

/// Pause that an upstream asks for, in seconds.
const PAUSE_S: u64 = 3;
/// Time after the answer in which requests that were under way may still arrive.
const PAUSE_MARGIN: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_more_requests() {
    let harness = Harness::spawn(1).await;
    for (path, upstreams) in [
        ("/ask/easy", harness.engines()),
        ("/look/1", harness.plain_upstreams()),
    ] {
        let leaving = upstreams[0];
        leaving.set_behaviour(Behaviour::Leave);
        let mut replies = 0;
        while leaving.arrivals().is_empty() {
            replies += 1;
            assert!(replies < 200, "{path} never reaches the leaving upstream");
            call(&harness, path, replies).await;
        }
        for n in 0..20 {
            call(&harness, path, 1_000 + n).await;
        }
        assert_eq!(leaving.arrivals().len(), 1, "{path}");
    }
    let log = harness.gateways[0].log();
    assert_eq!(log.matches("event=upstream_announced").count(), 2, "{log}");
}

/// The request that was refused is served elsewhere, and the upstream has its pause.
#[tokio::test(flavor = "multi_thread")]
async fn paused_upstream_gets_no_requests_until_the_pause_ends() {
    let harness = Harness::spawn(1).await;
    let [pausing, _] = harness.plain_upstreams();
    pausing.set_behaviour(Behaviour::RefuseWithPause(PAUSE_S));
    let mut calls = 0;
    while pausing.arrivals().is_empty() {
        calls += 1;
        assert!(calls < 200, "the pausing upstream is never reached");
        call(&harness, "/look/1", calls).await;
    }
    let refused_at = Instant::now();
    let end = refused_at + Duration::from_secs(PAUSE_S);
    pausing.set_behaviour(Behaviour::Serve);
    while Instant::now() < end {
        calls += 1;
        call(&harness, "/look/1", calls).await;
    }
    let early = pausing
        .arrivals()
        .into_iter()
        .filter(|at| *at > refused_at + PAUSE_MARGIN && *at < end - PAUSE_MARGIN);
    assert_eq!(early.count(), 0);
    let resumed = end + Duration::from_secs(2);
    while pausing.arrivals().len() < 5 {
        assert!(
            Instant::now() < resumed,
            "the upstream gets no requests after its pause"
        );
        calls += 1;
        call(&harness, "/look/1", calls).await;
    }
}

async fn call(harness: &Harness, path: &'static str, n: u32) {
    let id = format!("a{n}");
    let call = match path.starts_with("/ask/") {
        true => stream(&id, path),
        false => plain(&id, Method::GET, path),
    };
    let reply = harness.call(&call).await;
    assert_eq!(reply.status, StatusCode::OK, "{path} {}", reply.body);
}
