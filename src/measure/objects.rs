//! The configuration and the upstreams of all scenarios.

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

/// The failure domains, one daemon in each.
pub(super) const DOMAINS: [&str; 3] = ["padana-a", "padana-b", "padana-c"];

/// The best version in use before any roll-out.
pub(super) const BEST: &str = "large-1";

/// The best version of a scenario, the one that is rolled out included.
pub(super) fn best(scenario: Scenario) -> &'static str {
    if scenario.has_roll_out() {
        ROLLED_OUT
    } else {
        BEST
    }
}

/// The version that is rolled out in place of the best.
pub(super) const ROLLED_OUT: &str = "large-2";

/// The plain service.
pub(super) const SERVICE: &str = "timetable";

const ENGINES: usize = 10;
const SERVERS: usize = 3;

/// The requests that an engine runs at once.
const SLOTS: u32 = 6;

/// The greatest number of answers of the roll-out that are unrated.
const EXPOSURE: u32 = 20;

struct Grade {
    name: &'static str,
    cost: u64,
    skill: f64,
    pace: f64,
    prior_quality: f64,
}

const GRADES: [Grade; 3] = [
    Grade {
        name: "small-1",
        cost: 100,
        skill: 0.35,
        pace: 0.6,
        prior_quality: 0.7,
    },
    Grade {
        name: "medium-1",
        cost: 400,
        skill: 0.6,
        pace: 1.0,
        prior_quality: 0.8,
    },
    Grade {
        name: BEST,
        cost: 1_000,
        skill: 0.8,
        pace: 1.5,
        prior_quality: 0.9,
    },
];

fn grades(scenario: Scenario) -> Vec<Grade> {
    let mut grades = Vec::from(GRADES);
    if scenario.has_roll_out() {
        grades.push(Grade {
            name: ROLLED_OUT,
            cost: 1_000,
            skill: 0.82,
            pace: 1.5,
            prior_quality: 0.9,
        });
    }
    grades
}

fn names(scenario: Scenario) -> Vec<CompactString> {
    grades(scenario).iter().map(|g| g.name.into()).collect()
}

/// The upstreams.
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
    let versions = grades(scenario).into_iter().map(|grade| VersionConfig {
        pace: grade.pace,
        ..VersionConfig::new(grade.name, grade.skill)
    });
    EngineConfig {
        first_token: Duration::from_millis(40),
        token: Duration::from_millis(10),
        slots: SLOTS,
        waiting_limit: 64,
        ..EngineConfig::warm(versions)
    }
}

/// The objects, naming the upstreams as they were started.
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
    for grade in grades(scenario) {
        objects.versions.insert(grade.name.into(), version(&grade));
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
            versions: names(scenario),
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

fn version(grade: &Grade) -> Version {
    let rollout = (grade.name == ROLLED_OUT).then(|| Rollout {
        replaces: BEST.into(),
        exposure: EXPOSURE,
    });
    Version {
        model: "model".into(),
        state: VersionState::Enabled,
        cost: grade.cost,
        prior_quality: grade.prior_quality,
        rollout,
    }
}

fn customer(scenario: Scenario, name: &str, objects: &Objects) -> Customer {
    Customer {
        keys: vec![hash_key(name)],
        versions: names(scenario),
        rules: objects.rules.keys().cloned().collect(),
        services: vec![SERVICE.into()],
        weight: 1,
        queue: 256,
    }
}
