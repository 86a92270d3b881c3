//! Responses to callers when upstreams fail.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;

use stand_in::gateway::upstream::{Behaviour, FakeUpstream, Framing, runs_by_id};

use crate::harness::{Harness, plain, stream, wait_until};

/// Maximum number of streams until one is sent to a given engine; the choice is partly random.
const MAX_STREAMS: usize = 64;
/// Ids of the events of a complete stream.
const ALL_EVENTS: [&str; 6] = ["1", "2", "3", "4", "5", "6"];

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_resumes_on_another_upstream() {
    let harness = Harness::spawn(1).await;
    for breaking in harness.engines() {
        assert_resumed(&harness, breaking, Behaviour::BreakAfter(2)).await;
    }
}

/// An orderly end of the body is no proof that the stream is complete.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_inside_an_event_resumes_on_another_upstream() {
    for framing in [Framing::Close, Framing::Chunked] {
        let harness = Harness::spawn(1).await;
        set_framing(&harness, framing);
        assert_resumed(&harness, harness.engines()[0], Behaviour::EndAfter(2)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_before_its_first_event_resumes_on_another_upstream() {
    let harness = Harness::spawn(1).await;
    set_framing(&harness, Framing::Close);
    assert_resumed(&harness, harness.engines()[0], Behaviour::EndAfter(0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_events_resumes_on_another_upstream() {
    let harness = Harness::spawn(1).await;
    set_framing(&harness, Framing::Close);
    assert_resumed(&harness, harness.engines()[0], Behaviour::EndEmpty).await;
}

/// The caller misses at least the event in which the first upstream stopped.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_without_the_interrupted_event_is_broken_off() {
    let harness = Harness::spawn(1).await;
    set_framing(&harness, Framing::Close);
    let [e1, e2] = harness.engines();
    e1.set_behaviour(Behaviour::EndAfter(2));
    e2.set_behaviour(Behaviour::EndEmpty);
    let response = harness.gateways[0].open(&stream("s1", "/ask/easy")).await;
    let body = response.into_body().collect().await;
    body.expect_err("the connection is closed before the end of the body");
    assert!(!e1.runs().is_empty() && !e2.runs().is_empty());
}

/// An upstream has nothing to add to a stream of which the caller has all events.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_by_the_caller_after_its_last_event_is_complete() {
    let harness = Harness::spawn(1).await;
    set_framing(&harness, Framing::Close);
    let mut call = stream("s1", "/ask/easy");
    call.headers.push(("last-event-id", "6".into()));
    let reply = harness.call(&call).await;
    assert_eq!((reply.status, reply.body.as_str()), (StatusCode::OK, ""));
    let runs = runs_by_id(&harness.engines());
    assert_eq!(runs.get("s1"), Some(&1));
}

/// A caller must not take a stream for complete that no upstream has completed.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_inside_an_event_everywhere_is_broken_off() {
    let harness = Harness::spawn(1).await;
    for framing in [Framing::Close, Framing::Chunked] {
        set_framing(&harness, framing);
        for engine in harness.engines() {
            engine.set_behaviour(Behaviour::EndAfter(2));
        }
        let id = format!("s-{framing:?}");
        let response = harness.gateways[0].open(&stream(&id, "/ask/easy")).await;
        assert_eq!(response.status(), StatusCode::OK);
        let body = response.into_body().collect().await;
        body.expect_err("the connection is closed before the end of the body");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_stream_without_length_or_chunks_is_served() {
    let harness = Harness::spawn(1).await;
    set_framing(&harness, Framing::Close);
    let reply = harness.call(&stream("s1", "/ask/easy")).await;
    assert_eq!(event_ids(&reply.body), ALL_EVENTS);
    let log = harness.gateways[0].log();
    assert!(
        log.contains("framing=close events=6 partial_bytes=0"),
        "{log}"
    );
}

fn set_framing(harness: &Harness, framing: Framing) {
    for engine in harness.engines() {
        engine.set_framing(framing);
    }
}

/// Asserts that a stream which one engine breaks off is completed by another.
async fn assert_resumed(harness: &Harness, breaking: &FakeUpstream, behaviour: Behaviour) {
    for engine in harness.engines() {
        engine.set_behaviour(Behaviour::Serve);
    }
    breaking.set_behaviour(behaviour);
    let runs_before = breaking.runs().len();
    let mut broken = None;
    for n in 0..MAX_STREAMS {
        let id = format!("{}-{runs_before}-{n}", breaking.id);
        let reply = harness.call(&stream(&id, "/ask/easy")).await;
        assert_eq!(event_ids(&reply.body), ALL_EVENTS, "{}", reply.body);
        if breaking.runs().len() > runs_before {
            broken = Some(id);
            break;
        }
    }
    let id = broken.expect("a stream is sent to the engine that breaks");
    let log = harness.gateways[0].log();
    assert!(log.contains(&format!("event=resumed id={id} ")), "{log}");
}

fn event_ids(body: &str) -> Vec<&str> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_on_another_upstream() {
    let harness = Harness::spawn(1).await;
    let [p1, _] = harness.plain_upstreams();
    for behaviour in [
        Behaviour::Fail,
        Behaviour::Break,
        Behaviour::Foreign,
        Behaviour::Unsigned,
        Behaviour::Refuse,
    ] {
        p1.set_behaviour(behaviour);
        for n in 0..4 {
            let reply = harness
                .call(&plain(&format!("l{n}"), Method::GET, "/look/1"))
                .await;
            assert_eq!(
                (reply.status, reply.body),
                (StatusCode::OK, format!("answer to l{n}")),
                "{behaviour:?}"
            );
        }
    }
}

/// A request that may have run is not sent again, and the response does not claim that it has not
/// run.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_runs_at_most_once() {
    let harness = Harness::spawn(1).await;
    for behaviour in [Behaviour::Break, Behaviour::Foreign, Behaviour::Unsigned] {
        harness.set_plain_upstreams(behaviour);
        let id = format!("b-{behaviour:?}");
        let reply = harness.call(&plain(&id, Method::POST, "/book/1")).await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert_eq!(
            runs_by_id(&harness.plain_upstreams())[&id],
            1,
            "{behaviour:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_not_executed_and_gets_retry_after() {
    let harness = Harness::spawn(1).await;
    harness.set_plain_upstreams(Behaviour::Refuse);
    let reply = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after_s: f64 = reply.headers["retry-after"]
        .to_str()
        .expect("text")
        .parse()
        .expect("seconds");
    assert!(
        retry_after_s > 0.0 && retry_after_s < 2.0,
        "{retry_after_s}"
    );
    assert_eq!(runs_by_id(&harness.plain_upstreams()).get("b1"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_error_is_forwarded() {
    let harness = Harness::spawn(1).await;
    harness.set_plain_upstreams(Behaviour::Fail);
    let reply = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(reply.headers["response-seal"], "s");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_ends_at_the_route_timeout() {
    let harness = Harness::spawn(1).await;
    harness.set_plain_upstreams(Behaviour::Hang);
    let started = Instant::now();
    let reply = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    let elapsed_time = started.elapsed();
    assert!(
        elapsed_time >= Duration::from_millis(3_900) && elapsed_time < Duration::from_millis(4_500),
        "{elapsed_time:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_work_stops_when_the_caller_disconnects() {
    let harness = Harness::spawn(1).await;
    harness.set_plain_upstreams(Behaviour::Hang);
    let call = plain("l1", Method::GET, "/look/1");
    let disconnecting = tokio::time::timeout(Duration::from_millis(200), harness.call(&call));
    disconnecting.await.expect_err("it hangs");
    wait_until(|| async {
        harness
            .plain_upstreams()
            .iter()
            .all(|upstream| upstream.in_flight() == 0)
    })
    .await;
    let mut response = harness.gateways[0].open(&stream("s1", "/ask/easy")).await;
    response
        .body_mut()
        .frame()
        .await
        .expect("an event")
        .expect("a complete body");
    drop(response);
    wait_until(|| async {
        harness
            .engines()
            .iter()
            .all(|engine| engine.in_flight() == 0)
    })
    .await;
}

/// Without any upstream the request is refused at once with a `Retry-After` header.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_upstreams_is_refused_at_once() {
    let harness = Harness::spawn(1).await;
    harness.remove_plain_upstreams().await;
    let started = Instant::now();
    let reply = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(500));
}
