//! Rows and dispatchers for the tests of decisions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, FleetLimits,
    budget::RepeatLimit,
    peers::{Heartbeat, PeerId, Readiness, TableState},
};
use platform::table::Row;

/// The limits of the users' smaller deployments.
pub(crate) const LIMITS: FleetLimits = FleetLimits {
    repeats: RepeatLimit {
        ratio: 0.9,
        window: Duration::from_secs(10),
        slack: 56.0,
    },
    session_time: Duration::from_secs(5),
};

/// An address for something that no test connects to.
pub(crate) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 9_000))
}

/// A daemon's identity.
pub(crate) fn daemon(name: &str) -> PeerId {
    PeerId {
        name: name.into(),
        incarnation: 1,
    }
}

/// A dispatcher that knows nothing yet.
pub(crate) fn dispatcher() -> Dispatcher {
    Dispatcher::new(daemon("front-1"), "a".into(), LIMITS, 1)
}

/// An upstream's row.
pub(crate) fn upstream(id: &str, version: u64, state: &str) -> Row {
    let value = serde_json::json!({
        "service": "pool", "address": address(9), "zone": "a", "version": "v1", "slots": 4,
        "state": state, "cold_remaining_ms": 0, "born": 1,
    });
    row(id, version, Some(value))
}

/// A row, or the removal of one.
pub(crate) fn row(key: &str, version: u64, value: Option<serde_json::Value>) -> Row {
    Row {
        key: key.into(),
        value: value.map(|value| value.to_string().into_bytes()),
        version,
    }
}

/// Another daemon's heartbeat, which says whether the table answers it.
pub(crate) fn heartbeat(name: &str, table: TableState) -> Heartbeat {
    Heartbeat {
        from: daemon(name),
        front: address(1),
        readiness: Readiness::Ready,
        domain: "a".into(),
        table,
        orders_newest: 0,
        upstreams_newest: 0,
        loads: Vec::new(),
        rollouts: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Lets `hearer` hear some daemons.
pub(crate) fn hear(hearer: &mut Dispatcher, heartbeats: &[Heartbeat], now: Instant) {
    for (heartbeat, i) in heartbeats.iter().zip(2..) {
        hearer.hear(heartbeat.clone(), address(i), now);
    }
}
