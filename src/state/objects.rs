//! The configuration objects, which refer to each other by name.

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
/// The name of a rule, which callers send in the `model` field.
pub type RuleName = CompactString;
/// The name of an upstream.
pub type UpstreamName = CompactString;
/// The name of a plain service.
pub type ServiceName = CompactString;
/// The name of an operator.
pub type OperatorName = CompactString;
/// The lowercase hexadecimal SHA-256 of a bearer key.
pub type KeyHash = CompactString;
/// Cost per thousand generated tokens, in millionths of the accounting currency.
pub type MicroCost = u64;

/// An organizational unit that sends requests and is billed for them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The hashes of its bearer keys.
    pub keys: Vec<KeyHash>,
    /// The versions that its requests may use.
    pub versions: Vec<VersionName>,
    /// The rules that its requests may name.
    pub rules: Vec<RuleName>,
    /// The plain services it may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Its share of the capacity when the fleet is full, relative to the weights of other
    /// customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of its requests queued at one daemon.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_queue() -> u32 {
    256
}

/// A model, which has one or more versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// A description by the operators.
    #[serde(default)]
    pub description: String,
}

/// Whether a version accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum VersionState {
    /// Accepts all requests.
    #[default]
    Enabled,
    /// Accepts only requests of existing sessions.
    Draining,
    /// Accepts no requests.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model it belongs to.
    pub model: ModelName,
    /// Whether it accepts requests.
    #[serde(default)]
    pub state: VersionState,
    /// Cost per thousand generated tokens.
    pub cost: MicroCost,
    /// The expected quality before any answer has been rated, from 0 to 1.
    pub prior_quality: f64,
    /// Set while the version is being rolled out to replace another.
    #[serde(default)]
    pub rollout: Option<Rollout>,
}

/// The rollout of a new version alongside an old one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version that the new one is compared with and replaces.
    pub replaces: VersionName,
    /// Maximum number of served answers of the new version that are not yet rated, fleet-wide.
    pub exposure: u32,
}

/// Whether a failure domain or an upstream is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ServiceState {
    /// In service.
    #[default]
    In,
    /// Taken out of service by an operator.
    Out,
}

/// A part of a region that fails, or is taken out of service, as a unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Its region.
    pub region: RegionName,
    /// Whether it accepts requests.
    #[serde(default)]
    pub state: ServiceState,
}

/// A routing rule, which callers name as `model`: the versions that may answer and the required
/// quality.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The versions that may answer.
    pub versions: Vec<VersionName>,
    /// The minimum acceptable rating, from 0 to 1.
    pub quality: f64,
    /// The priority; higher values are served first.
    #[serde(default)]
    pub priority: u8,
    /// Default deadline of requests, in milliseconds.
    pub deadline_ms: u64,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Offer {
    /// A model engine.
    Engine {
        /// The versions that the engine may run.
        versions: Vec<VersionName>,
        /// Concurrency limit when warm.
        warm: u32,
        /// Concurrency limit when cold.
        cold: u32,
        /// Whether the engine refuses orders with an outdated fencing number.
        #[serde(default)]
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// Concurrency limit.
        concurrency: u32,
    },
}

/// A backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Whether it accepts requests.
    #[serde(default)]
    pub state: ServiceState,
    /// What it serves.
    pub offer: Offer,
}

/// An operation of a plain service that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in uppercase.
    pub method: CompactString,
    /// The path prefix, without a leading slash.
    pub path: CompactString,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The operations that must run at most once; all others are idempotent.
    #[serde(default)]
    pub non_idempotent: Vec<Operation>,
    /// Default deadline of requests, in milliseconds.
    pub deadline_ms: u64,
    /// The priority; higher values are served first.
    #[serde(default)]
    pub priority: u8,
}

/// A person or program authorized to change the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The hashes of its bearer keys.
    pub keys: Vec<KeyHash>,
}

/// A key that signs and verifies session tokens.
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

/// The complete set of configuration objects.
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
    /// Session keys by name; the last one in name order signs, and all of them verify.
    pub session_keys: BTreeMap<CompactString, SessionKey>,
}
