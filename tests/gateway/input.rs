//! Invalid requests, and headers that callers may not set.

use bytes::Bytes;
use http::{Method, StatusCode};
use stand_in::gateway::upstream::runs_by_id;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::harness::{Call, Harness, plain, stream};

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

/// HTTP/1.0 has no chunks: a caller could not tell a stream that breaks off from a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn http_1_0_stream_is_refused() {
    let harness = Harness::spawn(1).await;
    let stream_reply = exchange_http_1_0(&harness, &stream("s1", "/ask/easy")).await;
    assert!(stream_reply.starts_with("HTTP/1.0 505 "), "{stream_reply}");
    assert_eq!(runs_by_id(&harness.engines()).get("s1"), None);
    let plain_reply = exchange_http_1_0(&harness, &plain("l1", Method::GET, "/look/1")).await;
    assert!(plain_reply.starts_with("HTTP/1.0 200 "), "{plain_reply}");
    assert!(plain_reply.ends_with("answer to l1"), "{plain_reply}");
}

/// Sends a request as HTTP/1.0 and reads until the gateway closes the connection.
async fn exchange_http_1_0(harness: &Harness, call: &Call) -> String {
    let mut request = format!("{} {} HTTP/1.0\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("content-length: {}\r\n\r\n", call.body.len()));
    let address = harness.gateways[0].caller_address();
    let mut connection = TcpStream::connect(address).await.expect("connected");
    let bytes = [request.as_bytes(), &call.body].concat();
    connection.write_all(&bytes).await.expect("sent");
    let mut reply = String::new();
    connection.read_to_string(&mut reply).await.expect("text");
    reply
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
