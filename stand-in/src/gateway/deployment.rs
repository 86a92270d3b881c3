//! Settings and configuration of a small deployment of gateways on loopback addresses.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::Command,
};

use serde_json::{Value, json};

/// Port of a gateway for the queries of other gateways.
pub const PEER_PORT: u16 = 7_340;

/// Ports of a gateway.
#[derive(Clone, Copy, Debug)]
pub enum Port {
    /// Requests of callers.
    Front = 18_001,
    /// Readiness check.
    Ready = 18_002,
    /// Directory of the gateways that callers can use.
    Directory = 18_003,
    /// Metrics.
    Metrics = 18_004,
}

/// Returns a gateway's address for one of its ports.
pub fn address(ip: IpAddr, port: Port) -> SocketAddr {
    SocketAddr::new(ip, port as u16)
}

/// Returns a loopback address that no other test process uses; `site` and `number` start at 1.
pub fn loopback(site: u8, number: u8) -> IpAddr {
    let run = u8::try_from(std::process::id() % 200).unwrap_or_default() + 10;
    IpAddr::V4(Ipv4Addr::new(127, run, site, number))
}

/// Returns the settings of a gateway that reaches the table at `table`.
pub fn settings(name: &str, ip: IpAddr, table: SocketAddr) -> Value {
    json!({
        "name": name, "domain": "a", "ip": ip,
        "front": address(ip, Port::Front), "ready": address(ip, Port::Ready),
        "directory": address(ip, Port::Directory), "metrics": address(ip, Port::Metrics),
        "table": table, "peer_ports": [PEER_PORT, 7_355],
        "directory_ttl_max_s": 5, "grace_period_s": 8, "session_s": 5, "exposure": 0.15,
        "repeat_ratio": 0.9, "repeat_slack": 56, "repeat_window_s": 10,
    })
}

/// Returns a configuration with a route of each kind.
pub fn configuration(generation: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "hostname": "h", "prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": 4_000, "target_latency_ms": 500, "max_attempts": attempts,
            "allow_anonymous": false, "stream_resume": kind == "streaming",
            "sizes": if kind == "streaming" { json!(["small", "large"]) } else { json!([]) },
        })
    };
    json!({
        "version": generation,
        "routes": [
            route("ask", "/ask/", "streaming", "pool", 3),
            route("book", "/book/", "non_idempotent", "desk", 1),
            route("look", "/look/", "idempotent", "desk", 2),
        ],
        "services": [
            {"name": "pool", "cold_start_s": 0.0, "cold_per_s": 0.0,
             "engine": {"slots": 16, "kv_capacity_tokens": 100_000, "models": []}},
            {"name": "desk"},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_096, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "t1", "api_keys": keys}],
    })
}

/// Returns the same configuration with this many routes more.
pub fn configuration_with_routes(generation: u64, keys: &[&str], count: usize) -> Value {
    let mut configuration = configuration(generation, keys);
    let routes = configuration["routes"].as_array_mut().expect("a list");
    let model = routes[0].clone();
    routes.extend((0..count).map(|n| {
        let mut route = model.clone();
        route["name"] = format!("added-{n}").into();
        route["prefix"] = format!("/added-{n}/").into();
        route
    }));
    configuration
}

/// Sends a signal such as `TERM` to a process that the caller started.
pub fn signal(process: u32, name: &str) -> io::Result<()> {
    let status = Command::new("kill")
        .args(["-s", name, &process.to_string()])
        .status()?;
    match status.success() {
        true => Ok(()),
        false => Err(io::Error::other(format!(
            "kill -s {name} {process}: {status}"
        ))),
    }
}
