//! Sound upstreams that are silent for a second and go on.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use stand_in::gateway::upstream::Behaviour;

use crate::harness::{Harness, plain, stream};

/// How long the upstreams are silent, in milliseconds.
const SILENCE_MS: u64 = 1_300;

/// Requests under way are answered when the upstream goes on, and it is not treated as failed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_under_way_survive_a_short_silence() {
    let harness = Harness::spawn(2).await;
    for upstream in &harness.upstreams {
        upstream.set_behaviour(Behaviour::SilentFor(SILENCE_MS));
    }
    let book = plain("b1", Method::POST, "/book/1");
    let ask = stream("s1", "/ask/easy");
    let (book, ask) = tokio::join!(harness.call(&book), harness.call(&ask));
    assert_eq!((book.status, ask.status), (StatusCode::OK, StatusCode::OK));
    for upstream in &harness.upstreams {
        upstream.set_behaviour(Behaviour::Serve);
    }
    for n in 0..20 {
        let sent_at = Instant::now();
        let reply = harness
            .call(&plain(&format!("l{n}"), Method::GET, "/look/1"))
            .await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(sent_at.elapsed() < Duration::from_secs(1));
    }
    let log = harness.gateways[0].log();
    for event in [
        "upstream_presumed_cold",
        "upstream_crashed",
        "upstreams_lost",
    ] {
        assert!(!log.contains(event), "{log}");
    }
}
