//! The settings of a gateway, in JSON with comments.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use compact_str::CompactString;
use jsonc_parser::ParseOptions;
use serde::Deserialize;
use thiserror::Error;

use crate::coordination::dispatch::{FleetLimits, budget::RepeatLimit};

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(PathBuf, io::Error),
    /// The file is not JSON with comments.
    #[error("{0}: {1}")]
    Syntax(PathBuf, jsonc_parser::errors::ParseError),
    /// A value is missing or of the wrong type.
    #[error("{0}: {1}: {2}")]
    Value(PathBuf, String, serde_json::Error),
    /// A value is out of its range.
    #[error("{0}: {1}")]
    Range(PathBuf, &'static str),
}

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
    /// Instances that may know others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
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
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|e| SettingsError::Read(path.into(), e))?;
        let value: serde_json::Value =
            jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
                .map_err(|e| SettingsError::Syntax(path.into(), e))?;
        let settings: Self = serde_path_to_error::deserialize(value)
            .map_err(|e| SettingsError::Value(path.into(), e.path().to_string(), e.into_inner()))?;
        settings.check(path)?;
        Ok(settings)
    }

    /// The limits for the whole fleet.
    pub fn limits(&self) -> FleetLimits {
        FleetLimits {
            repeats: RepeatLimit {
                ratio: self.repeat_ratio,
                window: Duration::from_secs_f64(self.repeat_window_s),
                slack: self.repeat_slack,
            },
            session_time: Duration::from_secs_f64(self.session_s),
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

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let range = |why| Err(SettingsError::Range(path.into(), why));
        let times = [
            self.directory_ttl_max_s,
            self.grace_period_s,
            self.session_s,
            self.repeat_window_s,
        ];
        if times.iter().any(|s| !(0.001..1e6).contains(s)) {
            return range("a time is not between 1 ms and 1e6 s");
        }
        if !(0.0..1e6).contains(&self.repeat_ratio) || !(0.0..1e9).contains(&self.repeat_slack) {
            return range("the limit on repeats is out of range");
        }
        if !(0.0..=1.0).contains(&self.exposure) {
            return range("exposure is not between 0 and 1");
        }
        if self.peer_ports.0 > self.peer_ports.1 {
            return range("peer_ports: the first port is after the last");
        }
        Ok(())
    }
}
