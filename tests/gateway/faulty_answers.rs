//! Answers of faulty upstreams: refusals of other requests, errors inside streams and heads that are cut.

use http::{Method, StatusCode};
use http_body_util::BodyExt;

use stand_in::gateway::{
    raw_upstream::{RawRequest, RawUpstream},
    upstream::runs_by_id,
};

use crate::harness::{Harness, plain, stream, wait_until};

/// Maximum number of requests until one is sent to a given upstream; the choice is partly random.
const MAX_REQUESTS: usize = 64;
/// Number of events of a complete stream of an engine.
const EVENTS: usize = 6;

/// Replaces an upstream by one that answers as `script` says, and waits until the gateway knows.
async fn replace(
    harness: &Harness,
    index: usize,
    script: impl Fn(&RawRequest) -> Vec<u8> + Send + Sync + 'static,
) -> RawUpstream {
    let replaced = &harness.upstreams[index];
    let raw = RawUpstream::spawn(script).await;
    let service = if index < 2 { "pool" } else { "desk" };
    let mut row = replaced.row_at(raw.address(), service, "v1");
    row["born"] = 2.into();
    harness.table.put("servers", &replaced.id, &row);
    let joined = format!("event=upstream_joined upstream={} row={row}", replaced.id);
    wait_until(|| async { harness.gateways[0].log().contains(&joined) }).await;
    raw
}

fn bytes(text: impl Into<String>) -> Vec<u8> {
    text.into().replace('\n', "\r\n").into_bytes()
}

/// A refusal of another request, written once more by a faulty upstream that runs this one.
fn foreign_refusal(status: &str) -> Vec<u8> {
    bytes(format!(
        "HTTP/1.1 {status}\nRequest-Id: another\nNot-Executed: 1\nContent-Length: 4\n\nfull"
    ))
}

/// An error of an upstream that has run the request, whose body ends too early.
fn cut_error(status: &str, id: &str) -> Vec<u8> {
    bytes(format!(
        "HTTP/1.1 {status}\nRequest-Id: {id}\nResponse-Seal: r\nRetry-After: 1\nContent-Length: 4\n\nfu"
    ))
}

/// Sends bookings until one reaches an upstream with these answers, which must not run again or be told to have
/// not run.
async fn check_booking(
    name: &str,
    answer: impl Fn(&RawRequest) -> Vec<u8> + Send + Sync + 'static,
) {
    let harness = Harness::spawn(1).await;
    let raw = replace(&harness, 2, answer).await;
    for n in 0..MAX_REQUESTS {
        let id = format!("b{n}");
        let reply = harness.call(&plain(&id, Method::POST, "/book/1")).await;
        let is_raw = raw.requests().iter().any(|request| request.id == id);
        let runs = runs_by_id(&harness.plain_upstreams()).get(&id).copied();
        if !is_raw {
            assert_eq!((reply.status, runs), (StatusCode::OK, Some(1)), "{name}");
            continue;
        }
        assert_eq!(
            (reply.status, runs),
            (StatusCode::BAD_GATEWAY, None),
            "{name}"
        );
        break;
    }
    assert!(!raw.requests().is_empty(), "{name}");
}

/// A caller was told that a request had not run, or it ran a second time, as an upstream repeated the
/// refusal of an earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_another_request_promises_nothing() {
    for status in ["503 Full", "429 Full", "421 Misdirected", "400 Bad"] {
        check_booking(status, move |_| foreign_refusal(status)).await;
    }
}

/// An error whose body is cut must not pass for a refusal either.
#[tokio::test(flavor = "multi_thread")]
async fn error_that_is_cut_promises_nothing() {
    for status in ["503 Failed", "429 Failed", "408 Failed"] {
        check_booking(status, move |req| cut_error(status, &req.id)).await;
    }
}

/// The start of a stream whose connection ends after a whole event.
fn broken_stream(req: &RawRequest) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\nRequest-Id: {}\nResponse-Seal: r\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n",
        req.id
    );
    let events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    let mut answer = bytes(head);
    answer.extend(format!("{:x}\r\n{events}\r\n", events.len()).bytes());
    answer
}

/// An answer to the attempt to resume a stream, and bytes of it that no caller may get.
type FaultyResumption = (&'static str, fn(&RawRequest) -> String, &'static str);

/// Answers of another upstream to the attempt to resume a stream.
const RESUMPTIONS: [FaultyResumption; 7] = [
    (
        "error",
        |req| {
            format!(
                "HTTP/1.1 500 Error\nRequest-Id: {}\nResponse-Seal: r\nContent-Length: 10\n\nid: 9 oops",
                req.id
            )
        },
        "oops",
    ),
    (
        "refusal",
        |req| {
            format!(
                "HTTP/1.1 503 Full\nRequest-Id: {}\nNot-Executed: 1\nContent-Length: 4\n\nfull",
                req.id
            )
        },
        "full",
    ),
    (
        "text",
        |req| {
            format!(
                "HTTP/1.1 200 OK\nRequest-Id: {}\nResponse-Seal: r\nContent-Type: text/plain\n\ninternal oops",
                req.id
            )
        },
        "oops",
    ),
    (
        "text_of_whole_lines",
        |req| {
            format!(
                "HTTP/1.1 200 OK\nRequest-Id: {}\nResponse-Seal: r\nContent-Type: text/event-stream\nContent-Length: 15\n\ninternal oops@@",
                req.id
            )
        },
        "oops",
    ),
    (
        "json",
        |req| {
            format!(
                "HTTP/1.1 200 OK\nRequest-Id: {}\nResponse-Seal: r\nContent-Type: application/json\nContent-Length: 19\n\n{{\"error\": \"oops\"}}@@",
                req.id
            )
        },
        "oops",
    ),
    (
        "second_head",
        |req| {
            format!(
                "HTTP/1.1 200 OK\nRequest-Id: {}\nResponse-Seal: r\nContent-Type: text/event-stream\n\nHTTP/1.1 500 oops\nContent-Length: 4\n\noops@@id: 3@data: three@@",
                req.id
            )
        },
        "oops",
    ),
    (
        "head_that_is_cut",
        |req| format!("HTTP/1.1 200 OK\nRequest-Id: {}\nResponse-Seal: r", req.id),
        "Seal",
    ),
];

/// Callers found the text or the head of an error in their stream, or the stream ended as if it were
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn failed_resumption_puts_nothing_into_the_stream() {
    for (name, answer, text) in RESUMPTIONS {
        let harness = Harness::spawn(1).await;
        let first = replace(&harness, 0, move |req| break_and_answer(req, answer)).await;
        let second = replace(&harness, 1, move |req| break_and_answer(req, answer)).await;
        let response = harness.gateways[0].open(&stream("s1", "/ask/easy")).await;
        assert_eq!(response.status(), StatusCode::OK, "{name}");
        let mut body = response.into_body();
        let mut received = Vec::new();
        let is_complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => received.extend(frame.into_data().unwrap_or_default()),
            }
        };
        let received = String::from_utf8(received).expect("text");
        assert!(!is_complete, "{name}: {received}");
        assert_eq!(
            received, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n",
            "{name}"
        );
        assert!(!received.contains(text), "{name}: {received}");
        let resumed = |raw: &RawUpstream| raw.requests().iter().any(|r| r.last_event_id == Some(2));
        assert!(resumed(&first) || resumed(&second), "{name}");
    }
}

/// Breaks a stream off, or answers the attempt to resume it.
fn break_and_answer(req: &RawRequest, answer: fn(&RawRequest) -> String) -> Vec<u8> {
    match req.last_event_id {
        None => broken_stream(req),
        Some(_) => bytes(answer(req)).into_iter().map(unescape).collect(),
    }
}

/// Restores line ends that are not those of the head.
fn unescape(byte: u8) -> u8 {
    if byte == b'@' { b'\n' } else { byte }
}

/// A sound stream went on after the error of an upstream that was asked to resume it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_elsewhere_after_a_failed_resumption() {
    for (name, answer, _) in RESUMPTIONS {
        let mut harness = Harness::spawn(1).await;
        add_engine(&mut harness).await;
        for index in [0, 1] {
            replace(&harness, index, move |req| break_and_answer(req, answer)).await;
        }
        for n in 0..8 {
            let response = harness.gateways[0]
                .open(&stream(&format!("s{n}"), "/ask/easy"))
                .await;
            let Ok(body) = response.into_body().collect().await else {
                continue;
            };
            let body = String::from_utf8(body.to_bytes().to_vec()).expect("text");
            let ids: Vec<&str> = body
                .lines()
                .filter_map(|line| line.strip_prefix("id: "))
                .collect();
            assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "{name}: {body}");
            assert_eq!(body.split("\n\n").count(), EVENTS + 1, "{name}: {body}");
        }
    }
}

/// Adds a sound engine, so that there are three.
async fn add_engine(harness: &mut Harness) {
    let engine = stand_in::gateway::upstream::FakeUpstream::spawn("e3").await;
    harness
        .table
        .put("servers", "e3", &engine.row("pool", "v1"));
    harness.upstreams.push(engine);
    let joined = "event=upstream_joined upstream=e3";
    wait_until(|| async { harness.gateways[0].log().contains(joined) }).await;
}

/// Callers got a 200 with an empty or short body, as an upstream closed the connection inside the head.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_cut_is_not_passed_on() {
    let whole = "HTTP/1.1 200 OK\nRequest-Id: ID\nResponse-Seal: r\nContent-Length: 20\n\nanswer of 20 bytes..";
    let cuts = (1..bytes(whole).len()).filter(|cut| cut % 7 == 0 || *cut > 60);
    let harness = Harness::spawn(1).await;
    let raw = replace(&harness, 2, move |req: &RawRequest| {
        let cut: usize = req
            .id
            .rsplit('-')
            .next()
            .map_or(0, |n| n.parse().expect("a number"));
        let answer = bytes(whole.replace("ID", &req.id));
        answer[..answer.len().min(cut)].to_vec()
    })
    .await;
    for cut in cuts {
        for (method, path, status) in [
            (Method::POST, "/book/1", StatusCode::BAD_GATEWAY),
            (Method::GET, "/look/1", StatusCode::OK),
        ] {
            let id = format!("{}-{cut}", method.as_str().to_lowercase());
            let reply = harness.call(&plain(&id, method, path)).await;
            let is_raw = raw.requests().iter().any(|request| request.id == id);
            let expected = if is_raw { status } else { StatusCode::OK };
            assert_eq!(reply.status, expected, "{id}: {}", reply.body);
            if reply.status == StatusCode::OK {
                assert_eq!(reply.body, format!("answer to {id}"));
            }
        }
    }
    assert!(!raw.requests().is_empty());
}
