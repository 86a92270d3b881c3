//! Upstreams that crash if they must refuse too many requests in a second, and say so.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use stand_in::gateway::upstream::Behaviour;
use tokio::task::JoinSet;

use crate::harness::{Harness, open, plain, wait_until};

/// Number of refusals in a second that an upstream bears.
const MAX_REFUSALS: u32 = 3;
/// Number of requests that an upstream runs at a time.
const SLOTS: usize = 3;
/// Number of callers that send one request after the other to each gateway.
const CALLERS: usize = 8;
/// Time from the first answer until an upstream must be spared.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent after that.
const BRITTLE_TIME: Duration = Duration::from_secs(5);
/// Time for which an open load is counted.
const COUNTED_TIME: Duration = Duration::from_secs(11);
/// Seed of the arrivals of an open load.
const SEED: u64 = 11;
/// Requests that the upstreams of the open loads run in a second.
const CAPACITY: f64 = 40.0;
/// Pause of a caller after a refusal.
const CALLER_PAUSE: Duration = Duration::from_millis(30);

/// Sends requests through all gateways at the same time until `end`; returns how many were served.
async fn overload(harness: &Harness, end: Instant) -> usize {
    let callers = (0..CALLERS).flat_map(|n| harness.gateways.iter().map(move |g| (n, g)));
    let served = callers.map(|(n, gateway)| async move {
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            sent += 1;
            let id = format!("{}-{n}-{sent}-{:?}", gateway.caller_address(), end);
            let reply = gateway.call(&plain(&id, Method::GET, "/look/1")).await;
            match reply.status {
                StatusCode::OK => served += 1,
                _ => tokio::time::sleep(CALLER_PAUSE).await,
            }
        }
        served
    });
    futures::future::join_all(served).await.into_iter().sum()
}

/// Starts three gateways before two brittle upstreams that run this many requests at a time.
async fn spawn_brittle(slots: usize) -> Harness {
    let harness = Harness::spawn(3).await;
    for upstream in harness.plain_upstreams() {
        upstream.set_slots(slots);
        upstream.restart();
        upstream.set_behaviour(Behaviour::Brittle(MAX_REFUSALS));
        harness
            .table
            .put("servers", &upstream.id, &upstream.row("desk", "v1"));
    }
    let known = format!("\"slots\":{slots}");
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().matches(&known).count() == 2 }).await;
    }
    harness
}

fn crashes_since(harness: &Harness, from: Instant) -> usize {
    let upstreams = harness.plain_upstreams();
    let all = upstreams.iter().flat_map(|upstream| upstream.crashes());
    all.filter(|at| *at >= from).count()
}

/// Sends requests to gateways at random, `batch` at the same time, at random intervals, and counts those that
/// are served. They do not wait for each other, and callers do not repeat them.
async fn open_load(harness: &Harness, time: Duration, per_second: u32, batch: u32) -> Load {
    let interval = Duration::from_secs_f64(f64::from(batch) / f64::from(per_second));
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(SEED);
    let mut next = tokio::time::Instant::now();
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    while Instant::now() < end {
        // Single requests arrive independently of each other.
        let factor = if batch == 1 {
            -(1.0 - rng.random::<f64>()).ln()
        } else {
            1.0
        };
        next += interval.mul_f64(factor);
        tokio::time::sleep_until(next).await;
        for _ in 0..batch {
            let n = calls.len();
            let gateway = rng.random_range(0..harness.gateways.len());
            let gateway = harness.gateways[gateway].caller_address();
            let id = format!("open-{per_second}-{batch}-{n}-{end:?}");
            let call = plain(&id, Method::GET, "/look/1");
            calls.spawn(async move {
                let response = open(gateway, &call).await;
                response.is_some_and(|response| response.status() == StatusCode::OK)
            });
        }
    }
    let served = calls.join_all().await;
    Load {
        sent: served.len(),
        served: served.iter().filter(|served| **served).count(),
    }
}

/// What became of the requests of an open load.
#[derive(Clone, Copy, Debug)]
struct Load {
    sent: usize,
    served: usize,
}

/// Loads upstreams with a capacity of 40 requests a second and checks what is served of what is possible.
async fn check_capacity_used(per_second: u32, batch: u32, min_share: f64) {
    let harness = spawn_brittle(6).await;
    for upstream in harness.plain_upstreams() {
        upstream.set_brittle_run_time(Duration::from_millis(300));
    }
    open_load(&harness, CONTACT_TIME, per_second, batch).await;
    let from = Instant::now();
    let load = open_load(&harness, COUNTED_TIME, per_second, batch).await;
    let crashes = crashes_since(&harness, from);
    assert!(crashes <= 2, "{crashes} crashes, {load:?}");
    let possible = (load.sent as f64).min(CAPACITY * COUNTED_TIME.as_secs_f64());
    assert!(load.served as f64 >= min_share * possible, "{load:?}");
}

/// Daemons stayed away from brittle upstreams that had room: 156 of 260 requests were served.
#[tokio::test(flavor = "multi_thread")]
async fn load_that_fits_is_served_by_brittle_upstreams() {
    check_capacity_used(24, 1, 0.95).await;
}

/// The same under overload: 104 of 630 requests were served.
#[tokio::test(flavor = "multi_thread")]
async fn capacity_of_brittle_upstreams_is_used_under_overload() {
    check_capacity_used(60, 1, 0.8).await;
}

/// The same if requests come together.
#[tokio::test(flavor = "multi_thread")]
async fn capacity_of_brittle_upstreams_is_used_in_bursts() {
    check_capacity_used(24, 24, 0.8).await;
}

/// The daemons filled the slots together and made brittle upstreams crash again and again.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstreams_do_not_crash_under_overload() {
    let harness = spawn_brittle(SLOTS).await;
    let from = Instant::now() + CONTACT_TIME;
    overload(&harness, from).await;
    let served = overload(&harness, from + BRITTLE_TIME).await;
    let crashes = crashes_since(&harness, from);
    assert!(crashes <= 2, "{crashes} crashes, {served} served");
    // Six slots of 60 ms each run 500 requests in five seconds.
    assert!(served >= 200, "{served} served");
}
