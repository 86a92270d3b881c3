//! Two gateways before upstreams of a plain service that are slower than the route's objective, in calm.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;

use stand_in::gateway::{
    caller,
    deployment::configuration,
    upstream::{Behaviour, runs_by_id},
};

use crate::harness::{Call, Harness, open, plain, wait_until};

/// Latency objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Time of the requests.
const DEADLINE: Duration = Duration::from_secs(10);
/// Requests that are sent at a time.
const PARALLEL: usize = 8;

/// What callers and upstreams saw of some requests.
struct Seen {
    statuses: Vec<Option<StatusCode>>,
    longest: Duration,
    runs: usize,
}

/// Starts two gateways whose idempotent route has time for slow upstreams.
async fn spawn(change: impl Fn(&mut serde_json::Value)) -> Harness {
    let harness = Harness::spawn_with(2, |_, settings| change(settings)).await;
    let mut slow = configuration(2, &["k1"]);
    for route in slow["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(30_000);
        route["target_latency_ms"] = json!(OBJECTIVE.as_millis() as u64);
        route["max_attempts"] = json!(3);
    }
    harness.table.put("op", "config", &slow);
    for gateway in &harness.gateways {
        let applied = "configuration generation=2";
        wait_until(|| async { gateway.log().contains(applied) }).await;
    }
    harness
}

fn lookup(id: &str) -> Call {
    Call {
        headers: caller::headers(id, "k1", DEADLINE.as_millis() as u32),
        ..plain(id, Method::GET, "/look/1")
    }
}

/// Sends rounds of requests, each once all of the one before have ended.
async fn send(harness: &Harness, name: &str, rounds: usize) -> Seen {
    let mut statuses = Vec::new();
    let mut longest = Duration::ZERO;
    for round in 0..rounds {
        let sent = Instant::now();
        let tasks: Vec<_> = (0..PARALLEL)
            .map(|n| {
                let address = harness.gateways[n % 2].caller_address();
                let call = lookup(&format!("{name}{round}-{n}"));
                tokio::spawn(async move {
                    let status = open(address, &call).await.map(|r| r.status());
                    (status, sent.elapsed())
                })
            })
            .collect();
        for task in tasks {
            let (status, took) = task.await.expect("a caller");
            statuses.push(status);
            longest = longest.max(took);
        }
    }
    let runs = runs_by_id(&harness.plain_upstreams());
    let own = runs.iter().filter(|(id, _)| id.starts_with(name));
    Seen {
        statuses,
        longest,
        runs: own.map(|(_, runs)| runs).sum(),
    }
}

fn all_served(seen: &Seen) -> bool {
    seen.statuses.iter().all(|s| *s == Some(StatusCode::OK))
}

/// A service that always took longer than 0.8 of the objective ran each request up to three times.
#[tokio::test(flavor = "multi_thread")]
async fn slow_service_runs_a_request_once() {
    let harness = spawn(|_| {}).await;
    harness.set_plain_upstreams(Behaviour::SilentFor(900));
    // The usual time is not known yet.
    let learning = send(&harness, "learning", 2).await;
    assert!(all_served(&learning), "{:?}", learning.statuses);
    let seen = send(&harness, "known", 5).await;
    assert!(all_served(&seen), "{:?}", seen.statuses);
    let sent = seen.statuses.len();
    assert!(seen.runs * 100 <= sent * 105, "{} of {sent}", seen.runs);
    assert!(
        seen.longest < Duration::from_millis(1_300),
        "{:?}",
        seen.longest
    );
}

/// Requests at which an upstream was at work were ended and then refused with 502, as the retry budget was spent.
#[tokio::test(flavor = "multi_thread")]
async fn late_attempt_goes_on_if_no_other_is_allowed() {
    let harness = spawn(|settings| {
        settings["repeat_ratio"] = json!(0.0);
        settings["repeat_slack"] = json!(0.0);
    })
    .await;
    harness.set_plain_upstreams(Behaviour::SilentFor(2_000));
    let seen = send(&harness, "budget", 1).await;
    assert!(all_served(&seen), "{:?}", seen.statuses);
    assert_eq!(seen.runs, PARALLEL);
    let metrics = harness.gateways[0].metrics().await;
    let not_sent = "hibiscusyoke_gateway_late_attempts_total{outcome=\"not_sent\"} 4";
    assert!(metrics.contains(not_sent), "{metrics}");
}

/// One upstream that is silent, or slower than a caller waits, costs a caller as little as before.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_among_fast_ones_is_passed_over() {
    for behaviour in [Behaviour::Hang, Behaviour::SilentFor(6_000)] {
        let harness = spawn(|_| {}).await;
        harness.plain_upstreams()[0].set_behaviour(behaviour);
        let seen = send(&harness, "odd", 5).await;
        assert!(all_served(&seen), "{behaviour:?}: {:?}", seen.statuses);
        assert!(
            seen.longest < OBJECTIVE * 2,
            "{behaviour:?}: {:?}",
            seen.longest
        );
    }
}

/// A late attempt that responds before the other one was ended all the same, and its caller waited for the other.
#[tokio::test(flavor = "multi_thread")]
async fn first_usable_response_of_two_attempts_wins() {
    let harness = spawn(|_| {}).await;
    let [slow, fast] = harness.plain_upstreams();
    slow.set_behaviour(Behaviour::SilentFor(700));
    fast.set_behaviour(Behaviour::SilentFor(3_000));
    // The late attempt responds first, though another one was sent.
    let seen = send(&harness, "lost", 1).await;
    assert!(all_served(&seen), "{:?}", seen.statuses);
    assert!(seen.longest < Duration::from_secs(3), "{:?}", seen.longest);
}
