//! Gateways whose callers send twice what the engines can run.

use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::json;
use stand_in::gateway::{caller, deployment::configuration, upstream::Behaviour};

use crate::harness::{Call, Harness, open, stream, wait_until};

/// Requests that an engine runs at a time, each for about 120 ms.
const SLOTS: usize = 4;
/// Requests that an engine queues.
const ENGINE_QUEUE: usize = 2;
/// Capacity of both engines in requests per second.
const CAPACITY: f64 = 60.0;
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Time after which the daemons know of the overload.
const CONTACT_TIME: Duration = Duration::from_secs(2);
/// Time that callers wait.
const DEADLINE_MS: u32 = 3_000;

/// Callers of one customer.
#[derive(Clone, Copy)]
struct Load {
    key: &'static str,
    /// Requests per second.
    rate: f64,
}

/// Starts two gateways before engines that queue a few requests by priority.
async fn overloaded(priorities: [u8; 2]) -> Harness {
    let harness = Harness::spawn(2).await;
    let mut changed = configuration(2, &["k1"]);
    changed["tenants"] = json!([
        {"name": "t1", "api_keys": ["k1"], "priority": priorities[0]},
        {"name": "t2", "api_keys": ["k2"], "priority": priorities[1]},
    ]);
    harness.table.put("op", "config", &changed);
    for engine in harness.engines() {
        engine.set_slots(SLOTS);
        engine.restart();
        engine.set_behaviour(Behaviour::Queue(ENGINE_QUEUE));
        let row = engine.row("pool", "v1");
        harness.table.put("servers", &engine.id, &row);
    }
    for gateway in &harness.gateways {
        wait_until(|| async { gateway.log().matches("\"slots\":4").count() >= 2 }).await;
        wait_until(|| async {
            let call = Call {
                headers: caller::stream_headers("k2", "k2", DEADLINE_MS),
                ..stream("k2", "/ask/easy")
            };
            gateway.call(&call).await.status == StatusCode::OK
        })
        .await;
    }
    harness
}

/// Sends the load through both gateways; returns the fractions served of what was sent after the contact
/// time, and the number served per second.
async fn send(harness: &Harness, loads: [Load; 2]) -> ([f64; 2], f64) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (class, load) in loads.into_iter().enumerate() {
        let count = (load.rate * LOAD_TIME.as_secs_f64()) as u32;
        for n in 0..count {
            let at = Duration::from_secs_f64(f64::from(n) / load.rate);
            let id = format!("{}-{n}", load.key);
            let address = harness.gateways[n as usize % 2].caller_address();
            let call = Call {
                headers: caller::stream_headers(&id, load.key, DEADLINE_MS),
                ..stream(&id, "/ask/easy")
            };
            tasks.push(tokio::spawn(async move {
                tokio::time::sleep_until((start + at).into()).await;
                let Some(response) = open(address, &call).await else {
                    return (class, at, false);
                };
                let is_success = response.status() == StatusCode::OK;
                let body = response.into_body().collect().await;
                (class, at, is_success && body.is_ok())
            }));
        }
    }
    let mut counts = [(0.0, 0.0); 2];
    for task in tasks {
        let (class, at, is_served) = task.await.expect("a result");
        if at >= CONTACT_TIME {
            counts[class].0 += f64::from(u8::from(is_served));
            counts[class].1 += 1.0;
        }
    }
    let served: f64 = counts.iter().map(|(served, _)| served).sum();
    let span = (LOAD_TIME - CONTACT_TIME).as_secs_f64();
    (counts.map(|(served, sent)| served / sent), served / span)
}

/// The highest priority was served as rarely as the others.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_requests_are_served_under_overload() {
    let harness = overloaded([0, 2]).await;
    let urgent = Load {
        key: "k1",
        rate: 0.7 * CAPACITY,
    };
    let other = Load {
        key: "k2",
        rate: 1.3 * CAPACITY,
    };
    let (served, rate) = send(&harness, [urgent, other]).await;
    assert!(served[0] >= 0.95, "served {served:?}, {rate:.1} per second");
    assert!(rate >= 0.8 * CAPACITY, "{rate:.1} per second");
}

/// A customer with a sixth of the requests was served no more of them than the one with the others.
#[tokio::test(flavor = "multi_thread")]
async fn customer_below_its_fair_share_is_served_under_overload() {
    let harness = overloaded([1, 1]).await;
    let small = Load {
        key: "k1",
        rate: 2.0 / 7.0 * CAPACITY,
    };
    let large = Load {
        key: "k2",
        rate: 12.0 / 7.0 * CAPACITY,
    };
    let (served, rate) = send(&harness, [small, large]).await;
    assert!(served[0] >= 0.9, "served {served:?}, {rate:.1} per second");
    assert!(rate >= 0.8 * CAPACITY, "{rate:.1} per second");
}
