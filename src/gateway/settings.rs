//! The gateway's settings file, in JSON with comments.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use compact_str::CompactString;
use serde::Deserialize;

use crate::{
    budgets::{Budgets, MIN_OPEN_FILES},
    coordination::dispatch::{FleetLimits, retry_budget::RetryLimit},
    state::document::{Document, DocumentError},
};

/// Settings of a gateway; the suffix of a duration's name gives its unit.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The instance's name.
    pub name: CompactString,
    /// The failure domain of the instance.
    pub domain: CompactString,
    /// The IP address for traffic between daemons.
    pub ip: IpAddr,
    /// Listening address for callers.
    pub front: SocketAddr,
    /// Listening address of the readiness check.
    pub ready: SocketAddr,
    /// Listening address of the directory that lists the caller addresses; absent if
    /// another process serves it.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Listening address of the metrics endpoint.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's table.
    pub table: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Rate of the instance's link in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory of the instance in MB; absent if it is not limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Number of descriptors that the process may open; absent if it is not limited.
    #[serde(default)]
    pub max_open_files: Option<u32>,
    /// First and last port for traffic between daemons.
    pub peer_ports: (u16, u16),
    /// Maximum time in seconds that callers may cache a directory response.
    pub directory_ttl_max_s: f64,
    /// Time in seconds between a shutdown request and the end of the process.
    pub grace_period_s: f64,
    /// Maximum time in seconds between two requests of one session.
    pub session_s: f64,
    /// Maximum fraction of a service's requests that may reach a faulty version, from 0 to 1.
    pub exposure: f64,
    /// Retries allowed per request, over all daemons.
    pub repeat_ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub repeat_slack: f64,
    /// Length of the retry window in seconds.
    pub repeat_window_s: f64,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self, DocumentError> {
        let document = Document::open(path)?;
        let settings: Self = document.parse()?;
        match settings.out_of_range() {
            Some(value) => Err(document.error_at_key(&[value.key], value.reason)),
            None => Ok(settings),
        }
    }

    /// Returns the fleet-wide limits.
    pub fn limits(&self) -> FleetLimits {
        FleetLimits {
            retries: RetryLimit {
                ratio: self.repeat_ratio,
                window: Duration::from_secs_f64(self.repeat_window_s),
                slack: self.repeat_slack,
            },
            session_timeout: Duration::from_secs_f64(self.session_s),
            exposure: self.exposure,
        }
    }

    /// Returns the rate of the link in whole Mbit/s.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the setting is checked"
    )]
    pub fn whole_link_mbps(&self) -> u32 {
        self.link_mbps as u32
    }

    /// Returns how the instance's memory and descriptors are shared out.
    pub fn budgets(&self) -> Budgets {
        Budgets::new(self.memory_mb, self.max_open_files)
    }

    /// Returns the time between a shutdown request and the end of the process.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_period_s)
    }

    /// Returns the address that receives heartbeats and changes queries from other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Returns the address that receives requests which other daemons delegate; absent if the range of
    /// ports has room for one only.
    pub fn delegation_address(&self) -> Option<SocketAddr> {
        let port = self.peer_ports.0.checked_add(1)?;
        (port <= self.peer_ports.1).then(|| SocketAddr::new(self.ip, port))
    }

    fn out_of_range(&self) -> Option<OutOfRange> {
        let times = [
            ("directory_ttl_max_s", self.directory_ttl_max_s),
            ("grace_period_s", self.grace_period_s),
            ("session_s", self.session_s),
            ("repeat_window_s", self.repeat_window_s),
        ];
        let invalid_time = times.iter().find(|(_, s)| !(0.001..1e6).contains(s));
        if let Some((key, _)) = invalid_time {
            return OutOfRange::for_key(key, "must be between 1 ms and 1e6 s");
        }
        if !(0.01..1e7).contains(&self.link_mbps) {
            return OutOfRange::for_key("link_mbps", "must be between 0.01 and 1e7");
        }
        if self.memory_mb.is_some_and(|mb| !(1.0..1e7).contains(&mb)) {
            return OutOfRange::for_key("memory_mb", "must be between 1 and 1e7");
        }
        if self.max_open_files.is_some_and(|n| n < MIN_OPEN_FILES) {
            return OutOfRange::for_key("max_open_files", "must be at least 256");
        }
        if !(0.0..1e6).contains(&self.repeat_ratio) {
            return OutOfRange::for_key("repeat_ratio", "must be between 0 and 1e6");
        }
        if !(0.0..1e9).contains(&self.repeat_slack) {
            return OutOfRange::for_key("repeat_slack", "must be between 0 and 1e9");
        }
        if !(0.0..=1.0).contains(&self.exposure) {
            return OutOfRange::for_key("exposure", "must be between 0 and 1");
        }
        if self.peer_ports.0 > self.peer_ports.1 {
            return OutOfRange::for_key("peer_ports", "the first port is after the last");
        }
        None
    }
}

fn default_link_mbps() -> f64 {
    100.0
}

/// A setting outside its allowed range.
struct OutOfRange {
    key: &'static str,
    reason: &'static str,
}

impl OutOfRange {
    fn for_key(key: &'static str, reason: &'static str) -> Option<Self> {
        Some(Self { key, reason })
    }
}
