//! The platform's instance list, which lags behind the truth.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path of the list, read with `GET`.
pub const PATH: &str = "/instances";

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A daemon of the router.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance has been told to leave.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name: a daemon's name or an upstream's name.
    pub name: CompactString,
    /// What runs there.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// The address at which it serves: for a daemon its peer address.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// The answer to a read of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// All instances, in no particular order.
    pub instances: Vec<Instance>,
}
