//! The operators' limit on retries, summed over gateways that are restarted, paused or cut off.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use http::Method;
use http_body_util::BodyExt;
use stand_in::gateway::{
    deployment::configuration,
    retry_audit::{RetryBound, WindowUse, worst_window},
    upstream::{Behaviour, FakeUpstream},
};
use tokio::task::JoinSet;

use crate::harness::{Call, Gateway, Harness, open, plain, stream, wait_until};

/// Number of gateways.
const GATEWAYS: usize = 6;
/// Requests per second over all gateways.
const RATE: u32 = 24;
/// Time for which requests are sent, two windows and more.
const LOAD_TIME: Duration = Duration::from_secs(24);
/// Time until the first disruption.
const LEAD_TIME: Duration = Duration::from_secs(3);
/// Time in which a request must be over, whatever became of it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The limit in the settings of the gateways.
const BOUND: RetryBound = RetryBound {
    ratio: 0.9,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// Part of the limit that is used while everything fails.
const MIN_USE: f64 = 0.6;

/// Starts gateways whose routes allow three attempts.
async fn spawn() -> Harness {
    let harness = Harness::spawn(GATEWAYS).await;
    let mut changed = configuration(2, &["k1"]);
    for route in changed["routes"].as_array_mut().expect("a list") {
        route["max_attempts"] = 3.into();
    }
    harness.table.put("op", "config", &changed);
    for gateway in &harness.gateways {
        let applied = "configuration generation=2";
        wait_until(|| async { gateway.log().contains(applied) }).await;
    }
    harness
}

fn look(n: u32) -> Call {
    plain(&format!("look-{n}"), Method::GET, "/look/1")
}

fn ask(n: u32) -> Call {
    stream(&format!("ask-{n}"), "/ask/easy")
}

/// Sends requests through all gateways in turn, also through those that are down; returns when each was sent.
fn send(harness: &Harness, call: fn(u32) -> Call) -> JoinSet<Instant> {
    let gateways: Vec<_> = harness.gateways.iter().collect();
    let addresses: Vec<_> = gateways.iter().map(|g| g.caller_address()).collect();
    let start = Instant::now();
    let interval = Duration::from_secs(1) / RATE;
    let mut calls = JoinSet::new();
    for n in 0..RATE * u32::try_from(LOAD_TIME.as_secs()).expect("few seconds") {
        let address = addresses[n as usize % addresses.len()];
        calls.spawn(async move {
            tokio::time::sleep_until((start + interval * n).into()).await;
            let sent_at = Instant::now();
            // Only what the upstreams receive counts.
            let _ = tokio::time::timeout(REQUEST_TIMEOUT, async {
                if let Some(response) = open(address, &call(n)).await {
                    let _ = response.into_body().collect().await;
                }
            })
            .await;
            sent_at
        });
    }
    calls
}

async fn worst_use(calls: JoinSet<Instant>, upstreams: [&FakeUpstream; 2]) -> WindowUse {
    let sent = calls.join_all().await;
    let arrivals = upstreams.iter().flat_map(|upstream| upstream.arrived());
    worst_window(sent, arrivals.collect(), &BOUND)
}

/// Counts the lines of all gateways' logs by event, for the message of a failure.
fn events(harness: &Harness) -> HashMap<String, usize> {
    let mut events = HashMap::new();
    for gateway in &harness.gateways {
        for line in gateway.log().lines() {
            let event = line.split_whitespace().find(|w| w.starts_with("event="));
            *events.entry(event.unwrap_or("-").into()).or_default() += 1;
        }
    }
    events
}

/// Returns what each daemon had counted when it last had no retry left, for the message of a failure.
fn last_counts(harness: &Harness) -> Vec<String> {
    let logs = harness.gateways.iter().map(Gateway::log);
    let last = |log: String| {
        let mut lines = log.lines().rev();
        let line = lines.find(|line| line.contains("event=repeat_over_budget"));
        line.unwrap_or("-").into()
    };
    logs.map(last).collect()
}

fn assert_within_limit(worst: WindowUse, harness: &Harness) {
    let fraction = worst.fraction();
    eprintln!("{worst:?} fraction={fraction:.2}");
    let context = || format!("{:#?} {:#?}", events(harness), last_counts(harness));
    assert!(fraction <= 1.0, "{worst:?} {}", context());
    assert!(fraction >= MIN_USE, "{worst:?} {}", context());
}

/// Retries that are allowed are used, and no more, while nothing but the upstreams fails.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_limit_while_all_upstreams_fail() {
    let harness = spawn().await;
    harness.set_plain_upstreams(Behaviour::Fail);
    let calls = send(&harness, look);
    let worst = worst_use(calls, harness.plain_upstreams()).await;
    assert_within_limit(worst, &harness);
}

/// A stream that another daemon resumed was counted as a request by both, which allowed retries twice.
#[tokio::test(flavor = "multi_thread")]
async fn streams_resumed_through_other_daemons_are_counted_once() {
    let harness = spawn().await;
    for engine in harness.engines() {
        engine.set_behaviour(Behaviour::BreakAfter(1));
    }
    let calls = send(&harness, ask);
    let worst = worst_use(calls, harness.engines()).await;
    assert_within_limit(worst, &harness);
}

/// The requests of several seconds that a paused daemon reads at once allowed retries beside those of the seconds
/// after them.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_daemons_that_were_paused_stay_within_the_limit() {
    const PAUSED: usize = 5;
    const PAUSE: Duration = Duration::from_secs(8);
    let harness = spawn().await;
    harness.set_plain_upstreams(Behaviour::Fail);
    let calls = send(&harness, look);
    tokio::time::sleep(LEAD_TIME).await;
    for gateway in &harness.gateways[..PAUSED] {
        gateway.signal("STOP");
    }
    tokio::time::sleep(PAUSE).await;
    for gateway in &harness.gateways[..PAUSED] {
        gateway.signal("CONT");
    }
    let worst = worst_use(calls, harness.plain_upstreams()).await;
    assert_within_limit(worst, &harness);
}

/// Each start of a daemon handed out its part of the slack anew.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_daemons_that_restart_together_stay_within_the_limit() {
    restart(3, GATEWAYS, Duration::from_secs(3)).await;
}

/// The same for daemons that restart one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_daemons_that_restart_in_turn_stay_within_the_limit() {
    restart(2 * GATEWAYS, 1, Duration::from_secs(1)).await;
}

/// Kills some daemons after the others and starts them again, several times with a pause between.
async fn restart(times: usize, at_once: usize, pause: Duration) {
    let mut harness = spawn().await;
    harness.set_plain_upstreams(Behaviour::Fail);
    let calls = send(&harness, look);
    tokio::time::sleep(LEAD_TIME).await;
    for index in (0..GATEWAYS).cycle().take(times * at_once) {
        harness.kill_and_restart(index);
        if (index + 1) % at_once == 0 {
            tokio::time::sleep(pause).await;
        }
    }
    let worst = worst_use(calls, harness.plain_upstreams()).await;
    assert_within_limit(worst, &harness);
}

/// Returns the requests for the plain service that all daemons count in the window.
async fn counted_requests(harness: &Harness) -> usize {
    const COUNT: &str = "hibiscusyoke_gateway_retry_budget{service=\"desk\",what=\"requests\"} ";
    let mut counted = 0;
    for gateway in &harness.gateways {
        let metrics = gateway.metrics().await;
        let count = metrics.lines().find_map(|line| line.strip_prefix(COUNT));
        counted += count.map_or(0, |count| count.parse::<usize>().expect("a number"));
    }
    counted
}

/// A request that several daemons refused was sent to as many upstreams by each of them, and only the retries of
/// each by itself were charged.
#[tokio::test(flavor = "multi_thread")]
async fn request_refused_by_other_daemons_is_not_sent_to_more_upstreams_than_its_route_allows() {
    const MAX_ATTEMPTS: usize = 2;
    let harness = Harness::spawn(4).await;
    harness.cut_off(0);
    harness.set_plain_upstreams(Behaviour::Refuse);
    for n in 0..20 {
        let id = format!("look-{n}");
        harness.call(&plain(&id, Method::GET, "/look/1")).await;
        let arrived = harness.plain_upstreams().map(FakeUpstream::arrived);
        let arrivals = arrived.iter().flatten();
        let count = arrivals.filter(|arrival| arrival.id == id).count();
        assert!(count <= MAX_ATTEMPTS, "{id}: {count} arrivals");
    }
    let log = harness.gateways[0].log();
    assert!(log.contains("outcome=refused_by_peer"), "{log}");
}

/// Each daemon to which a request was delegated counted it, so that one which several refused counted several times.
#[tokio::test(flavor = "multi_thread")]
async fn requests_delegated_to_other_daemons_are_counted_once() {
    const REQUESTS: u32 = 20;
    for (name, behaviour) in [("f", Behaviour::Fail), ("r", Behaviour::Refuse)] {
        let harness = Harness::spawn(3).await;
        harness.cut_off(0);
        harness.set_plain_upstreams(behaviour);
        for n in 0..REQUESTS {
            let id = format!("{name}-{n}");
            harness.call(&plain(&id, Method::GET, "/look/1")).await;
        }
        let log = harness.gateways[0].log();
        assert!(log.contains("event=delegated "), "{log}");
        let counted = counted_requests(&harness).await;
        assert_eq!(counted, REQUESTS as usize, "{behaviour:?}");
    }
}
