//! Configuration and upstreams of the demo.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use stand_in::{
    engine::{EngineConfig, VersionConfig},
    service::ServiceConfig,
};

use crate::{
    local::upstreams::{LocalUpstreams, UpstreamKind, UpstreamPlan},
    state::{
        credentials::hash_key,
        objects::{
            Customer, FailureDomain, Model, Objects, Operation, Rule, Service, ServiceState,
            SessionKey, Version, VersionState,
        },
    },
};

/// Key of the customer that may use all rules.
pub(super) const CLERKS_KEY: &str = "demo-clerks";
/// Key of the customer that may use only the rule `draft`.
pub(super) const HAULIERS_KEY: &str = "demo-hauliers";
/// Failure domains, with one daemon in each.
pub(super) const DOMAINS: [&str; 3] = ["padana-a", "padana-b", "padana-c"];

/// Returns an engine in each failure domain and a registry replica in each of the first two.
pub(super) fn upstream_plans() -> Vec<UpstreamPlan> {
    let mut plans = Vec::new();
    for (index, domain) in DOMAINS.iter().enumerate() {
        plans.push(UpstreamPlan {
            name: format!("engine-{}", index + 1).into(),
            failure_domain: (*domain).into(),
            kind: UpstreamKind::Engine(engine()),
        });
    }
    for (index, domain) in DOMAINS.iter().take(2).enumerate() {
        plans.push(UpstreamPlan {
            name: format!("registry-{}", index + 1).into(),
            failure_domain: (*domain).into(),
            kind: UpstreamKind::Service {
                service: "intake".into(),
                concurrency: 16,
                cfg: ServiceConfig::default(),
            },
        });
    }
    plans
}

fn engine() -> EngineConfig {
    let versions = [
        VersionConfig::new("bales-small-1", 0.35),
        VersionConfig::new("bales-large-1", 0.75),
    ];
    EngineConfig {
        token: Duration::from_millis(2),
        ..EngineConfig::warm(versions)
    }
}

/// Returns the configuration objects, including the started upstreams.
pub(super) fn objects(upstreams: &LocalUpstreams) -> Objects {
    let upstreams = upstreams
        .iter()
        .map(|(name, upstream)| (name.clone(), upstream.object.clone()));
    Objects {
        customers: BTreeMap::from([
            ("clerks".into(), customer(CLERKS_KEY, &["draft", "gate"])),
            ("hauliers".into(), customer(HAULIERS_KEY, &["draft"])),
        ]),
        models: BTreeMap::from([
            ("bales-small".into(), Model::default()),
            ("bales-large".into(), Model::default()),
        ]),
        versions: BTreeMap::from([
            ("bales-small-1".into(), version("bales-small", 100, 0.7)),
            ("bales-large-1".into(), version("bales-large", 1_000, 0.95)),
        ]),
        failure_domains: DOMAINS.iter().map(|d| ((*d).into(), domain())).collect(),
        rules: BTreeMap::from([
            ("draft".into(), rule(0.7, 0, 20_000)),
            ("gate".into(), rule(0.6, 5, 5_000)),
        ]),
        services: BTreeMap::from([("intake".into(), intake())]),
        upstreams: upstreams.collect(),
        operators: BTreeMap::new(),
        session_keys: BTreeMap::from([(
            "2026".into(),
            SessionKey {
                secret: "64656d6f2073657373696f6e206b6579206f6620333220627974657321212121".into(),
            },
        )]),
    }
}

fn customer(key: &str, rules: &[&str]) -> Customer {
    Customer {
        keys: vec![hash_key(key)],
        versions: vec!["bales-small-1".into(), "bales-large-1".into()],
        rules: names(rules),
        services: names(&["intake"]),
        weight: 1,
        queue: 64,
    }
}

fn version(model: &str, cost: u64, prior_quality: f64) -> Version {
    Version {
        model: model.into(),
        state: VersionState::Enabled,
        cost,
        prior_quality,
        rollout: None,
    }
}

fn domain() -> FailureDomain {
    FailureDomain {
        region: "padana".into(),
        state: ServiceState::In,
    }
}

fn rule(quality: f64, priority: u8, deadline_ms: u64) -> Rule {
    Rule {
        versions: names(&["bales-small-1", "bales-large-1"]),
        quality,
        priority,
        deadline_ms,
    }
}

fn intake() -> Service {
    Service {
        non_idempotent: vec![Operation {
            method: "POST".into(),
            path: "bookings".into(),
        }],
        deadline_ms: 5_000,
        priority: 0,
    }
}

fn names(names: &[&str]) -> Vec<CompactString> {
    names.iter().map(|n| (*n).into()).collect()
}
