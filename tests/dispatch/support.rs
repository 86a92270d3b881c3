//! Rows and dispatchers for the tests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Applied, Assignment, Dispatcher, FleetLimits, Placement, PlacementRequest,
    heartbeat::{Heartbeat, Links, PeerId, Readiness, TableState},
    retry_budget::RetryLimit,
};
use platform::{RowVersion, orders::Order, table::Row};

/// Limits of a small deployment.
pub(crate) const LIMITS: FleetLimits = FleetLimits {
    retries: RetryLimit {
        ratio: 0.9,
        window: Duration::from_secs(10),
        slack: 56.0,
    },
    session_timeout: Duration::from_secs(5),
    exposure: 0.15,
};

/// Returns an address that no test connects to.
pub(crate) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 9_000))
}

/// Returns the identity of a daemon.
pub(crate) fn daemon(name: &str) -> PeerId {
    PeerId {
        name: name.into(),
        incarnation: 1,
    }
}

/// Returns a dispatcher without routes, upstreams or peers.
pub(crate) fn dispatcher() -> Dispatcher {
    Dispatcher::new(daemon("front-1"), "a".into(), LIMITS, 1)
}

/// Returns the row of an upstream.
pub(crate) fn upstream(id: &str, version: u64, state: &str) -> Row {
    let value = serde_json::json!({
        "service": "pool", "address": address(9), "zone": "a", "version": "v1", "slots": 4,
        "state": state, "cold_remaining_ms": 0, "born": 1,
    });
    row(id, version, Some(value))
}

/// Returns a row, or the removal of one if there is no value.
pub(crate) fn row(key: &str, version: u64, value: Option<serde_json::Value>) -> Row {
    Row {
        key: key.into(),
        value: value.map(|value| value.to_string().into_bytes()),
        version: version_of(version),
    }
}

/// Returns a row version of the table's first era.
pub(crate) fn version_of(number: u64) -> RowVersion {
    RowVersion { era: 1, number }
}

/// Returns another daemon's heartbeat with the given connectivity to the table.
pub(crate) fn heartbeat(name: &str, table: TableState) -> Heartbeat {
    Heartbeat {
        from: daemon(name),
        sequence: 1,
        liveness: Vec::new(),
        caller_address: address(1),
        readiness: Readiness::Ready,
        links: Links::Working,
        domain: "a".into(),
        link_mbps: 0,
        table,
        generation: 0,
        table_era: 0,
        newest_order_version: RowVersion::default(),
        newest_upstream_version: RowVersion::default(),
        awaits_upstreams: false,
        loads: Vec::new(),
        busy: Vec::new(),
        rollouts: Vec::new(),
        suspects: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        brittle: Vec::new(),
        overload: Vec::new(),
    }
}

/// Delivers heartbeats to a dispatcher.
pub(crate) fn receive_heartbeat(receiver: &mut Dispatcher, heartbeats: &[Heartbeat], now: Instant) {
    for (heartbeat, i) in heartbeats.iter().zip(2..) {
        receiver.receive_heartbeat(heartbeat.clone(), address(i), now);
    }
}

/// Exchanges the load updates of daemons whose heartbeats came from `address(2)` and those after it.
pub(crate) fn exchange_loads(daemons: &mut [Dispatcher], now: Instant) {
    for n in 0..daemons.len() {
        for (receiver, update) in daemons[n].load_updates(now) {
            let is_receiver = |i: &u8| address(*i) == receiver;
            let index = (2..=u8::MAX).position(|i| is_receiver(&i));
            daemons[index.expect("a daemon")].receive_load_update(&update, now);
        }
    }
}

/// Returns a configuration with a pool of engines and a plain service.
pub(crate) fn configuration(generation: u64) -> Row {
    let value = serde_json::json!({
        "version": generation,
        "routes": [
            {"name": "ask", "hostname": "h", "prefix": "/ask/", "kind": "streaming", "timeout_ms": 8_000,
             "target_latency_ms": 2_000, "priority": 2, "sizes": ["small", "large"], "service": "pool",
             "max_attempts": 3, "stream_resume": true},
            {"name": "ask-long", "hostname": "h", "prefix": "/ask/long/", "kind": "streaming", "timeout_ms": 8_000,
             "target_latency_ms": 2_000, "service": "pool"},
            {"name": "open", "hostname": "h", "prefix": "/open/", "kind": "idempotent", "timeout_ms": 1_000,
             "target_latency_ms": 300, "service": "desk", "allow_anonymous": true},
        ],
        "services": [
            {"name": "pool", "cold_start_s": 3.0, "cold_per_s": 16.0,
             "engine": {"slots": 4, "kv_capacity_tokens": 1_000, "models": []}},
            {"name": "desk"},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1}, {"name": "t2", "api_keys": ["k2"]}],
    });
    row("config", generation, Some(value))
}

/// Returns a dispatcher with the configuration and some upstreams of the pool.
pub(crate) fn ready(upstreams: &[Row], now: Instant) -> Dispatcher {
    let mut dispatcher = dispatcher();
    order(&mut dispatcher, &configuration(1), now);
    dispatcher.registry.replace(upstreams, now);
    dispatcher
}

/// Applies a row of the operators' table.
pub(crate) fn order(dispatcher: &mut Dispatcher, row: &Row, now: Instant) -> Applied {
    let order = Order::decode(row).expect("a valid order");
    dispatcher.apply(order, row.version, now)
}

/// Returns a request of a session to the pool.
pub(crate) fn request(session: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "pool",
        route: "ask",
        session,
        model: None,
        prompt: None,
        body_bytes: 100,
        tried: &[],
        remaining: Duration::from_secs(8),
    }
}

/// Places a request that is expected to get a slot.
pub(crate) fn assign(
    dispatcher: &mut Dispatcher,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Assignment {
    match dispatcher.select_upstream(request, now) {
        Placement::Assigned(assignment) => *assignment,
        other => panic!("no slot reserved: {other:?}"),
    }
}

/// Returns the row of an upstream with some fields replaced.
pub(crate) fn upstream_with(id: &str, version: u64, fields: &[(&str, serde_json::Value)]) -> Row {
    let row = upstream(id, version, "ready");
    let bytes = row.value.expect("a value");
    let mut value: serde_json::Value = serde_json::from_slice(&bytes).expect("JSON");
    for (name, field) in fields {
        value[*name] = field.clone();
    }
    self::row(id, version, Some(value))
}
