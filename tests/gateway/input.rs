//! Invalid requests, and headers that callers may not set.

use bytes::Bytes;
use http::{Method, StatusCode};

use crate::harness::{Harness, plain, stream};

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_their_status() {
    let harness = Harness::spawn(1).await;
    let get = |path| plain("x", Method::GET, path);
    let with = |name: &'static str, value: &str| {
        let mut call = get("/look/1");
        call.headers.retain(|(n, _)| *n != name);
        call.headers.push((name, value.into()));
        call
    };
    let mut keyless = get("/look/1");
    keyless.headers.retain(|(name, _)| *name != "x-api-key");
    let mut large = plain("x", Method::POST, "/book/1");
    large.body = Bytes::from(vec![b'x'; 5_000]);
    let cases = [
        (get("/nowhere/"), StatusCode::NOT_FOUND),
        (with("host", "other"), StatusCode::NOT_FOUND),
        (with("x-api-key", "unknown"), StatusCode::UNAUTHORIZED),
        (keyless, StatusCode::UNAUTHORIZED),
        (with("deadline-ms", "soon"), StatusCode::BAD_REQUEST),
        (with("prompt-prefix", "a"), StatusCode::OK),
        (
            with("x-long", &"x".repeat(40_000)),
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ),
        (large, StatusCode::PAYLOAD_TOO_LARGE),
    ];
    for (call, expected) in cases {
        let reply = harness.call(&call).await;
        assert_eq!(
            reply.status,
            expected,
            "{} {:?}",
            call.path,
            call.headers.last()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_headers_do_not_reach_an_upstream() {
    let harness = Harness::spawn(1).await;
    let mut call = stream("s1", "/ask/easy");
    for name in [
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "tenant-id",
        "expect-instance",
        "expect-version",
        "request-priority",
    ] {
        call.headers.push((name, "forged".into()));
    }
    assert_eq!(harness.call(&call).await.status, StatusCode::OK);
    let run = harness
        .engines()
        .iter()
        .flat_map(|engine| engine.runs())
        .next()
        .expect("it ran");
    assert!(
        run.headers.values().all(|value| value != "forged"),
        "{:?}",
        run.headers
    );
    assert_eq!(run.headers["tenant-id"], "t1");
    assert!(!run.headers.contains_key("x-api-key"));
    assert_eq!(run.body, "a prompt");
    let remaining_ms: u64 = run.headers["deadline-ms"]
        .to_str()
        .expect("text")
        .parse()
        .expect("milliseconds");
    assert!(
        remaining_ms <= 4_000,
        "the route's timeout applies as well: {remaining_ms}"
    );
}
