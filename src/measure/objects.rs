//! Configuration and upstreams of the scenarios.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use stand_in::{
    engine::{EngineConfig, VersionConfig},
    service::ServiceConfig,
};

use crate::{
    local::upstreams::{LocalUpstreams, UpstreamKind, UpstreamPlan},
    measure::{scenario::Scenario, traffic::CUSTOMERS},
    state::{
        credentials::hash_key,
        objects::{
            Customer, FailureDomain, Model, Objects, Rollout, Rule, Service, ServiceState, Version,
            VersionState,
        },
    },
};

/// The failure domains, with one daemon in each.
pub(super) const DOMAINS: [&str; 3] = ["padana-a", "padana-b", "padana-c"];

/// The best version before any rollout.
pub(super) const BEST_VERSION: &str = "large-1";

/// Returns the best version of a scenario, including the one that is being rolled out.
pub(super) fn best_version(scenario: Scenario) -> &'static str {
    if scenario.has_rollout() {
        ROLLOUT_VERSION
    } else {
        BEST_VERSION
    }
}

/// The version whose rollout replaces [`BEST_VERSION`].
pub(super) const ROLLOUT_VERSION: &str = "large-2";

/// The service that is not a language model.
pub(super) const SERVICE: &str = "timetable";

const ENGINES: usize = 10;
const SERVERS: usize = 3;

/// Number of requests that an engine runs concurrently.
const SLOTS_PER_ENGINE: u32 = 6;

/// Maximum number of served answers of the rolled out version that are not yet rated.
const ROLLOUT_EXPOSURE: u32 = 20;

/// Properties of a version: its configuration and the behaviour of its stand-in.
struct VersionSpec {
    name: &'static str,
    cost: u64,
    skill: f64,
    pace: f64,
    prior_quality: f64,
}

const VERSION_SPECS: [VersionSpec; 3] = [
    VersionSpec {
        name: "small-1",
        cost: 100,
        skill: 0.35,
        pace: 0.6,
        prior_quality: 0.7,
    },
    VersionSpec {
        name: "medium-1",
        cost: 400,
        skill: 0.6,
        pace: 1.0,
        prior_quality: 0.8,
    },
    VersionSpec {
        name: BEST_VERSION,
        cost: 1_000,
        skill: 0.8,
        pace: 1.5,
        prior_quality: 0.9,
    },
];

fn version_specs(scenario: Scenario) -> Vec<VersionSpec> {
    let mut version_specs = Vec::from(VERSION_SPECS);
    if scenario.has_rollout() {
        version_specs.push(VersionSpec {
            name: ROLLOUT_VERSION,
            cost: 1_000,
            skill: 0.82,
            pace: 1.5,
            prior_quality: 0.9,
        });
    }
    version_specs
}

fn version_names(scenario: Scenario) -> Vec<CompactString> {
    version_specs(scenario)
        .iter()
        .map(|g| g.name.into())
        .collect()
}

/// Returns the stand-in upstreams to start.
pub(super) fn upstreams(scenario: Scenario) -> Vec<UpstreamPlan> {
    let engine = |i: usize| UpstreamPlan {
        name: format_compact!("engine-{i:02}"),
        failure_domain: DOMAINS[i % DOMAINS.len()].into(),
        kind: UpstreamKind::Engine(engine(scenario)),
    };
    let server = |i: usize| UpstreamPlan {
        name: format_compact!("server-{i}"),
        failure_domain: DOMAINS[i % DOMAINS.len()].into(),
        kind: UpstreamKind::Service {
            service: SERVICE.into(),
            concurrency: 16,
            cfg: ServiceConfig {
                work: Duration::from_millis(5),
                ..ServiceConfig::default()
            },
        },
    };
    (0..ENGINES)
        .map(engine)
        .chain((0..SERVERS).map(server))
        .collect()
}

fn engine(scenario: Scenario) -> EngineConfig {
    let versions = version_specs(scenario)
        .into_iter()
        .map(|spec| VersionConfig {
            pace: spec.pace,
            ..VersionConfig::new(spec.name, spec.skill)
        });
    EngineConfig {
        first_token: Duration::from_millis(40),
        token: Duration::from_millis(10),
        slots: SLOTS_PER_ENGINE,
        waiting_limit: 64,
        ..EngineConfig::warm(versions)
    }
}

/// Returns the configuration objects for the started upstreams.
pub(super) fn objects(scenario: Scenario, upstreams: &LocalUpstreams) -> Objects {
    let upstreams = upstreams.iter();
    let mut objects = Objects {
        models: [("model".into(), Model::default())].into(),
        upstreams: upstreams
            .map(|(name, upstream)| (name.clone(), upstream.object.clone()))
            .collect(),
        ..Objects::default()
    };
    for domain in DOMAINS {
        let object = FailureDomain {
            region: "padana".into(),
            state: ServiceState::In,
        };
        objects.failure_domains.insert(domain.into(), object);
    }
    for spec in version_specs(scenario) {
        objects.versions.insert(spec.name.into(), version(&spec));
    }
    let rules = [
        ("answer", 0.55, 9),
        ("draft", 0.7, 3),
        ("summary", 0.6, 3),
        ("redraw", 0.7, 0),
        ("notice", 0.5, 9),
    ];
    for (name, quality, priority) in rules {
        let rule = Rule {
            versions: version_names(scenario),
            quality,
            priority,
            deadline_ms: 10_000,
        };
        objects.rules.insert(name.into(), rule);
    }
    for name in CUSTOMERS {
        let customer = customer(scenario, name, &objects);
        objects.customers.insert(name.into(), customer);
    }
    let service = Service {
        non_idempotent: Vec::new(),
        deadline_ms: 3_000,
        priority: 5,
    };
    objects.services.insert(SERVICE.into(), service);
    objects
}

fn version(spec: &VersionSpec) -> Version {
    let rollout = (spec.name == ROLLOUT_VERSION).then(|| Rollout {
        replaces: BEST_VERSION.into(),
        exposure: ROLLOUT_EXPOSURE,
    });
    Version {
        model: "model".into(),
        state: VersionState::Enabled,
        cost: spec.cost,
        prior_quality: spec.prior_quality,
        rollout,
    }
}

fn customer(scenario: Scenario, name: &str, objects: &Objects) -> Customer {
    Customer {
        keys: vec![hash_key(name)],
        versions: version_names(scenario),
        rules: objects.rules.keys().cloned().collect(),
        services: vec![SERVICE.into()],
        weight: 1,
        queue: 256,
    }
}
