//! Settings of a daemon, read from a JSON file with comments.

use std::{net::SocketAddr, path::Path};

use compact_str::CompactString;
use serde::Deserialize;

use crate::{
    budgets::{Budgets, MIN_OPEN_FILES},
    state::{
        document::{Document, DocumentError},
        names::{NAME_REQUIREMENT, is_hex, is_key_hash, is_valid_name},
        objects::{DomainName, KeyHash},
    },
};

/// Minimum length of the fleet key, in hexadecimal digits.
const MIN_FLEET_KEY_DIGITS: usize = 32;

/// Maximum time for which a leaving daemon continues to serve requests.
const MAX_KEEP_SECONDS: u64 = 600;

/// Settings that a daemon needs to start and join the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub name: CompactString,
    /// The failure domain of the daemon.
    pub failure_domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers: TCP for calls, UDP for membership.
    pub peers: SocketAddr,
    /// Address for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Secret key shared by all daemons of the fleet, in hexadecimal.
    pub fleet_key: CompactString,
    /// How long callers may use an address after a locate response, in seconds. A leaving daemon
    /// continues to serve for this time.
    #[serde(default = "default_keep_seconds")]
    pub keep_seconds: u64,
    /// Memory of the instance in MB; absent if it is not limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Number of descriptors that the process may open; absent if it is not limited.
    #[serde(default)]
    pub max_open_files: Option<u32>,
    /// Hash of a key that may publish while the configuration has no operator.
    #[serde(default)]
    pub bootstrap_operator: Option<KeyHash>,
}

fn default_keep_seconds() -> u64 {
    10
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The instance list.
    pub instances: SocketAddr,
    /// The service that rates answers, if any.
    #[serde(default)]
    pub rating: Option<SocketAddr>,
    /// The weight store, if any.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self, DocumentError> {
        Self::read(&Document::open(path)?)
    }

    /// Returns how the instance's memory and descriptors are shared out.
    pub fn budgets(&self) -> Budgets {
        Budgets::new(self.memory_mb, self.max_open_files)
    }

    /// Parses and validates settings from a document in memory.
    pub fn read(document: &Document) -> Result<Self, DocumentError> {
        let settings: Self = document.parse()?;
        match settings.find_invalid_value() {
            Some(value) => Err(document.error_at_key(value.key, value.reason)),
            None => Ok(settings),
        }
    }

    fn find_invalid_value(&self) -> Option<InvalidValue> {
        self.invalid_text()
            .or_else(|| self.invalid_address())
            .or_else(|| self.shared_address())
    }

    fn invalid_text(&self) -> Option<InvalidValue> {
        if !is_valid_name(&self.name) {
            return InvalidValue::at_key(&["name"], NAME_REQUIREMENT);
        }
        if !is_valid_name(&self.failure_domain) {
            return InvalidValue::at_key(&["failure_domain"], NAME_REQUIREMENT);
        }
        if !is_hex(&self.fleet_key) || self.fleet_key.len() < MIN_FLEET_KEY_DIGITS {
            return InvalidValue::at_key(
                &["fleet_key"],
                "must be 32 or more hexadecimal digits, an even number",
            );
        }
        if self.memory_mb.is_some_and(|mb| !(1.0..1e7).contains(&mb)) {
            return InvalidValue::at_key(&["memory_mb"], "must be between 1 and 1e7");
        }
        if self.max_open_files.is_some_and(|n| n < MIN_OPEN_FILES) {
            return InvalidValue::at_key(&["max_open_files"], "must be at least 256");
        }
        if self.keep_seconds > MAX_KEEP_SECONDS {
            return InvalidValue::at_key(&["keep_seconds"], "must be at most 600");
        }
        if self
            .bootstrap_operator
            .as_ref()
            .is_some_and(|hash| !is_key_hash(hash))
        {
            return InvalidValue::at_key(
                &["bootstrap_operator"],
                "must be the SHA-256 of a key, 64 lowercase hexadecimal digits",
            );
        }
        None
    }

    fn invalid_address(&self) -> Option<InvalidValue> {
        let platform = &self.platform;
        let addresses: [(&'static [&'static str], Option<SocketAddr>); 8] = [
            (&["callers"], Some(self.callers)),
            (&["peers"], Some(self.peers)),
            (&["operators"], Some(self.operators)),
            (&["platform", "table"], Some(platform.table)),
            (&["platform", "objects"], Some(platform.objects)),
            (&["platform", "instances"], Some(platform.instances)),
            (&["platform", "rating"], platform.rating),
            (&["platform", "weights"], platform.weights),
        ];
        addresses.into_iter().find_map(|(key, address)| {
            let address = address?;
            if address.port() == 0 {
                return InvalidValue::at_key(key, "must name a port other than 0");
            }
            if address.ip().is_unspecified() || address.ip().is_multicast() {
                return InvalidValue::at_key(
                    key,
                    "must be a unicast address that other processes can connect to",
                );
            }
            None
        })
    }

    fn shared_address(&self) -> Option<InvalidValue> {
        if self.peers == self.callers {
            return InvalidValue::at_key(&["peers"], "is the same address as callers");
        }
        if self.operators == self.callers {
            return InvalidValue::at_key(&["operators"], "is the same address as callers");
        }
        if self.operators == self.peers {
            return InvalidValue::at_key(&["operators"], "is the same address as peers");
        }
        None
    }
}

/// A value of the right type that a daemon cannot run with.
struct InvalidValue {
    key: &'static [&'static str],
    reason: &'static str,
}

impl InvalidValue {
    fn at_key(key: &'static [&'static str], reason: &'static str) -> Option<Self> {
        Some(Self { key, reason })
    }
}
