//! Benchmarks one routing decision in a fleet of today's size and in a large fleet.

use std::{
    fs,
    hint::black_box,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::{CompactString, format_compact};
use criterion::{Criterion, criterion_group, criterion_main};
use hibiscusyoke::{
    coordination::{
        membership::DaemonName,
        quality::{Quality, RequestClass},
        rollout::{Fleet, Trials},
        routing::{Outcome, RouteRequest, Router, Views},
    },
    state::{
        objects::{
            Customer, FailureDomain, Objects, Offer, Rule, ServiceState, Upstream, Version,
            VersionState,
        },
        snapshot::Snapshot,
    },
};

/// Size of a fleet and its configuration.
struct Size {
    name: &'static str,
    daemons: usize,
    replicas: usize,
    versions: usize,
    domains: usize,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        daemons: 8,
        replicas: 10,
        versions: 3,
        domains: 3,
    },
    Size {
        name: "large",
        daemons: 340,
        replicas: 1_800,
        versions: 14,
        domains: 13,
    },
];

fn objects(size: &Size) -> Objects {
    let versions: Vec<CompactString> = (0..size.versions)
        .map(|i| format_compact!("version-{i:02}"))
        .collect();
    let mut objects = Objects::default();
    for (i, name) in versions.iter().enumerate() {
        let version = Version {
            model: "model".into(),
            state: VersionState::Enabled,
            cost: 10 * (i as u64 + 1),
            prior_quality: 0.6 + 0.3 * i as f64 / size.versions as f64,
            rollout: None,
        };
        objects.versions.insert(name.clone(), version);
    }
    for i in 0..size.domains {
        let domain = FailureDomain {
            region: "region".into(),
            state: ServiceState::In,
        };
        objects
            .failure_domains
            .insert(format_compact!("domain-{i:02}"), domain);
    }
    let replicas_per_version = size.replicas.div_ceil(size.versions);
    for i in 0..size.replicas {
        let own = if size.replicas < 20 {
            versions.clone()
        } else {
            vec![versions[i / replicas_per_version].clone()]
        };
        let upstream = Upstream {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1_024 + i as u16),
            failure_domain: format_compact!("domain-{:02}", i % size.domains),
            state: ServiceState::In,
            offer: Offer::Engine {
                versions: own,
                warm: 16,
                cold: 2,
                fenced: false,
            },
        };
        objects
            .upstreams
            .insert(format_compact!("engine-{i:04}"), upstream);
    }
    let customer = Customer {
        keys: Vec::new(),
        versions: versions.clone(),
        rules: vec!["rule".into()],
        services: Vec::new(),
        weight: 1,
        queue: 256,
    };
    objects.customers.insert("customer".into(), customer);
    let rule = Rule {
        versions,
        quality: 0.7,
        priority: 0,
        deadline_ms: 10_000,
    };
    objects.rules.insert("rule".into(), rule);
    objects
}

/// A router with the state that its decisions depend on.
struct RoutingFixture {
    snapshot: Snapshot,
    router: Router,
    quality: Quality,
    trials: Trials,
}

impl RoutingFixture {
    fn new(size: &Size, objects: Objects) -> Self {
        let members: Arc<[DaemonName]> = (0..size.daemons)
            .map(|i| format_compact!("entry-{i:03}"))
            .collect();
        let own = members[0].clone();
        let snapshot = Snapshot::new(1, objects);
        let mut router = Router::new(own.clone(), "domain-00".into(), 1);
        router.refresh(&snapshot, &members);
        let mut trials = Trials::default();
        let fleet = Fleet {
            own: &own,
            members: &members,
            epoch: 0,
        };
        trials.refresh(Instant::now(), &snapshot, fleet);
        Self {
            snapshot,
            router,
            quality: Quality::default(),
            trials,
        }
    }

    /// Replaces the router and the trials by those built from `objects`, but keeps the snapshot, so
    /// that a memory measurement excludes the configuration.
    fn fill_router(mut self, size: &Size, objects: &Objects) -> Self {
        let full = Self::new(size, objects.clone());
        self.router = full.router;
        self.trials = full.trials;
        self
    }

    /// Chooses an upstream for a request and records the request's start and end.
    fn route_request(&mut self, now: Instant, req: &RouteRequest) {
        let views = Views {
            available: &|_| 8,
            quality: &self.quality,
            trials: &self.trials,
            rating: Some(Duration::from_millis(10)),
        };
        let choice = self.router.choose(now, &self.snapshot, req, &views);
        let choice = black_box(choice.expect("an upstream is available"));
        self.router.started(now, &choice);
        let outcome = Outcome::Answered {
            first_token: Duration::from_millis(50),
            completion_time: Duration::from_millis(500),
        };
        self.router.finished(now, &choice, outcome);
    }
}

fn request(streamed: bool) -> RouteRequest {
    RouteRequest {
        request_id: "entry-000-0123456789abcdef".into(),
        customer: "customer".into(),
        rule: "rule".into(),
        class: RequestClass::Short,
        session: None,
        streamed,
        deadline: Instant::now() + Duration::from_secs(3_600),
        tried: Vec::new(),
        excluded: Vec::new(),
        affinity: None,
        solo: false,
    }
}

/// Estimates the resident memory of one value by creating many.
fn resident_bytes<T>(make: impl Fn() -> T) -> usize {
    const COPIES: usize = 200;
    const PAGE_BYTES: usize = 4_096;
    let resident = || -> usize {
        let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
        pages.unwrap_or(0_usize) * PAGE_BYTES
    };
    let before = resident();
    let values: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let bytes = (resident() - before) / COPIES;
    drop(values);
    bytes
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for size in &SIZES {
        let objects = objects(size);
        let mut fixture = RoutingFixture::new(size, objects.clone());
        println!(
            "{}: {} B for the router and the trials, {} B for the configuration, {} upstreams used",
            size.name,
            resident_bytes(
                || RoutingFixture::new(size, Objects::default()).fill_router(size, &objects)
            ),
            resident_bytes(|| Snapshot::new(1, objects.clone())),
            fixture.router.tracked_upstreams(),
        );
        let now = Instant::now();
        for (kind, req) in [("whole", request(false)), ("streamed", request(true))] {
            group.bench_function(format!("{}/{kind}", size.name), |b| {
                b.iter(|| fixture.route_request(now, &req));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
