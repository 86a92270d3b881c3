//! Rows of the followed tables that another writer has left: unreadable values and figures out of range.

use http::{Method, StatusCode};
use serde_json::{Value, json};

use stand_in::gateway::{
    deployment::configuration,
    upstream::{FakeUpstream, runs_by_id},
};

use crate::harness::{Harness, plain, wait_until};

/// Keys that sort before, between and after those of the upstreams.
const ODD_KEYS: [&str; 3] = ["a0", "e1x", "zz"];

/// A value of an odd row.
enum OddValue {
    /// The text in place of base64.
    Unencoded(&'static str),
    /// Bytes that are encoded like any value.
    Bytes(Vec<u8>),
}

/// Returns the values of odd rows, with what makes them odd; `sound` is the entry of an upstream.
fn odd_values(sound: &Value) -> Vec<(&'static str, OddValue)> {
    let with = |key: &str, value: &str| {
        let mut row = sound.clone();
        row[key] = "PLACEHOLDER".into();
        let text = row.to_string().replace("\"PLACEHOLDER\"", value);
        OddValue::Bytes(text.into_bytes())
    };
    let digits = "9".repeat(400);
    let nested = format!("{}{}", "[".repeat(40_000), "]".repeat(40_000));
    vec![
        ("no base64", OddValue::Unencoded("*** not base64 ***")),
        ("cold for 1e22 ms", with("cold_remaining_ms", "1e22")),
        ("cold for 1e300 ms", with("cold_remaining_ms", "1e300")),
        ("cold for 400 digits", with("cold_remaining_ms", &digits)),
        ("slots beyond any host", with("slots", "4294967295")),
        ("nested", with("service", &nested)),
        ("nested, unknown field", with("more", &nested)),
        ("port out of range", with("address", "\"127.0.0.1:70000\"")),
        ("port 0", with("address", "\"127.0.0.1:0\"")),
        ("sequence of 400 digits", with("sequence", &digits)),
        ("no UTF-8", OddValue::Bytes(vec![0xff, 0xfe, 0x00])),
        ("empty", OddValue::Bytes(Vec::new())),
    ]
}

fn put_odd_rows(harness: &Harness, value: &OddValue) {
    for key in ODD_KEYS {
        match value {
            OddValue::Unencoded(text) => harness.table.put_unencoded("servers", key, text),
            OddValue::Bytes(bytes) => harness.table.put_bytes("servers", key, bytes),
        }
    }
}

/// An upstream that registered after an odd row was never used, and one that had left was used on, as the task
/// that follows the table had ended or repeated its read forever.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_are_followed_beside_odd_rows() {
    let mut harness = Harness::spawn(2).await;
    // What the odd rows name exists, so that only the odd figure keeps it from being used.
    let odd = FakeUpstream::spawn("odd").await;
    let mut current = harness.plain_upstreams().map(|u| u.id.clone()).to_vec();
    let sound = odd.row("desk", "v1");
    for (n, (what, value)) in odd_values(&sound).iter().enumerate() {
        put_odd_rows(&harness, value);
        let id = format!("later{n}");
        let later = FakeUpstream::spawn(&id).await;
        harness.table.put("servers", &id, &later.row("desk", "v1"));
        for left in std::mem::replace(&mut current, vec![id.clone()]) {
            harness.table.remove("servers", &left);
        }
        for (g, gateway) in harness.gateways.iter().enumerate() {
            let is_followed = || async {
                let request = format!("{id}-{g}");
                let reply = gateway.call(&plain(&request, Method::GET, "/look/1")).await;
                reply.status == StatusCode::OK && runs_by_id(&[&later]).contains_key(&request)
            };
            wait_until(is_followed).await;
            assert!(gateway.is_ready().await, "{what}");
        }
        harness.upstreams.push(later);
    }
    assert!(runs_by_id(&[&odd]).is_empty(), "odd rows name no upstream");
}

/// A daemon that starts beside odd rows never became ready.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_starts_beside_odd_rows() {
    let mut harness = Harness::spawn(0).await;
    let sound = harness.plain_upstreams()[0].row("desk", "v1");
    for (n, (_, value)) in odd_values(&sound).iter().enumerate() {
        let key = format!("odd{n}");
        match value {
            OddValue::Unencoded(text) => harness.table.put_unencoded("servers", &key, text),
            OddValue::Bytes(bytes) => harness.table.put_bytes("servers", &key, bytes),
        }
    }
    for key in ["daemon/odd", "rollout/pool"] {
        harness.table.put_unencoded("hibiscusyoke", key, "***");
    }
    harness.table.put_unencoded("op", "rollout/pool", "***");
    harness.start_gateway();
    wait_until(|| harness.gateways[0].is_ready()).await;
    let reply = harness.call(&plain("r1", Method::GET, "/look/1")).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Each caller's connection was reset after a configuration with an enormous timeout, while the daemon was ready.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_with_enormous_figures_is_served() {
    let harness = Harness::spawn(1).await;
    let enormous = json!(1e22);
    let mut generation = 1;
    let mut publish = async |change: &dyn Fn(&mut Value)| {
        generation += 1;
        let mut next = configuration(generation, &["k1"]);
        change(&mut next);
        harness.table.put("op", "config", &next);
        let applied = format!("configuration generation={generation}");
        wait_until(|| async { harness.gateways[0].log().contains(&applied) }).await;
        for (method, path) in [(Method::GET, "/look/1"), (Method::POST, "/book/1")] {
            let id = format!("{generation}{path}");
            let reply = harness.call(&plain(&id, method, path)).await;
            assert_eq!(reply.status, StatusCode::OK, "{next}");
        }
    };
    for limit in ["idle_timeout_ms", "max_header_bytes", "max_body_bytes"] {
        publish(&|next| next["limits"][limit] = enormous.clone()).await;
    }
    for figure in [
        "timeout_ms",
        "target_latency_ms",
        "max_attempts",
        "gap_aim_ms",
        "priority",
    ] {
        publish(&|next| {
            for route in next["routes"].as_array_mut().expect("routes") {
                route[figure] = enormous.clone();
            }
        })
        .await;
    }
    for figure in ["cold_start_s", "cold_per_s"] {
        publish(&|next| {
            for service in next["services"].as_array_mut().expect("services") {
                service[figure] = enormous.clone();
            }
        })
        .await;
    }
    for figure in ["slots", "kv_capacity_tokens"] {
        publish(&|next| next["services"][0]["engine"][figure] = enormous.clone()).await;
    }
    publish(&|next| next["tenants"][0]["priority"] = enormous.clone()).await;
}
