//! Sound upstreams that are silent for a second and go on.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::Value;
use stand_in::gateway::{
    caller,
    deployment::configuration,
    upstream::{Behaviour, EVENTS_PER_STREAM, runs_by_id},
};

use crate::harness::{Call, Harness, plain, stream, wait_until};

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

/// How long each run of a stream pauses; longer than a stream waits for one that another upstream can replace.
const PAUSE_MS: u64 = 3_000;
/// Time that callers of such streams wait.
const LONG_DEADLINE_MS: u32 = 20_000;

/// Starts a gateway whose upstreams pause in each run of a stream.
async fn spawn_with_pauses(change: impl Fn(&mut Value)) -> Harness {
    let harness = Harness::spawn_with(1, |_, settings| change(settings)).await;
    let mut patient = configuration(2, &["k1"]);
    patient["routes"][0]["timeout_ms"] = LONG_DEADLINE_MS.into();
    harness.table.put("op", "config", &patient);
    let applied = "configuration generation=2";
    wait_until(|| async { harness.gateways[0].log().contains(applied) }).await;
    for engine in harness.engines() {
        engine.set_behaviour(Behaviour::PauseAfter(1, PAUSE_MS));
    }
    harness
}

/// Returns the number of events of a stream, which must be complete.
async fn ask(harness: &Harness) -> u64 {
    let call = Call {
        headers: caller::stream_headers("s1", "k1", LONG_DEADLINE_MS),
        ..stream("s1", "/ask/easy")
    };
    let reply = harness.call(&call).await;
    assert_eq!(reply.status, StatusCode::OK);
    reply.body.matches("id: ").count() as u64
}

/// A stream was cut when its last attempt was silent for 2.5 s, though the upstream had not broken off.
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_upstreams_all_pause_is_not_cut() {
    let harness = spawn_with_pauses(|_| {}).await;
    assert_eq!(ask(&harness).await, EVENTS_PER_STREAM);
}

/// The same where the retry budget has nothing left, and for an upstream that pauses once.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_pauses_is_not_cut_if_no_retry_is_left() {
    let harness = spawn_with_pauses(|settings| {
        settings["repeat_ratio"] = 0.into();
        settings["repeat_slack"] = 0.into();
    })
    .await;
    assert_eq!(ask(&harness).await, EVENTS_PER_STREAM);
    let runs = runs_by_id(&harness.engines());
    assert_eq!(runs.get("s1"), Some(&1));
}
