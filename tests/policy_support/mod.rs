//! Small configurations, requests and daemons for the tests of routing and rollouts.

#![allow(dead_code, unreachable_pub)]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bolero::generator::bolero_generator::{
    TypeGenerator, ValueGenerator,
    driver::{Options, Rng},
    produce,
};
use compact_str::{CompactString, format_compact};
use hibiscusyoke::{
    coordination::{
        membership::DaemonName,
        quality::{Quality, RequestClass, Subject},
        rollout::{Fleet, Trials},
        routing::{Choice, NoRoute, RouteRequest, Router, Views},
    },
    state::{
        objects::{
            Customer, FailureDomain, Objects, Offer, Rollout, Rule, ServiceState, Upstream,
            Version, VersionState,
        },
        snapshot::Snapshot,
    },
};
use rand::SeedableRng;
use rand_xoshiro::Xoroshiro128PlusPlus;

pub mod fleet;

/// Generates a value from a seed; each call uses a new driver, because a driver's bytes run out.
pub fn generate<T: TypeGenerator>(seed: u64) -> T {
    let rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
    let mut driver = Rng::new(rng, &Options::default());
    produce::<T>().generate(&mut driver).expect("enough bytes")
}

/// The cheap and the expensive version of the small configuration.
pub const CHEAP: &str = "cheap";
pub const EXPENSIVE: &str = "expensive";

pub fn version(cost: u64, prior_quality: f64) -> Version {
    Version {
        model: "model".into(),
        state: VersionState::Enabled,
        cost,
        prior_quality,
        rollout: None,
    }
}

pub fn rollout_version(cost: u64, replaces: &str, exposure: u32) -> Version {
    Version {
        rollout: Some(Rollout {
            replaces: replaces.into(),
            exposure,
        }),
        ..version(cost, 0.8)
    }
}

pub fn rule(versions: &[&str], quality: f64) -> Rule {
    Rule {
        versions: versions.iter().map(|v| (*v).into()).collect(),
        quality,
        priority: 0,
        deadline_ms: 10_000,
    }
}

pub fn customer(versions: &[&str]) -> Customer {
    Customer {
        keys: Vec::new(),
        versions: versions.iter().map(|v| (*v).into()).collect(),
        rules: vec!["rule".into()],
        services: Vec::new(),
        weight: 1,
        queue: 256,
    }
}

pub fn engine(number: usize, domain: &str, versions: &[CompactString]) -> Upstream {
    let port = 10_000 + u16::try_from(number).expect("few engines");
    Upstream {
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: domain.into(),
        state: ServiceState::In,
        offer: Offer::Engine {
            versions: versions.to_vec(),
            warm: 8,
            cold: 2,
            fenced: false,
        },
    }
}

/// Creates a configuration with one rule and one customer that may use all versions.
pub fn objects(versions: &[(&str, Version)], engines: usize, domains: usize) -> Objects {
    let names: Vec<&str> = versions.iter().map(|(name, _)| *name).collect();
    let mut objects = Objects::default();
    objects.customers.insert("gate".into(), customer(&names));
    objects.rules.insert("rule".into(), rule(&names, 0.7));
    for (name, version) in versions {
        objects.versions.insert((*name).into(), version.clone());
    }
    for domain in 0..domains {
        let name = format_compact!("domain-{domain}");
        let domain = FailureDomain {
            region: "region".into(),
            state: ServiceState::In,
        };
        objects.failure_domains.insert(name, domain);
    }
    let names: Vec<CompactString> = names.iter().map(|name| (*name).into()).collect();
    for number in 0..engines {
        let domain = format!("domain-{}", number % domains);
        let name = format_compact!("engine-{number}");
        objects
            .upstreams
            .insert(name, engine(number, &domain, &names));
    }
    objects
}

/// Creates a configuration of the cheap and the expensive version on ten engines in three failure
/// domains.
pub fn small_objects() -> Objects {
    let versions = [(CHEAP, version(10, 0.7)), (EXPENSIVE, version(100, 0.95))];
    objects(&versions, 10, 3)
}

pub fn request(id: &str) -> RouteRequest {
    RouteRequest {
        request_id: id.into(),
        customer: "gate".into(),
        rule: "rule".into(),
        class: RequestClass::Brief,
        session: None,
        streamed: false,
        deadline: Instant::now() + Duration::from_secs(3_600),
        tried: Vec::new(),
        excluded: Vec::new(),
        affinity: None,
        solo: false,
    }
}

pub fn subject(version: &str) -> Subject {
    Subject {
        rule: "rule".into(),
        version: version.into(),
        class: RequestClass::Brief,
    }
}

pub fn names(count: usize) -> Arc<[DaemonName]> {
    (0..count)
        .map(|i| format_compact!("entry-{i:03}"))
        .collect()
}

/// The decision logic of one daemon, without network I/O.
pub struct Daemon {
    pub name: DaemonName,
    pub members: Arc<[DaemonName]>,
    pub snapshot: Snapshot,
    pub router: Router,
    pub quality: Quality,
    pub trials: Trials,
    pub rating: Option<Duration>,
}

impl Daemon {
    pub fn new(index: usize, fleet: usize, objects: Objects, seed: u64) -> Self {
        let members = names(fleet);
        let name = members[index].clone();
        let domain = format_compact!("domain-{}", index % objects.failure_domains.len());
        let mut daemon = Self {
            router: Router::new(name.clone(), domain, seed),
            name,
            members,
            snapshot: Snapshot::new(1, objects),
            quality: Quality::default(),
            trials: Trials::default(),
            rating: Some(Duration::from_millis(10)),
        };
        daemon.trials.set_verdicts_loaded();
        daemon.refresh(Instant::now());
        daemon
    }

    /// Applies a changed configuration as a new generation.
    pub fn publish(&mut self, now: Instant, change: impl FnOnce(&mut Objects)) {
        let mut objects = self.snapshot.objects.clone();
        change(&mut objects);
        self.snapshot = Snapshot::new(self.snapshot.generation + 1, objects);
        self.refresh(now);
    }

    pub fn refresh(&mut self, now: Instant) {
        self.router.refresh(&self.snapshot, &self.members);
        let fleet = Fleet {
            own: &self.name,
            members: &self.members,
            epoch: 0,
        };
        self.trials.refresh(now, &self.snapshot, fleet);
    }

    pub fn choose(&mut self, now: Instant, req: &RouteRequest) -> Result<Choice, NoRoute> {
        self.choose_with(now, req, &|_| u32::MAX)
    }

    pub fn choose_with(
        &mut self,
        now: Instant,
        req: &RouteRequest,
        available: &dyn Fn(&str) -> u32,
    ) -> Result<Choice, NoRoute> {
        let views = Views {
            available,
            quality: &self.quality,
            trials: &self.trials,
            rating: self.rating,
        };
        self.router.choose(now, &self.snapshot, req, &views)
    }
}
