//! The platform's instance list, which lags behind the actual state.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path that returns [`Instances`] for `GET`.
pub const PATH: &str = "/instances";

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A daemon of the router.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether an instance is in service or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance has been ordered to shut down.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the daemon or upstream that runs on the instance.
    pub name: CompactString,
    /// Role of the instance.
    pub role: Role,
    /// Failure domain of the instance.
    pub failure_domain: CompactString,
    /// Address of the instance; for a daemon, its address for peers.
    pub address: SocketAddr,
    /// Whether the instance is in service or leaving.
    pub state: InstanceState,
}

/// The instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// All instances, in no particular order.
    pub instances: Vec<Instance>,
}
