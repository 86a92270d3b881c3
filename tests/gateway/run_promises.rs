//! Statuses by which callers learn that a request has not run, after upstreams that ran it have failed.

use std::collections::BTreeMap;

use http::{HeaderName, Method, StatusCode, header};
use serde_json::Value;

use stand_in::gateway::{
    caller::NOT_RUN_STATUSES,
    deployment::configuration,
    upstream::{Behaviour, ErrorAnswer, runs_by_id},
};

use crate::harness::{Call, Gateway, Harness, Reply, plain, stream, wait_until};

/// Requests of each kind in a scene.
const REQUESTS: usize = 12;
/// Lookups that one of two upstreams fails.
const LOOKUPS: usize = 40;
/// Requests after which a daemon that is cut off has noticed it.
const REQUESTS_UNTIL_CUT_OFF: usize = 20;

/// Place of the request id among the headers of a call.
const REQUEST_ID: usize = 1;
const SIGNATURE: HeaderName = HeaderName::from_static("response-seal");

/// Returns the errors of an upstream whose statuses promise more than it has said.
fn errors() -> Vec<ErrorAnswer> {
    let signed = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ]
    .map(ErrorAnswer::signed);
    let unsigned = signed.map(|error| ErrorAnswer {
        is_signed: false,
        ..error
    });
    let with_pause = signed.map(|error| ErrorAnswer {
        retry_after_s: Some(1),
        ..error
    });
    [signed, unsigned, with_pause].concat()
}

/// Returns a request of each kind; streams cannot be resumed in these tests.
fn calls(name: &str) -> [Call; 3] {
    [
        plain(&format!("{name}-book"), Method::POST, "/book/1"),
        stream(&format!("{name}-ask"), "/ask/easy"),
        plain(&format!("{name}-look"), Method::GET, "/look/1"),
    ]
}

/// Starts gateways whose streams must not be resumed.
async fn spawn(gateways: usize) -> Harness {
    let harness = Harness::spawn(gateways).await;
    let mut configuration = configuration(2, &["k1"]);
    configuration["routes"][0]["stream_resume"] = false.into();
    harness.table.put("op", "config", &configuration);
    for gateway in &harness.gateways {
        let applied = "configuration generation=2";
        wait_until(|| async { gateway.log().contains(applied) }).await;
    }
    harness
}

fn runs(harness: &Harness) -> BTreeMap<String, usize> {
    runs_by_id(&harness.upstreams.iter().collect::<Vec<_>>())
}

/// Sends requests of each kind to the first gateway, and returns its replies by the ids of the requests.
async fn send(harness: &Harness, name: &str) -> BTreeMap<String, Reply> {
    let mut replies = BTreeMap::new();
    for n in 0..REQUESTS {
        for call in calls(&format!("{name}-{n}")) {
            let (_, id) = &call.headers[REQUEST_ID];
            replies.insert(id.clone(), harness.call(&call).await);
        }
    }
    replies
}

/// Checks the replies to requests that only failing upstreams can have run.
fn check(harness: &Harness, error: ErrorAnswer, replies: &BTreeMap<String, Reply>) {
    let runs = runs(harness);
    let logs: String = harness.gateways.iter().map(Gateway::log).collect();
    for (id, reply) in replies {
        let count = runs.get(id).copied().unwrap_or(0);
        let context = format!("{error:?} {id}: {} {}", reply.status, reply.body);
        let runs_once = !id.ends_with("-look");
        assert!(count <= 1 || !runs_once, "{context} ran {count} times");
        if count == 0 {
            continue;
        }
        assert!(!NOT_RUN_STATUSES.contains(&reply.status), "{context}");
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{context}");
        assert!(!reply.headers.contains_key(SIGNATURE), "{context}");
        let may_return = reply.headers.contains_key(header::RETRY_AFTER);
        assert!(!runs_once || !may_return, "{context}");
        assert_eq!(
            reply.headers[header::CONTENT_TYPE],
            "application/problem+json"
        );
        let problem: Value = serde_json::from_str(&reply.body).expect("JSON");
        assert_eq!(problem["run"], "unknown", "{context}");
        assert_eq!(problem["status"], 502, "{context}");
        let replaced = format!("event=answer_replaced id={id} ");
        let is_replaced = problem["error"] == "upstream_failed";
        assert!(is_replaced || !runs_once, "{context}");
        assert!(!is_replaced || logs.contains(&replaced), "{context}");
    }
    for kind in ["book", "ask", "look"] {
        let ran = |id: &String| id.ends_with(kind) && runs.contains_key(id);
        assert!(replies.keys().any(ran), "{error:?}: no {kind} ran");
    }
}

/// Callers sent bookings again that had run, as the 408, 429 or 503 of an upstream that had run them was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn error_of_an_upstream_does_not_promise_that_a_request_has_not_run() {
    for (n, error) in errors().into_iter().enumerate() {
        let harness = spawn(1).await;
        for upstream in &harness.upstreams {
            upstream.set_behaviour(Behaviour::FailWith(error));
        }
        let replies = send(&harness, &format!("d{n}")).await;
        check(&harness, error, &replies);
    }
}

/// The same answers passed on by the daemon to which a request was delegated.
#[tokio::test(flavor = "multi_thread")]
async fn error_passed_on_by_another_daemon_does_not_promise_that_a_request_has_not_run() {
    for (n, error) in errors().into_iter().enumerate() {
        let harness = spawn(2).await;
        harness.cut_off(0);
        for m in 0..REQUESTS_UNTIL_CUT_OFF {
            let id = format!("cut-{n}-{m}");
            harness.call(&plain(&id, Method::GET, "/look/1")).await;
        }
        for upstream in &harness.upstreams {
            upstream.set_behaviour(Behaviour::FailWith(error));
        }
        let replies = send(&harness, &format!("p{n}")).await;
        let log = harness.gateways[0].log();
        assert!(log.contains(&format!("event=delegated id=p{n}-")), "{log}");
        check(&harness, error, &replies);
    }
}

/// Lookups were answered with the 408 or 429 of one upstream though the other could serve them, and that upstream
/// counted as sound and quick, so that it got ever more of them.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_is_served_by_another_upstream_after_408_or_429() {
    for status in [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS] {
        let harness = Harness::spawn(1).await;
        let [failing, sound] = harness.plain_upstreams();
        failing.set_behaviour(Behaviour::FailWith(ErrorAnswer::signed(status)));
        for n in 0..LOOKUPS {
            let call = plain(&format!("look-{n}"), Method::GET, "/look/1");
            let reply = harness.call(&call).await;
            assert_eq!(reply.status, StatusCode::OK, "{status} {n}: {}", reply.body);
        }
        let (failed, served) = (failing.runs().len(), sound.runs().len());
        assert_eq!(served, LOOKUPS, "{status}");
        assert!(failed > 0, "{status}: the failing upstream was not tried");
        assert!(4 * failed <= LOOKUPS, "{status}: {failed} of {LOOKUPS}");
    }
}
