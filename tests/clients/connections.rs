//! Crowds that hold many connections.

use std::time::Duration;

use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

use crate::{
    crowd::{BODY_LIMIT, Crowd, Script},
    gateway::{Deployment, MAX_OPEN_FILES},
    refusals::read_to_end,
};

/// Number of connections, more than the instance has descriptors for.
const CONNECTIONS: usize = MAX_OPEN_FILES + 100;
/// Timeout of a client that waits for the end of its connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The head of a request without its end.
const PART_OF_HEAD: &str = "POST /look/1 HTTP/1.1\r\nhost: h\r\n";

/// Callers took all descriptors, and none was left for upstreams and the table.
#[tokio::test(flavor = "multi_thread")]
async fn descriptors_are_bounded_if_bodies_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script::with_length("POST /look/1", BODY_LIMIT as u64, 100);
    deployment.assert_bears(CONNECTIONS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn descriptors_are_bounded_if_nothing_is_sent() {
    let deployment = Deployment::spawn().await;
    for address in [
        deployment.harness.gateways[0].caller_address(),
        deployment.harness.gateways[0].metrics_address(),
    ] {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            connections.extend(TcpStream::connect(address).await);
        }
        deployment.assert_answered("beside", 100).await;
        deployment.assert_within_bounds();
    }
}

/// Requests that are answered keep their connections, and a new caller takes the place of an idle one.
#[tokio::test(flavor = "multi_thread")]
async fn descriptors_are_bounded_if_connections_stay_idle() {
    let deployment = Deployment::spawn().await;
    let script = Script::with_length("POST /look/1", 100, 100);
    deployment.assert_bears(CONNECTIONS, &script).await;
}

/// The idle timeout held for heads, too, which have one of their own.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_does_not_end_is_given_up() {
    let deployment = Deployment::spawn_with(1, 0, |limits| {
        limits["header_timeout_ms"] = json!(500);
        limits["idle_timeout_ms"] = json!(600_000);
    })
    .await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut connection = TcpStream::connect(address).await.expect("connected");
    let sent = connection.write_all(PART_OF_HEAD.as_bytes()).await;
    sent.expect("sent");
    let ended = timeout(CLIENT_TIMEOUT, read_to_end(&mut connection)).await;
    ended.expect("the connection ends");
}

/// An idle connection is not taken for one whose head does not end.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_outlives_the_timeout_of_a_head() {
    let deployment = Deployment::spawn_with(1, 0, |limits| {
        limits["header_timeout_ms"] = json!(100);
    })
    .await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut connection = TcpStream::connect(address).await.expect("connected");
    let request = "GET /look/1 HTTP/1.1\r\nhost: h\r\nrequest-id: i\r\nx-api-key: k1\r\n\r\n";
    for _ in 0..2 {
        let sent = connection.write_all(request.as_bytes()).await;
        sent.expect("sent");
        let mut buf = [0; 4_096];
        let read = tokio::io::AsyncReadExt::read(&mut connection, &mut buf).await;
        assert!(buf.starts_with(b"HTTP/1.1 200"), "{read:?}");
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}

/// Heads that do not end left no descriptor to others.
#[tokio::test(flavor = "multi_thread")]
async fn descriptors_are_bounded_if_heads_stop_short() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let Ok(mut connection) = TcpStream::connect(address).await else {
            continue;
        };
        // A connection that has been closed again takes nothing.
        let _ = connection.write_all(PART_OF_HEAD.as_bytes()).await;
        connections.push(connection);
    }
    deployment.assert_answered("beside", 100).await;
    deployment.assert_within_bounds();
}

/// Budgets that fit the instance one by one must fit it together.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_crowds_of_all_kinds_come_at_once() {
    let deployment = Deployment::spawn_in_force().await;
    let address = deployment.harness.gateways[0].caller_address();
    let large = Script::with_length("POST /look/1", BODY_LIMIT as u64, BODY_LIMIT - 1);
    let small = Script::with_length("POST /book/1", BODY_LIMIT as u64, 40_000);
    let chunked = Script::chunked("POST /ask/easy", 60_000, &[1, 8, 1_024]);
    let unread = Script::with_length("POST /look/1", 200_000, 200_000)
        .then_endless(&[b'y'; 20_000], 1 << 20);
    let crowds = [(48, large), (1_000, small), (200, chunked), (200, unread)];
    let crowds = crowds.map(|(size, script)| Crowd::connect(address, size, &script));
    for crowd in &crowds {
        crowd.sent().await;
    }
    deployment.assert_answered("beside", 100).await;
    for crowd in crowds {
        crowd.leave().await;
    }
    deployment.assert_answered("afterwards", 100).await;
    deployment.assert_within_bounds();
}

/// Crowds that follow one another start from what the one before has left behind.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_over_several_crowds() {
    let deployment = Deployment::spawn().await;
    let address = deployment.harness.gateways[0].caller_address();
    for script in [
        Script::with_length("POST /look/1", BODY_LIMIT as u64, BODY_LIMIT - 1),
        Script::chunked("POST /ask/easy", 100_000, &[1, 2, 3]),
        Script::with_length("POST /look/1", BODY_LIMIT as u64, 300_000),
    ] {
        let crowd = Crowd::connect(address, crate::gateway::CROWD, &script);
        crowd.sent().await;
        crowd.leave().await;
        deployment.assert_answered("between", 100).await;
    }
    deployment.assert_within_bounds();
}
