//! Upstreams that send bytes without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use serde_json::json;
use stand_in::gateway::raw_upstream::RawUpstream;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::harness::{Call, Harness, open, plain, stream, wait_until};

/// Size of one write.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum number of bytes of a response that a gateway may take before it gives up. No more are sent: what
/// is sent beyond what it takes depends on the buffers of the connection.
const MAX_RESPONSE_BYTES: usize = 20 << 20;
/// Memory that a gateway may use.
const MEMORY_LIMIT_KB: u64 = 200 << 10;
/// Time in which a request must be answered by another upstream.
const ANSWER_TIME: Duration = Duration::from_millis(2_500);

/// Head of a response to a request, without its end.
const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\nresponse-seal: s\r\nx-filler: ";
/// A response that announces another one.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
/// Head of a response without length or chunks.
const CLOSE_HEAD: &str = "HTTP/1.1 200 OK\r\nresponse-seal: s\r\nrequest-id: ";

/// An upstream that answers each request with bytes without end.
#[derive(Clone, Debug)]
struct EndlessUpstream {
    address: SocketAddr,
    /// Number of requests received.
    requests: Arc<AtomicUsize>,
    /// Number of connections that are still open.
    open: Arc<AtomicUsize>,
}

impl EndlessUpstream {
    async fn spawn(head: &'static str, filler: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let upstream = Self {
            address: listener.local_addr().expect("local address"),
            requests: Arc::default(),
            open: Arc::default(),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serving.clone().respond(connection, head, filler));
            }
        });
        upstream
    }

    async fn respond(self, mut connection: TcpStream, head: &str, filler: &'static [u8]) {
        let mut buf = [0; 4_096];
        let read = connection.read(&mut buf).await.expect("a request");
        let request = String::from_utf8_lossy(&buf[..read]).into_owned();
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("request-id: "))
            .expect("an id");
        self.requests.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let id = match head == CLOSE_HEAD {
            true => format!("{id}\r\n\r\n"),
            false => String::new(),
        };
        let start = format!("{head}{id}");
        let chunk: Vec<u8> = filler.iter().copied().cycle().take(CHUNK_BYTES).collect();
        let mut sent = 0;
        let mut result = connection.write_all(start.as_bytes()).await;
        while result.is_ok() && sent + CHUNK_BYTES < MAX_RESPONSE_BYTES {
            sent += CHUNK_BYTES;
            result = connection.write_all(&chunk).await;
        }
        if result.is_ok() {
            // The gateway sends nothing more; it closes or resets the connection.
            let _ = connection.read(&mut buf).await;
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    fn row(&self, service: &str) -> serde_json::Value {
        row_at(self.address, service)
    }
}

fn row_at(address: SocketAddr, service: &str) -> serde_json::Value {
    json!({
        "service": service, "address": address, "zone": "a", "version": "v1",
        "slots": 64, "state": "ready", "cold_remaining_ms": 0, "born": 1,
    })
}

/// Starts a gateway whose service has an endless upstream beside the good ones.
async fn harness_with(service: &str, upstream: &EndlessUpstream) -> Harness {
    let harness = Harness::spawn(1).await;
    harness.table.put("servers", "x1", &upstream.row(service));
    let joined = "event=upstream_joined upstream=x1";
    wait_until(|| async { harness.gateways[0].log().contains(joined) }).await;
    harness
}

/// Sends requests until the endless upstream has received one; each must be answered whole and in time.
async fn assert_answered_elsewhere(
    head: &'static str,
    filler: &'static [u8],
    call: impl Fn(usize) -> Call,
) {
    let upstream = EndlessUpstream::spawn(head, filler).await;
    let is_stream = call(0).path.starts_with("/ask/");
    let harness = harness_with(if is_stream { "pool" } else { "desk" }, &upstream).await;
    let mut n = 0;
    while upstream.requests.load(Ordering::SeqCst) == 0 {
        n += 1;
        assert!(n < 200, "no request reaches the endless upstream");
        let started = Instant::now();
        let reply = harness.call(&call(n)).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.body.len() < CHUNK_BYTES, "{} bytes", reply.body.len());
        assert!(started.elapsed() < ANSWER_TIME, "{:?}", started.elapsed());
    }
    wait_until(|| async { upstream.open.load(Ordering::SeqCst) == 0 }).await;
}

fn look(n: usize) -> Call {
    plain(&format!("l{n}"), Method::GET, "/look/1")
}

fn ask(n: usize) -> Call {
    stream(&format!("s{n}"), "/ask/easy")
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_head_is_given_up() {
    assert_answered_elsewhere(OPEN_HEAD, b"x", look).await;
    assert_answered_elsewhere(OPEN_HEAD, b"x", ask).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_that_are_no_head_are_given_up() {
    assert_answered_elsewhere("", b"x", look).await;
    assert_answered_elsewhere("", b"\r\n", look).await;
}

/// Interim responses without end kept the processor busy until the deadline of the request.
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_responses_are_given_up() {
    let upstream = EndlessUpstream::spawn("", INTERIM_RESPONSE).await;
    let harness = harness_with("desk", &upstream).await;
    harness.remove_plain_upstreams().await;
    let started = Instant::now();
    let reply = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{}", reply.body);
    assert!(started.elapsed() < ANSWER_TIME, "{:?}", started.elapsed());
    assert_eq!(upstream.requests.load(Ordering::SeqCst), 1);
    wait_until(|| async { upstream.open.load(Ordering::SeqCst) == 0 }).await;
}

/// A few of them come before a sound response.
#[tokio::test(flavor = "multi_thread")]
async fn response_after_interim_responses_is_served() {
    const INTERIM_RESPONSES: usize = 100;
    let upstream = RawUpstream::spawn(|request| {
        let id = &request.id;
        let mut answer = INTERIM_RESPONSE.repeat(INTERIM_RESPONSES);
        let head = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: s\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nok"
        );
        answer.extend_from_slice(head.as_bytes());
        answer
    })
    .await;
    let harness = Harness::spawn(1).await;
    let row = row_at(upstream.address(), "desk");
    harness.table.put("servers", "x1", &row);
    let joined = "event=upstream_joined upstream=x1";
    wait_until(|| async { harness.gateways[0].log().contains(joined) }).await;
    harness.remove_plain_upstreams().await;
    let reply = harness.call(&plain("b1", Method::POST, "/book/1")).await;
    assert_eq!((reply.status, reply.body.as_str()), (StatusCode::OK, "ok"));
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_body_is_given_up() {
    assert_answered_elsewhere(CLOSE_HEAD, b"x", look).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_event_is_given_up() {
    assert_answered_elsewhere(CLOSE_HEAD, b"x", ask).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_events_without_number_are_given_up() {
    assert_answered_elsewhere(CLOSE_HEAD, b"data: x\n\n", ask).await;
    assert_answered_elsewhere(CLOSE_HEAD, b"\n", ask).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_repetition_of_an_event_is_given_up() {
    assert_answered_elsewhere(CLOSE_HEAD, b"id: 1\ndata: x\n\n", ask).await;
}

/// Many endless bodies at a time must not use up the memory of the instance.
#[tokio::test(flavor = "multi_thread")]
async fn memory_for_endless_bodies_is_bounded() {
    let upstream = EndlessUpstream::spawn(CLOSE_HEAD, b"x").await;
    let harness = harness_with("desk", &upstream).await;
    harness.remove_plain_upstreams().await;
    let gateway = harness.gateways[0].caller_address();
    let mut calls = JoinSet::new();
    for n in 0..48 {
        calls.spawn(async move { open(gateway, &look(n)).await.map(|r| r.status()) });
    }
    for status in calls.join_all().await {
        let status = status.expect("a response");
        assert!(status.is_server_error(), "{status}");
    }
    assert!(upstream.requests.load(Ordering::SeqCst) > 0);
    let peak_kb = harness.gateways[0].peak_memory_kb();
    assert!(peak_kb < MEMORY_LIMIT_KB, "{peak_kb} kB");
}
