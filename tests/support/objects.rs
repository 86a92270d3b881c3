//! Configuration objects for the tests.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;
use hibiscusyoke::state::objects::{
    Customer, FailureDomain, Model, Objects, Offer, Operation, Operator, Rule, Service,
    ServiceState, SessionKey, Upstream, Version, VersionState,
};
use sha2::{Digest, Sha256};

pub const DOMAINS: [&str; 3] = ["padana-a", "padana-b", "padana-c"];
/// The model version that all engines serve.
pub const VERSION: &str = "draft-1";
/// Skill of [`VERSION`] in the stand-in engines.
pub const SKILL: f64 = 0.7;
/// The rule that selects [`VERSION`].
pub const RULE: &str = "draft";
/// The service, whose `POST book` is not idempotent.
pub const SERVICE: &str = "registry";
/// The customer's bearer key.
pub const CUSTOMER_KEY: &str = "clerk";
/// The operator's bearer key.
pub const OPERATOR_KEY: &str = "operator";
/// Default deadline of requests, in milliseconds.
pub const DEADLINE_MS: u64 = 20_000;

/// Description of an upstream in a test.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    pub name: CompactString,
    pub failure_domain: CompactString,
    /// Address published to the daemons.
    pub address: SocketAddr,
    /// The offer published to the daemons.
    pub offer: Offer,
}

/// Returns an engine's offer of [`VERSION`].
pub fn engine_offer(warm: u32, cold: u32) -> Offer {
    Offer::Engine {
        versions: vec![VERSION.into()],
        warm,
        cold,
        fenced: true,
    }
}

/// Returns the offer of a replica of [`SERVICE`].
pub fn service_offer() -> Offer {
    Offer::Service {
        service: SERVICE.into(),
        concurrency: 16,
    }
}

/// Returns a full configuration: one customer, one version, one rule, one service and `upstreams`.
pub fn objects(upstreams: &[UpstreamPlan]) -> Objects {
    Objects {
        customers: single_entry("clerks", customer()),
        models: single_entry("draft", Model::default()),
        versions: single_entry(VERSION, version()),
        failure_domains: DOMAINS.iter().map(|d| ((*d).into(), domain())).collect(),
        rules: single_entry(RULE, rule()),
        services: single_entry(SERVICE, service()),
        upstreams: upstreams.iter().map(upstream).collect(),
        operators: single_entry("night", operator()),
        session_keys: single_entry("2026", session_key()),
    }
}

/// Returns the hash of a bearer key, in the form that the configuration uses.
pub fn key_hash(key: &str) -> CompactString {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn customer() -> Customer {
    Customer {
        keys: vec![key_hash(CUSTOMER_KEY)],
        versions: vec![VERSION.into()],
        rules: vec![RULE.into()],
        services: vec![SERVICE.into()],
        weight: 1,
        queue: 256,
    }
}

fn version() -> Version {
    Version {
        model: "draft".into(),
        state: VersionState::Enabled,
        cost: 100,
        prior_quality: 0.9,
        rollout: None,
    }
}

fn domain() -> FailureDomain {
    FailureDomain {
        region: "padana".into(),
        state: ServiceState::In,
    }
}

fn rule() -> Rule {
    Rule {
        versions: vec![VERSION.into()],
        quality: 0.5,
        priority: 0,
        deadline_ms: DEADLINE_MS,
    }
}

fn service() -> Service {
    Service {
        non_idempotent: vec![Operation {
            method: "POST".into(),
            path: "book".into(),
        }],
        deadline_ms: DEADLINE_MS,
        priority: 0,
    }
}

fn upstream(plan: &UpstreamPlan) -> (CompactString, Upstream) {
    let upstream = Upstream {
        address: plan.address,
        failure_domain: plan.failure_domain.clone(),
        state: ServiceState::In,
        offer: plan.offer.clone(),
    };
    (plan.name.clone(), upstream)
}

fn operator() -> Operator {
    Operator {
        keys: vec![key_hash(OPERATOR_KEY)],
    }
}

fn session_key() -> SessionKey {
    SessionKey {
        secret: "30".repeat(32).into(),
    }
}

fn single_entry<T>(name: &str, object: T) -> BTreeMap<CompactString, T> {
    BTreeMap::from([(name.into(), object)])
}
