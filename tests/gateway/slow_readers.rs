//! Callers that read their responses slowly, pause or do not read at all.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use stand_in::gateway::{caller, deployment::configuration, upstream::FakeUpstream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

use crate::harness::{Gateway, Harness, plain, stream, wait_until};

/// Memory of the smallest instance in MB.
const MEMORY_MB: u64 = 120;
/// What all responses may hold: an eighth of the memory.
const BUDGET_BYTES: u64 = MEMORY_MB * 1_000_000 / 8;
/// Time after which upstreams cut off responses that are not read.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a response is aborted whose caller accepts nothing.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which no work may continue for a caller that disconnected.
const DISCONNECT_TIME: Duration = Duration::from_millis(500);
/// Deadline of a caller in milliseconds, beyond the timeout of its route.
const DEADLINE_MS: u32 = 8_000;
/// Deadline and route timeout of streams that must last for a whole test.
const LONG_DEADLINE_MS: u32 = 120_000;
/// Time in which many slow callers must be there.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Time for which they are kept waiting.
const SLOW_TIME: Duration = Duration::from_secs(8);
/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Sends a streaming request; nothing of the response is read.
async fn send(gateway: SocketAddr, id: &str, path: &str) -> TcpStream {
    send_with_deadline(gateway, id, path, DEADLINE_MS).await
}

async fn send_with_deadline(
    gateway: SocketAddr,
    id: &str,
    path: &str,
    deadline_ms: u32,
) -> TcpStream {
    let connection = caller::connect_with_small_buffer(gateway).await;
    let mut connection = connection.expect("connected");
    let mut request = format!("POST {path} HTTP/1.1\r\n");
    for (name, value) in caller::stream_headers(id, "k1", deadline_ms) {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    let prompt = String::from_utf8_lossy(caller::PROMPT);
    request.push_str(&format!("content-length: {}\r\n\r\n{prompt}", prompt.len()));
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("sent");
    connection
}

/// Reads up to a number of bytes.
async fn read_some(connection: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let mut part = vec![0; bytes];
    let read = connection.read(&mut part).await.expect("bytes");
    part.truncate(read);
    part
}

/// Reads to the end of the chunked body or of the connection.
async fn read_rest(connection: &mut TcpStream, response: &mut Vec<u8>) {
    let mut part = vec![0; 64 << 10];
    while !response.ends_with(LAST_CHUNK) {
        match connection.read(&mut part).await {
            Ok(0) | Err(_) => return,
            Ok(read) => response.extend_from_slice(&part[..read]),
        }
    }
}

/// Returns the body of a chunked response.
fn body(response: &[u8]) -> Vec<u8> {
    let find = |of: &[u8], what: &[u8]| of.windows(what.len()).position(|w| w == what);
    let head_end = find(response, b"\r\n\r\n").expect("a head") + 4;
    let mut chunks = &response[head_end..];
    let mut body = Vec::new();
    while let Some(line_end) = find(chunks, b"\r\n") {
        let size = std::str::from_utf8(&chunks[..line_end]).expect("a size");
        let size = usize::from_str_radix(size, 16).expect("a size");
        let end = (line_end + 2 + size).min(chunks.len());
        body.extend_from_slice(&chunks[line_end + 2..end]);
        chunks = &chunks[(end + 2).min(chunks.len())..];
    }
    body
}

/// Asserts that a response is complete, with each event once.
fn assert_complete(response: &[u8], events: u64) {
    assert!(response.ends_with(LAST_CHUNK), "the end is missing");
    let text = String::from_utf8(body(response)).expect("text");
    let ids: Vec<u64> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    assert_eq!(ids, (1..=events).collect::<Vec<_>>());
}

/// Starts a gateway on an instance with little memory, before engines that run many requests.
async fn harness() -> Harness {
    let harness = Harness::spawn_with(1, |_, settings| settings["memory_mb"] = MEMORY_MB.into());
    let harness = harness.await;
    for engine in harness.engines() {
        engine.set_slots(600);
        engine.restart();
        let row = engine.row("pool", "v1");
        harness.table.put("servers", &engine.id, &row);
    }
    let gateway = &harness.gateways[0];
    wait_until(|| async { gateway.log().matches("\"slots\":600").count() == 2 }).await;
    harness
}

/// Sets the timeout of the route of streams.
async fn set_stream_timeout(harness: &Harness, timeout_ms: u32) {
    let mut configuration = configuration(2, &["k1"]);
    configuration["routes"][0]["timeout_ms"] = timeout_ms.into();
    harness.table.put("op", "config", &configuration);
    let gateway = &harness.gateways[0];
    wait_until(|| async { gateway.log().contains("configuration generation=2") }).await;
}

fn in_flight(harness: &Harness) -> usize {
    let engines = harness.engines().into_iter();
    engines.map(FakeUpstream::in_flight).sum()
}

async fn held_bytes(gateway: &Gateway) -> u64 {
    let metrics = gateway.metrics().await;
    let name = "what=\"bytes_held_for_callers\"} ";
    let value = metrics.lines().find_map(|line| line.split_once(name));
    value.expect("the metric").1.parse().expect("a number")
}

/// Sends requests one after the other; returns the times that they took, in order.
async fn latencies(gateway: &Gateway, prefix: &str) -> Vec<Duration> {
    let mut times = Vec::new();
    for n in 0..20 {
        let call = match n % 2 {
            0 => stream(&format!("{prefix}{n}"), "/ask/easy"),
            _ => plain(&format!("{prefix}{n}"), Method::GET, "/look/1"),
        };
        let sent_at = Instant::now();
        let reply = gateway.call(&call).await;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
        times.push(sent_at.elapsed());
    }
    times.sort();
    times
}

/// Guards against callers that are delayed by others which read slowly.
#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_at_the_usual_latency_beside_a_caller_that_reads_a_byte_a_second() {
    let harness = harness().await;
    let gateway = &harness.gateways[0];
    let usual = latencies(gateway, "a").await;
    let mut slow = send(gateway.caller_address(), "slow", "/ask/100000x1024").await;
    let reader = tokio::spawn(async move {
        loop {
            read_some(&mut slow, 1).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let beside = latencies(gateway, "b").await;
    reader.abort();
    let middle = usual.len() / 2;
    assert!(
        beside[middle] < usual[middle] * 3 / 2,
        "{usual:?} {beside:?}"
    );
    let (usual_max, max) = (usual[usual.len() - 1], beside[beside.len() - 1]);
    assert!(max < usual_max * 2, "{usual:?} {beside:?}");
}

/// Guards against a daemon that is killed because of what it holds for callers that do not read.
#[tokio::test(flavor = "multi_thread")]
async fn five_hundred_slow_callers_stay_under_the_budget() {
    let harness = harness().await;
    let gateway = &harness.gateways[0];
    set_stream_timeout(&harness, LONG_DEADLINE_MS).await;
    let address = gateway.caller_address();
    let mut callers = JoinSet::new();
    for n in 0..500 {
        callers.spawn(async move {
            let id = format!("slow{n}");
            let path = "/ask/1000x32000";
            let mut connection = send_with_deadline(address, &id, path, LONG_DEADLINE_MS).await;
            loop {
                let mut byte = [0];
                if !matches!(connection.read(&mut byte).await, Ok(1)) {
                    return;
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        });
    }
    let load_by = Instant::now() + LOAD_TIME;
    let mut until = None;
    let (mut peak, mut served) = (0, 0);
    while until.is_none_or(|until| Instant::now() < until) {
        peak = held_bytes(gateway).await.max(peak);
        let call = plain(&format!("l{served}"), Method::GET, "/look/1");
        let reply = gateway.call(&call).await;
        assert_eq!(reply.status, StatusCode::OK);
        served += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The load is as large as it is meant to be.
        if until.is_none() && in_flight(&harness) >= 450 && peak > BUDGET_BYTES / 2 {
            until = Some(Instant::now() + SLOW_TIME);
        }
        assert!(until.is_some() || Instant::now() < load_by, "{peak} held");
    }
    assert!(peak <= BUDGET_BYTES, "{peak} bytes held");
    let peak_kb = gateway.peak_memory_kb();
    assert!(peak_kb * 1_024 < MEMORY_MB * 1_000_000, "{peak_kb} kB");
    assert!(peak > BUDGET_BYTES / 2, "only {peak} bytes held");
    assert!(in_flight(&harness) >= 450, "{}", in_flight(&harness));
}

/// Guards against responses that upstreams cut off because their callers pause.
#[tokio::test(flavor = "multi_thread")]
async fn pause_of_five_seconds_does_not_reach_an_upstream_that_cuts_off_unread_responses() {
    let harness = harness().await;
    for engine in harness.engines() {
        engine.cut_off_unread_after(UNREAD_TIMEOUT);
    }
    let gateway = &harness.gateways[0];
    let mut connection = send(gateway.caller_address(), "s1", "/ask/32x1024").await;
    let mut response = read_some(&mut connection, 1_000).await;
    // The upstream's response has been read, and its slot released, before the caller goes on.
    wait_until(|| async { in_flight(&harness) == 0 }).await;
    wait_until(|| async { gateway.log().contains("outcome=served") }).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    read_rest(&mut connection, &mut response).await;
    assert_complete(&response, 32);
    for engine in harness.engines() {
        assert_eq!(engine.unread_cuts(), 0);
    }
    let runs = harness.engines().map(|engine| engine.runs().len());
    assert_eq!(runs.iter().sum::<usize>(), 1);
}

/// Guards against a response that is cut off as its caller pauses beyond the deadline of 4 s, or as the
/// kernel takes a caller that does not read for one that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_pauses_gets_the_complete_response() {
    let harness = harness().await;
    let gateway = &harness.gateways[0];
    let mut connection = send(gateway.caller_address(), "s1", "/ask/400x10240").await;
    let mut response = read_some(&mut connection, 1_000).await;
    tokio::time::sleep(Duration::from_secs(7)).await;
    read_rest(&mut connection, &mut response).await;
    assert_complete(&response, 400);
    let runs = harness.engines().map(|engine| engine.runs().len());
    assert_eq!(runs.iter().sum::<usize>(), 1);
    assert!(!gateway.log().contains("run_interrupted"));
}

/// Guards against a pause that counts as a failure of the daemon which serves a delegated request.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_pauses_gets_the_complete_response_through_another_daemon() {
    let harness = Harness::spawn(2).await;
    harness.cut_off(0);
    let gateway = &harness.gateways[0];
    let mut connection = send(gateway.caller_address(), "s1", "/ask/400x10240").await;
    let mut response = read_some(&mut connection, 1_000).await;
    tokio::time::sleep(Duration::from_secs(7)).await;
    read_rest(&mut connection, &mut response).await;
    assert_complete(&response, 400);
    assert_eq!(gateway.log().matches("event=delegated id=s1").count(), 1);
    let runs = harness.engines().map(|engine| engine.runs().len());
    assert_eq!(runs.iter().sum::<usize>(), 1);
}

/// Guards against events that are missing or doubled after an upstream has cut off a response, and against
/// upstreams that count as failed for it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_cut_off_during_a_pause_is_resumed() {
    let harness = harness().await;
    for engine in harness.engines() {
        engine.cut_off_unread_after(Duration::from_secs(2));
    }
    let gateway = &harness.gateways[0];
    let mut connection = send(gateway.caller_address(), "s1", "/ask/400x10240").await;
    let mut response = read_some(&mut connection, 1_000).await;
    let cuts = || harness.engines().map(FakeUpstream::unread_cuts);
    wait_until(|| async { cuts().iter().sum::<usize>() == 1 }).await;
    read_rest(&mut connection, &mut response).await;
    assert_complete(&response, 400);
    assert!(!gateway.log().contains("run_interrupted"));
    assert!(gateway.log().contains("outcome=broken_after_pause"));
}

/// Guards against responses that hold memory and a slot for a caller that does not read.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_accepts_nothing_for_ten_seconds_is_given_up() {
    let harness = harness().await;
    let gateway = &harness.gateways[0];
    let sent_at = Instant::now();
    let mut connection = send(gateway.caller_address(), "s1", "/ask/100000x1024").await;
    wait_until(|| async { held_bytes(gateway).await > 60_000 }).await;
    wait_until(|| async { in_flight(&harness) == 0 }).await;
    let elapsed = sent_at.elapsed();
    assert!(elapsed >= STALL_TIMEOUT, "{elapsed:?}");
    assert!(
        elapsed < STALL_TIMEOUT + Duration::from_secs(1),
        "{elapsed:?}"
    );
    wait_until(|| async { gateway.log().contains("event=caller_too_slow id=s1") }).await;
    assert_eq!(held_bytes(gateway).await, 0);
    let mut response = Vec::new();
    read_rest(&mut connection, &mut response).await;
    assert!(!response.ends_with(LAST_CHUNK));
    // The upstream has not failed, and the request does not run elsewhere.
    assert!(!gateway.log().contains("run_interrupted"));
    let runs = harness.engines().map(|engine| engine.runs().len());
    assert_eq!(runs.iter().sum::<usize>(), 1);
}

/// Guards against work that goes on for a caller which has disconnected while its buffer was full.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_disconnects_while_its_buffer_is_full_ends_the_work() {
    let harness = harness().await;
    let gateway = &harness.gateways[0];
    let connection = send(gateway.caller_address(), "s1", "/ask/100000x1024").await;
    wait_until(|| async { held_bytes(gateway).await > 60_000 }).await;
    assert_eq!(in_flight(&harness), 1);
    drop(connection);
    let left_at = Instant::now();
    wait_until(|| async { in_flight(&harness) == 0 }).await;
    assert!(
        left_at.elapsed() < DISCONNECT_TIME,
        "{:?}",
        left_at.elapsed()
    );
    wait_until(|| async { held_bytes(gateway).await == 0 }).await;
}
