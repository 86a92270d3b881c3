//! Daemons that are cut off from all upstreams, while callers and the other daemons still reach them.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use stand_in::gateway::{
    deployment::configuration,
    upstream::{Behaviour, ErrorAnswer, runs_by_id},
};

use crate::harness::{Call, Harness, plain, stream, wait_until};

/// Time from the cut until callers of a cut daemon must be served like others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent after that.
const SERVED_TIME: Duration = Duration::from_secs(4);
/// Interval between two requests of each kind.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// Returns a request of each kind.
fn calls(prefix: &str) -> [Call; 4] {
    [
        stream(&format!("{prefix}-easy"), "/ask/easy"),
        stream(&format!("{prefix}-hard"), "/ask/hard"),
        plain(&format!("{prefix}-book"), Method::POST, "/book/1"),
        plain(&format!("{prefix}-look"), Method::GET, "/look/1"),
    ]
}

/// Sends requests of each kind to a gateway for a time; returns how many there were and which were not
/// served.
async fn send_for(
    harness: &Harness,
    gateway: usize,
    time: Duration,
    prefix: &str,
) -> (usize, Vec<String>) {
    let end = Instant::now() + time;
    let (mut sent, mut failed) = (0, Vec::new());
    while Instant::now() < end {
        for call in calls(&format!("{prefix}-{sent}")) {
            sent += 1;
            let reply = harness.gateways[gateway].call(&call).await;
            if reply.status != StatusCode::OK {
                failed.push(format!("{} {}", call.path, reply.status));
            }
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    (sent, failed)
}

/// Publishes a configuration by which engines are cold after a start.
async fn set_cold_time(harness: &Harness) {
    let mut configuration = configuration(2, &["k1"]);
    for service in configuration["services"].as_array_mut().expect("a list") {
        service["cold_start_s"] = 3.0.into();
        service["cold_per_s"] = 4.0.into();
    }
    harness.table.put("op", "config", &configuration);
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().contains("configuration generation=2") }).await;
    }
}

/// A daemon without a way to any upstream refused all callers, though the others could serve them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_daemon_that_lost_all_upstreams_are_served() {
    let harness = Harness::spawn(2).await;
    harness.cut_off(0);
    send_for(&harness, 0, CONTACT_TIME, "early").await;
    let (sent, failed) = send_for(&harness, 0, SERVED_TIME, "cut").await;
    assert!(failed.is_empty(), "{} of {sent}: {failed:?}", failed.len());
    let upstreams: Vec<_> = harness.upstreams.iter().collect();
    let runs = runs_by_id(&upstreams);
    let all_runs = upstreams.iter().flat_map(|upstream| upstream.runs());
    let names = all_runs.flat_map(|run| run.headers.into_iter().filter_map(|(name, _)| name));
    let own: Vec<_> = names
        .filter(|name| name.as_str().starts_with("hibiscusyoke"))
        .collect();
    assert!(own.is_empty(), "{own:?}");
    let repeated = runs.iter().find(|(id, n)| id.ends_with("-book") && **n > 1);
    assert_eq!(repeated, None);
}

/// The others took the reports of the cut daemon for failures of the upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_one_daemon_lost_stay_in_full_use_at_the_others() {
    let harness = Harness::spawn(2).await;
    set_cold_time(&harness).await;
    harness.cut_off(0);
    let (own, other) = tokio::join!(
        send_for(&harness, 0, CONTACT_TIME, "own"),
        send_for(&harness, 1, CONTACT_TIME, "other"),
    );
    assert!(own.0 > 0 && other.0 > 0);
    assert!(other.1.is_empty(), "{:?}", other.1);
    let log = harness.gateways[1].log();
    assert!(!log.contains("event=upstream_presumed_cold"), "{log}");
}

/// Prompts that ran on the lost upstreams counted as having crashed them.
#[tokio::test(flavor = "multi_thread")]
async fn lost_upstreams_do_not_count_as_crashed() {
    let harness = Harness::spawn(2).await;
    send_for(&harness, 0, Duration::from_millis(500), "before").await;
    harness.cut_off(0);
    send_for(&harness, 0, CONTACT_TIME, "cut").await;
    for gateway in &harness.gateways {
        let log = gateway.log();
        assert!(!log.contains("event=upstream_crashed"), "{log}");
    }
}

/// A stream that is under way when its daemon loses all upstreams goes on by way of another daemon.
#[tokio::test(flavor = "multi_thread")]
async fn stream_under_way_at_the_cut_is_completed() {
    let harness = Harness::spawn(2).await;
    let response = harness.gateways[0].open(&stream("s1", "/ask/easy")).await;
    harness.cut_off(0);
    let body = response.into_body().collect().await.expect("complete");
    let body = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    let ids: Vec<&str> = body
        .lines()
        .filter_map(|l| l.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "6"]);
}

/// A daemon uses its own connections again when the cut has ended.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_reaches_the_upstreams_again_uses_them_itself() {
    let harness = Harness::spawn(2).await;
    harness.cut_off(0);
    send_for(&harness, 0, CONTACT_TIME, "cut").await;
    harness.reconnect(0);
    wait_until(|| async {
        harness.gateways[0]
            .log()
            .contains("event=upstreams_reached")
    })
    .await;
    let before = harness.gateways[1].metrics().await;
    let (sent, failed) = send_for(&harness, 0, Duration::from_secs(1), "back").await;
    assert!(sent > 0 && failed.is_empty(), "{failed:?}");
    let after = harness.gateways[1].metrics().await;
    let served = |metrics: &str| {
        let line = "hibiscusyoke_gateway_requests_total{outcome=\"served\"}";
        metrics
            .lines()
            .find(|l| l.starts_with(line))
            .map(str::to_owned)
    };
    assert_eq!(served(&before), served(&after));
}

/// Without another daemon that can serve them, callers are refused at once and told when to return.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_refused_at_once_if_no_daemon_reaches_an_upstream() {
    let harness = Harness::spawn(2).await;
    harness.cut_off(0);
    harness.cut_off(1);
    send_for(&harness, 0, CONTACT_TIME, "cut").await;
    let sent_at = Instant::now();
    let reply = harness.call(&plain("late", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(sent_at.elapsed() < Duration::from_secs(1));
}

/// A response of an upstream that looks like another daemon's refusal does not make the request run again.
#[tokio::test(flavor = "multi_thread")]
async fn delegated_request_that_has_run_is_not_sent_to_another_daemon() {
    let harness = Harness::spawn(4).await;
    harness.cut_off(0);
    send_for(&harness, 0, CONTACT_TIME, "cut").await;
    let unsigned = ErrorAnswer {
        is_signed: false,
        ..ErrorAnswer::signed(StatusCode::SERVICE_UNAVAILABLE)
    };
    harness.set_plain_upstreams(Behaviour::FailWith(unsigned));
    let reply = harness.call(&plain("once", Method::POST, "/book/1")).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let runs = runs_by_id(&harness.plain_upstreams());
    assert_eq!(runs.get("once"), Some(&1));
}

/// A daemon that is stopped completes the requests that others have delegated to it.
#[tokio::test(flavor = "multi_thread")]
async fn delegated_request_is_completed_by_a_daemon_that_stops() {
    let mut harness = Harness::spawn(2).await;
    harness.cut_off(0);
    send_for(&harness, 0, CONTACT_TIME, "cut").await;
    harness.set_plain_upstreams(Behaviour::SilentFor(3_500));
    let call = plain("slow", Method::POST, "/book/1");
    let under_way = async {
        wait_until(|| async { harness.plain_upstreams().iter().any(|p| p.in_flight() > 0) }).await;
        harness.gateways[1].terminate();
    };
    let (reply, ()) = tokio::join!(harness.call(&call), under_way);
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    assert!(harness.gateways[1].wait_for_exit().await);
}
