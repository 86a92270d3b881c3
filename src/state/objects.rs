//! The named configuration objects, which refer to one another by name.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The name of a customer.
pub type CustomerName = CompactString;
/// The name of a model.
pub type ModelName = CompactString;
/// The name of a version of a model.
pub type VersionName = CompactString;
/// The name of a failure domain.
pub type DomainName = CompactString;
/// The name of a region.
pub type RegionName = CompactString;
/// The name of a rule, which callers send as `model`.
pub type RuleName = CompactString;
/// The name of an upstream.
pub type UpstreamName = CompactString;
/// The name of a plain service.
pub type ServiceName = CompactString;
/// The name of an operator.
pub type OperatorName = CompactString;
/// The lowercase hexadecimal SHA-256 of a bearer key.
pub type KeyHash = CompactString;
/// Cost in millionths of the accounting currency for each thousand tokens generated.
pub type MicroCost = u64;

/// An organisation's unit that sends requests and is billed for them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The hashes of its bearer keys.
    pub keys: Vec<KeyHash>,
    /// The versions on which its requests may run.
    pub versions: Vec<VersionName>,
    /// The rules it may name.
    pub rules: Vec<RuleName>,
    /// The plain services it may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Its share of a full fleet, relative to the other customers' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The greatest number of its requests queued at one daemon.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_queue() -> u32 {
    256
}

/// A family of versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// What operators say of it.
    #[serde(default)]
    pub description: String,
}

/// Whether a version takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum VersionState {
    /// It takes all work.
    #[default]
    Enabled,
    /// It takes the requests of its own sessions only.
    Draining,
    /// It takes no work at all.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model.
    pub model: ModelName,
    /// Whether it takes work.
    #[serde(default)]
    pub state: VersionState,
    /// What a thousand generated tokens cost.
    pub cost: MicroCost,
    /// The quality expected before any rating is known, from 0 to 1.
    pub prior_quality: f64,
    /// Set while the version is being rolled out in place of another.
    #[serde(default)]
    pub rollout: Option<Rollout>,
}

/// A roll-out of a new version beside an old one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version that it is compared with and replaces.
    pub replaces: VersionName,
    /// The greatest number of its answers that may be served and not yet rated, over the whole fleet.
    pub exposure: u32,
}

/// Whether a failure domain or an upstream takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ServiceState {
    /// In service.
    #[default]
    In,
    /// Taken out by an operator.
    Out,
}

/// A part of a region that fails or is taken out as one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Its region.
    pub region: RegionName,
    /// Whether it takes work.
    #[serde(default)]
    pub state: ServiceState,
}

/// What callers name as `model`: versions that may answer and the quality that is good enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The versions that may answer.
    pub versions: Vec<VersionName>,
    /// The rating that is good enough, from 0 to 1.
    pub quality: f64,
    /// The priority; larger goes first.
    #[serde(default)]
    pub priority: u8,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
}

/// What an upstream offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Offer {
    /// A model engine.
    Engine {
        /// The versions it may run.
        versions: Vec<VersionName>,
        /// The requests it bears at once when warm.
        warm: u32,
        /// The requests it bears at once when cold.
        cold: u32,
        /// Whether it refuses an order with an old fencing number.
        #[serde(default)]
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The requests it bears at once.
        concurrency: u32,
    },
}

/// One back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Where it serves.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Whether it takes work.
    #[serde(default)]
    pub state: ServiceState,
    /// What it offers.
    pub offer: Offer,
}

/// An operation of a plain service that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in capitals.
    pub method: CompactString,
    /// The path prefix, without a leading slash.
    pub path: CompactString,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The operations that may run at most once; all others are idempotent.
    #[serde(default)]
    pub non_idempotent: Vec<Operation>,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// The priority; larger goes first.
    #[serde(default)]
    pub priority: u8,
}

/// A person or program that may change the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The hashes of its bearer keys.
    pub keys: Vec<KeyHash>,
}

/// A key with which session tokens are signed and checked.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionKey {
    /// The key, 32 bytes in hexadecimal.
    pub secret: CompactString,
}

impl std::fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SessionKey(..)")
    }
}

/// The whole set of objects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objects {
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, Customer>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Versions by name.
    pub versions: BTreeMap<VersionName, Version>,
    /// Failure domains by name.
    pub failure_domains: BTreeMap<DomainName, FailureDomain>,
    /// Rules by name.
    pub rules: BTreeMap<RuleName, Rule>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Operators by name.
    pub operators: BTreeMap<OperatorName, Operator>,
    /// Session keys by name; the last by name signs, all check.
    pub session_keys: BTreeMap<CompactString, SessionKey>,
}
