//! Requests over the limits, which are refused in a way that reaches their clients.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use stand_in::gateway::{caller, raw_upstream::RawUpstream, upstream::FakeUpstream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    crowd::{BODY_LIMIT, Script},
    gateway::{CROWD, Deployment},
    harness::wait_until,
};

const LOOK: &str = "POST /look/1";
const TOO_LARGE: &str = "HTTP/1.1 413 Payload Too Large";
/// A length that no instance has memory for.
const ENORMOUS: u64 = 40 << 30;
/// Number of bytes after which a client that is not cut off gives up.
const MOST_BYTES: usize = 256 << 20;
/// Number of zeros after which a client gives up: as many as the largest body, and what buffers hold.
const MOST_ZEROS: usize = 16 << 20;
/// Timeout of a client that waits for an answer or for the end of its connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_announced_bodies_exceed_the_limit() {
    let deployment = Deployment::spawn().await;
    let script =
        Script::with_length(LOOK, ENORMOUS, 0).then_endless(&vec![b'x'; 64 << 10], MOST_BYTES);
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_chunks_do_not_end() {
    let deployment = Deployment::spawn().await;
    let mut chunk = b"10000\r\n".to_vec();
    chunk.extend_from_slice(&[b'x'; 0x1_0000]);
    chunk.extend_from_slice(b"\r\n");
    let script = Script::chunked(LOOK, 0, &[1]).then_endless(&chunk, MOST_BYTES);
    deployment.assert_bears(CROWD, &script).await;
}

/// The connection was reset while the client sent, so that it never learned why.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_an_announced_body_reaches_a_client_that_sends() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let too_long = BODY_LIMIT + 1;
    let script = Script::with_length(LOOK, too_long as u64, too_long);
    for n in 0..10 {
        let (is_sent, line) = script.send_then_read(address, &format!("r{n}")).await;
        assert!(is_sent, "the connection was reset");
        assert_eq!(line, TOO_LARGE);
    }
    let script =
        Script::with_length(LOOK, ENORMOUS, 0).then_endless(&vec![b'x'; 64 << 10], MOST_BYTES);
    assert_eq!(script.send_and_read(address, "r10").await, TOO_LARGE);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_chunked_body_reaches_a_client_that_sends() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut script = Script::chunked(LOOK, 2 * BODY_LIMIT, &[64 << 10]);
    Arc::make_mut(&mut script.body).extend_from_slice(b"0\r\n\r\n");
    for n in 0..10 {
        let (is_sent, line) = script.send_then_read(address, &format!("r{n}")).await;
        assert!(is_sent, "the connection was reset");
        assert_eq!(line, TOO_LARGE);
    }
}

/// A refusal for lack of memory promises that the request has not run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_bodies_have_not_run() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let script = Script::with_length("POST /book/1", BODY_LIMIT as u64, BODY_LIMIT);
    let clients = (0..CROWD).map(|n| {
        let script = script.clone();
        async move {
            let id = format!("b{n}");
            let line = timeout(CLIENT_TIMEOUT, script.send_and_read(address, &id)).await;
            (id, line.unwrap_or_default())
        }
    });
    for (id, line) in futures::future::join_all(clients).await {
        let upstreams = deployment.harness.plain_upstreams();
        let runs = upstreams.map(|u| u.runs().iter().filter(|run| run.id == id).count());
        let runs: usize = runs.iter().sum();
        match line.as_str() {
            "HTTP/1.1 200 OK" => assert_eq!(runs, 1, "{id}"),
            "HTTP/1.1 503 Service Unavailable" | "HTTP/1.1 408 Request Timeout" => {
                assert_eq!(runs, 0, "{id}: {line}");
            }
            _ => assert!(runs <= 1, "{id}: {line}"),
        }
    }
    deployment.assert_within_bounds();
}

/// Each byte began a new timeout, and the answer never came.
#[tokio::test(flavor = "multi_thread")]
async fn body_that_goes_on_byte_by_byte_is_answered() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let script = Script {
        pause: Duration::from_millis(100),
        ..Script::with_length(LOOK, BODY_LIMIT as u64, 100).then_endless(b"x", BODY_LIMIT)
    };
    let line = timeout(CLIENT_TIMEOUT, script.send_and_read(address, "t")).await;
    let line = line.expect("an answer");
    assert_eq!(line, "HTTP/1.1 408 Request Timeout");
}

/// Zeros before the size of a chunk kept the processor busy until the client left.
#[tokio::test(flavor = "multi_thread")]
async fn zeros_before_the_size_of_a_chunk_end() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut connection = TcpStream::connect(address).await.expect("connected");
    let head = "POST /look/1 HTTP/1.1\r\nhost: h\r\nrequest-id: z\r\nx-api-key: k1\r\n\
        transfer-encoding: chunked\r\n\r\n";
    connection.write_all(head.as_bytes()).await.expect("sent");
    let zeros = vec![b'0'; 64 << 10];
    let mut sent = 0;
    while connection.write_all(&zeros).await.is_ok() {
        sent += zeros.len();
        assert!(sent < MOST_ZEROS, "zeros are read without end");
    }
    deployment.assert_answered("afterwards", 100).await;
}

/// A body of one-byte chunks is legal.
#[tokio::test(flavor = "multi_thread")]
async fn single_body_in_chunks_of_one_byte_is_served() {
    const CONTENT: usize = 200_000;
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut script = Script::chunked(LOOK, CONTENT, &[1]);
    Arc::make_mut(&mut script.body).extend_from_slice(b"0\r\n\r\n");
    let line = script.send_and_read(address, "o").await;
    assert_eq!(line, "HTTP/1.1 200 OK");
    let runs = deployment.harness.plain_upstreams().map(FakeUpstream::runs);
    let run = runs.iter().flatten().find(|run| run.id == "o");
    assert_eq!(run.expect("a run").body.len(), CONTENT);
}

/// Responses that nobody reads held memory without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_answers_are_not_read() {
    const REQUESTS: usize = 20;
    const BODY_BYTES: usize = 200_000;
    let deployment = Deployment::spawn().await;
    let mut request = format!(
        "POST /look/1 HTTP/1.1\r\nhost: h\r\nrequest-id: p\r\nx-api-key: k1\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    request.extend(std::iter::repeat_n(b'x', BODY_BYTES));
    let script = Script::with_length(LOOK, BODY_BYTES as u64, BODY_BYTES)
        .then_endless(&request, REQUESTS * request.len());
    deployment.assert_bears(CROWD * 6, &script).await;
}

/// An answer that had been read counted no more, although nobody took it.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_large_answers_are_not_read() {
    const CLIENTS: usize = 96;
    const ANSWER_BYTES: usize = 1 << 20;
    let deployment = Deployment::spawn().await;
    let upstream = RawUpstream::spawn(|request| {
        let id = &request.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: s\r\nrequest-id: {id}\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n"
        );
        [head.into_bytes(), vec![b'x'; ANSWER_BYTES]].concat()
    })
    .await;
    let harness = &deployment.harness;
    let row = json!({
        "service": "desk", "address": upstream.address(), "zone": "a", "version": "v1",
        "slots": CLIENTS, "state": "ready", "cold_remaining_ms": 0, "born": 1,
    });
    harness.table.put("servers", "x1", &row);
    let joined = "event=upstream_joined upstream=x1";
    wait_until(|| async { harness.gateways[0].log().contains(joined) }).await;
    harness.remove_plain_upstreams().await;
    let script = Script::with_length(LOOK, 10, 10);
    deployment.assert_bears(CLIENTS, &script).await;
}

/// A client that is refused as it lacks a key may send its next request on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_used_again_after_a_refusal() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut sender = caller::connect(address).await.expect("connected");
    for (key, status) in [("unknown", 401), ("k1", 200)] {
        let headers = caller::headers("k", key, 4_000);
        let body = bytes::Bytes::from_static(b"some content");
        let request = caller::request(http::Method::POST, "/look/1", &headers, body);
        sender.ready().await.expect("an open connection");
        let response = sender.send_request(request).await.expect("a response");
        assert_eq!(response.status().as_u16(), status);
        http_body_util::BodyExt::collect(response.into_body())
            .await
            .expect("a complete response");
    }
}

/// Reads until the gateway closes the connection.
pub(crate) async fn read_to_end(connection: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    // A reset ends the connection, too.
    let _ = connection.read_to_end(&mut received).await;
    received
}
