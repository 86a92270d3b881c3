//! Heartbeats between gateways in several failure domains.

use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use hibiscusyoke::{
    coordination::dispatch::prefill_queue::PrefillNotice, gateway::datagram::Datagram,
    protocol::codec,
};

use crate::harness::{Gateway, Harness, stream, wait_until};

/// Time in which heartbeats are counted.
const COUNTING_TIME: Duration = Duration::from_secs(3);
/// Maximum time until all gateways know that one has crashed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);

/// Returns how many datagrams of a kind a gateway has sent.
async fn datagrams(gateway: &Gateway, kind: &str) -> u64 {
    let series = format!("hibiscusyoke_gateway_datagrams_sent_total{{kind=\"{kind}\"}} ");
    let metrics = gateway.metrics().await;
    let value = metrics.lines().find_map(|line| line.strip_prefix(&series));
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// The only gateway of its domain sends its heartbeats to one gateway of the other domain, which
/// forwards them to the rest.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_are_forwarded_within_a_domain() {
    let mut harness = Harness::spawn_with(5, |n, settings| {
        settings["domain"] = if n == 0 { "b" } else { "a" }.into();
    })
    .await;
    let (alone, others) = harness.gateways.split_first().expect("gateways");
    wait_until(|| async { datagrams(alone, "heartbeat_to_forward").await > 0 }).await;
    let (direct, to_forward) = (
        datagrams(alone, "heartbeat").await,
        datagrams(alone, "heartbeat_to_forward").await,
    );
    let counted = Instant::now();
    while counted.elapsed() < COUNTING_TIME {
        for gateway in others {
            assert_eq!(gateway.directory().await.len(), 5);
        }
    }
    assert_eq!(datagrams(alone, "heartbeat").await, direct);
    assert!(datagrams(alone, "heartbeat_to_forward").await >= to_forward + 4);

    alone.signal("KILL");
    let killed = Instant::now();
    for gateway in others {
        wait_until(|| async { gateway.directory().await.len() == 4 }).await;
    }
    assert!(killed.elapsed() < MAX_DETECTION_TIME);
    assert!(!harness.gateways[0].wait_for_exit().await);
}

/// A message with an enormous time ended the task that receives datagrams, so that the daemon heard no other.
#[tokio::test(flavor = "multi_thread")]
async fn datagram_with_an_enormous_time_does_not_end_receiving() {
    let mut harness = Harness::spawn(1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let receiver = harness.gateways[0].peer_address();
    for engine in harness.engines() {
        let notice = Datagram::PromptSent(PrefillNotice {
            upstream: xxh3_64(engine.id.as_bytes()),
            prefill_time: Duration::from_secs(u64::MAX),
        });
        let datagram = codec::encode(&notice).expect("encoded");
        let sent = socket.send_to(&datagram, receiver).await;
        assert_eq!(sent.expect("sent"), datagram.len());
    }
    harness.start_gateway();
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.directory().await.len() == 2 }).await;
    }
    let reply = harness.call(&stream("s1", "/ask/easy")).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(!harness.gateways[0].log().contains("event=panic"));
}
