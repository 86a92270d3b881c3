//! Settings and configuration of a small deployment of gateways on loopback addresses.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    path::Path,
    process::{self, Command},
    sync::LazyLock,
};

use serde_json::{Value, json};

/// Port of a gateway for the queries of other gateways.
pub const PEER_PORT: u16 = 7_340;
/// Port that a test process binds on the first address of its block of loopback addresses.
pub const RESERVATION_PORT: u16 = 18_000;

/// Number of blocks of loopback addresses that test processes share out.
const ADDRESS_BLOCKS: u32 = 200;
/// Second octet of the addresses in the first block.
const FIRST_BLOCK: u32 = 10;

/// The block of loopback addresses of this process.
static ADDRESS_BLOCK: LazyLock<AddressBlock> = LazyLock::new(AddressBlock::reserve);

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
    IpAddr::V4(Ipv4Addr::new(127, ADDRESS_BLOCK.octet, site, number))
}

/// Loopback addresses with the same second octet, which one process uses as long as it runs.
struct AddressBlock {
    octet: u8,
    _reservation: UdpSocket,
}

impl AddressBlock {
    /// Reserves the first free block, beginning with the one that the process id names.
    fn reserve() -> Self {
        let mut octets = (0..ADDRESS_BLOCKS).map(|n| block_octet(process::id() + n));
        let reserved = octets.find_map(|octet| {
            let address = Ipv4Addr::new(127, octet, 0, 1);
            let socket = UdpSocket::bind((address, RESERVATION_PORT)).ok()?;
            Some(Self {
                octet,
                _reservation: socket,
            })
        });
        reserved.expect("a free block of loopback addresses")
    }
}

/// Returns the second octet of the block that a process with this id tries first.
pub fn block_octet(process: u32) -> u8 {
    let octet = process % ADDRESS_BLOCKS + FIRST_BLOCK;
    u8::try_from(octet).expect("blocks fit into an octet")
}

/// Returns the settings of a gateway that reaches the table at `table` and starts with its whole fleet.
pub fn settings(name: &str, ip: IpAddr, table: SocketAddr) -> Value {
    json!({
        "name": name, "domain": "a", "ip": ip,
        "front": address(ip, Port::Front), "ready": address(ip, Port::Ready),
        "directory": address(ip, Port::Directory), "metrics": address(ip, Port::Metrics),
        "table": table, "bootstrap": true, "peer_ports": [PEER_PORT, 7_355],
        "directory_ttl_max_s": 5, "grace_period_s": 8, "session_s": 5, "exposure": 0.15,
        "repeat_ratio": 0.9, "repeat_slack": 56, "repeat_window_s": 10,
    })
}

/// Changes a settings file for a gateway that starts again, alone or with others.
///
/// # Errors
///
/// If the file can't be read or written.
pub fn prepare_restart(settings: &Path) -> io::Result<()> {
    let text = fs::read_to_string(settings)?;
    fs::write(
        settings,
        text.replace("\"bootstrap\":true", "\"bootstrap\":false"),
    )
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
