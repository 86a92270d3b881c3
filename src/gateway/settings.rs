//! The settings of a gateway, in JSON with comments.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use compact_str::CompactString;
use serde::Deserialize;

use crate::{
    coordination::dispatch::{FleetLimits, retry_budget::RetryLimit},
    state::document::{Document, DocumentError},
};

/// The settings of a gateway; times are in the units that their names give.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The instance's name.
    pub name: CompactString,
    /// The failure domain in which it stands.
    pub domain: CompactString,
    /// The address that peers reach.
    pub ip: IpAddr,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the platform asks whether callers may come.
    pub ready: SocketAddr,
    /// Where callers ask which addresses to use; absent if others answer that.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Where metrics are read.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The platform's table.
    pub table: SocketAddr,
    /// The first and the last port for traffic between daemons.
    pub peer_ports: (u16, u16),
    /// How long callers may keep the directory's answer, at most.
    pub directory_ttl_max_s: f64,
    /// The time between the order to stop and the end of the process.
    pub grace_period_s: f64,
    /// How long requests of one session may be apart.
    pub session_s: f64,
    /// The part of a service's requests that may reach a bad version, from 0 to 1.
    pub exposure: f64,
    /// Repeats allowed for each request, over all daemons.
    pub repeat_ratio: f64,
    /// Repeats allowed beside the ratio in a window.
    pub repeat_slack: f64,
    /// The length of that window.
    pub repeat_window_s: f64,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<Self, DocumentError> {
        let document = Document::open(path)?;
        let settings: Self = document.parse()?;
        match settings.out_of_range() {
            Some(value) => Err(document.error_at_key(&[value.key], value.reason)),
            None => Ok(settings),
        }
    }

    /// The limits for the whole fleet.
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

    /// The time between the order to stop and the end of the process.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_period_s)
    }

    /// Where heartbeats of other daemons arrive.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
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

/// A value that no gateway can use.
struct OutOfRange {
    key: &'static str,
    reason: &'static str,
}

impl OutOfRange {
    fn for_key(key: &'static str, reason: &'static str) -> Option<Self> {
        Some(Self { key, reason })
    }
}
