//! The settings of one daemon, read from a JSON file with comments.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;

use crate::state::objects::{DomainName, KeyHash};

/// Everything a daemon has to be told before it can meet the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub name: CompactString,
    /// The failure domain in which it runs.
    pub failure_domain: DomainName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect, over TCP for calls and UDP for membership.
    pub peers: SocketAddr,
    /// Where operators connect, and metrics and health are read.
    pub operators: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// The key that all daemons of the fleet share, in hexadecimal.
    pub fleet_key: CompactString,
    /// The hash of a key that may publish while no configuration names an operator.
    #[serde(default)]
    pub bootstrap_operator: Option<KeyHash>,
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
    /// The service that rates answers, if there is one.
    #[serde(default)]
    pub rating: Option<SocketAddr>,
    /// The weight store, if there is one.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
}
