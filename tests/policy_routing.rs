//! Tests of the router: eligibility, choice of version and upstream, and load distribution.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hibiscusyoke::{
    coordination::{
        health::HealthState,
        routing::{NoRouteCause, Outcome, Reason, RejectionCause},
    },
    state::objects::{Objects, ServiceState, VersionState},
};
use policy_support::{
    CHEAP, Daemon, EXPENSIVE, generate, objects, request, small_objects, version,
};

mod policy_support;

const ANSWERED: Outcome = Outcome::Answered {
    first_token: Duration::from_millis(50),
    completion_time: Duration::from_millis(200),
};

/// Reference check whether a pair of version and upstream may be chosen.
fn allowed(objects: &Objects, version: &str, upstream: &str, session: Option<&str>) -> bool {
    let customer = &objects.customers["gate"];
    let rule = &objects.rules["rule"];
    let upstream = &objects.upstreams[upstream];
    let domain = &objects.failure_domains[&upstream.failure_domain];
    let accepts = match objects.versions[version].state {
        VersionState::Enabled => true,
        VersionState::Draining => session.is_some(),
        VersionState::Withdrawn => false,
    };
    accepts
        && customer.versions.iter().any(|v| v == version)
        && rule.versions.iter().any(|v| v == version)
        && session.is_none_or(|own| own == version)
        && upstream.state == ServiceState::In
        && domain.state == ServiceState::In
}

/// Whether any pair of version and upstream is allowed.
fn any_allowed(objects: &Objects, session: Option<&str>) -> bool {
    let upstreams = || objects.upstreams.keys();
    objects
        .versions
        .keys()
        .any(|version| upstreams().any(|u| allowed(objects, version, u, session)))
}

fn randomize_states(objects: &mut Objects, bits: &[u8]) {
    let mut bits = bits.iter().copied().cycle();
    let mut next = || bits.next().unwrap_or(0);
    for version in objects.versions.values_mut() {
        version.state = match next() % 4 {
            0 => VersionState::Draining,
            1 => VersionState::Withdrawn,
            _ => VersionState::Enabled,
        };
    }
    for domain in objects.failure_domains.values_mut() {
        if next() % 2 == 0 {
            domain.state = ServiceState::Out;
        }
    }
    for upstream in objects.upstreams.values_mut() {
        if next() % 2 == 0 {
            upstream.state = ServiceState::Out;
        }
    }
    if let Some(customer) = objects.customers.get_mut("gate") {
        customer.versions.retain(|_| next() % 3 != 0);
    }
}

#[test]
fn choose_only_returns_allowed_pairs() {
    let mut chosen = 0;
    for case in 0..600 {
        let (bits, session, streamed): ([u8; 32], u8, bool) = generate(case);
        let mut objects = small_objects();
        randomize_states(&mut objects, &bits);
        let mut req = request(&format!("r-{case}"));
        req.streamed = streamed;
        req.session = match session % 3 {
            0 => Some(CHEAP.into()),
            1 => Some(EXPENSIVE.into()),
            _ => None,
        };
        let session = req.session.clone();
        let mut daemon = Daemon::new(0, 3, objects.clone(), case);
        let expected = any_allowed(&objects, session.as_deref());
        match daemon.choose(Instant::now(), &req) {
            Ok(choice) => {
                let (version, upstream) = (&choice.version, &choice.upstream);
                let allowed = allowed(&objects, version, upstream, session.as_deref());
                assert!(allowed, "seed {case}: {choice}");
                chosen += 1;
            }
            Err(no_route) => assert!(!expected, "seed {case}: {no_route}"),
        }
    }
    assert!(chosen > 100, "too few cases with a choice: {chosen}");
}

#[test]
fn session_of_a_withdrawn_version_ends() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    daemon.publish(Instant::now(), |objects| {
        let cheap = objects.versions.get_mut(CHEAP).expect("configured");
        cheap.state = VersionState::Withdrawn;
    });
    let mut req = request("r");
    req.session = Some(CHEAP.into());
    let no_route = daemon
        .choose(Instant::now(), &req)
        .expect_err("version is withdrawn");
    assert_eq!(no_route.cause, NoRouteCause::SessionEnded);
    assert_eq!(no_route.retry_after, None);
    assert_eq!(
        no_route.to_string(),
        "no_route=session_ended rejected=cheap:withdrawn"
    );
}

#[test]
fn choose_cascades_only_unstreamed_requests() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    let now = Instant::now();
    let unstreamed = daemon.choose(now, &request("w")).expect("a choice");
    assert_eq!(
        (&*unstreamed.version, unstreamed.reason),
        (CHEAP, Reason::LeastExpectedCost)
    );
    let mut req = request("s");
    req.streamed = true;
    let streamed = daemon.choose(now, &req).expect("a choice");
    assert_eq!(
        (&*streamed.version, streamed.reason),
        (EXPENSIVE, Reason::CheapestMeetingTarget)
    );
    let mut req = request("e");
    req.tried = vec![CHEAP.into()];
    let escalated = daemon.choose(now, &req).expect("a choice");
    assert_eq!(
        (&*escalated.version, escalated.reason),
        (EXPENSIVE, Reason::Escalation)
    );
    req.tried.push(EXPENSIVE.into());
    let no_route = daemon.choose(now, &req).expect_err("all versions tried");
    assert!(
        no_route
            .rejected
            .iter()
            .all(|r| r.cause == RejectionCause::Tried)
    );
}

#[test]
fn choose_skips_the_cheap_version_near_the_deadline() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    let now = Instant::now();
    let slow = Outcome::Answered {
        first_token: Duration::from_millis(50),
        completion_time: Duration::from_secs(2),
    };
    for session in [CHEAP, EXPENSIVE] {
        let mut req = request("learn");
        req.session = Some(session.into());
        let choice = daemon.choose(now, &req).expect("a choice");
        daemon.router.started(now, &choice);
        daemon.router.finished(now, &choice, slow);
    }
    let mut req = request("r");
    req.deadline = now + Duration::from_secs(4);
    let choice = daemon.choose(now, &req).expect("a choice");
    assert_eq!(choice.version, EXPENSIVE);
    req.deadline = now + Duration::from_secs(30);
    let choice = daemon.choose(now, &req).expect("a choice");
    assert_eq!(choice.version, CHEAP);
}

#[test]
fn choose_spills_over_when_the_cheap_version_is_busy() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    daemon.publish(Instant::now(), |objects| {
        for (i, upstream) in objects.upstreams.values_mut().enumerate() {
            if let hibiscusyoke::state::objects::Offer::Engine { versions, .. } =
                &mut upstream.offer
            {
                *versions = vec![if i < 5 { CHEAP } else { EXPENSIVE }.into()];
            }
        }
    });
    let now = Instant::now();
    let cheap: Vec<_> = daemon.snapshot.engines_for_version(CHEAP).to_vec();
    let full = |name: &str| u32::from(!cheap.iter().any(|c| c == name));
    let choice = daemon
        .choose_with(now, &request("r"), &full)
        .expect("a choice");
    assert_eq!(choice.reason, Reason::Spill);
    assert!(
        choice.to_string().ends_with("rejected=cheap:busy"),
        "{choice}"
    );
    let no_route = daemon
        .choose_with(now, &request("r"), &|_| 0)
        .expect_err("all upstreams busy");
    assert_eq!(no_route.cause, NoRouteCause::Busy);
    assert!(no_route.retry_after.is_some());
}

/// Returns the peak load of an upstream over the mean, with each daemon counting only its own
/// requests.
fn imbalance(daemons: usize, engines: usize) -> f64 {
    let versions = [(EXPENSIVE, version(100, 0.95))];
    let mut fleet: Vec<_> = (0..daemons)
        .map(|i| Daemon::new(i, daemons, objects(&versions, engines, 13), 7))
        .collect();
    let now = Instant::now();
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
    let rounds = 12;
    for round in 0..rounds {
        for daemon in &mut fleet {
            let choice = daemon
                .choose(now, &request(&format!("{round}")))
                .expect("a choice");
            daemon.router.started(now, &choice);
            *counts.entry(choice.upstream).or_default() += 1;
        }
    }
    let mean = (daemons * rounds) as f64 / engines as f64;
    f64::from(*counts.values().max().expect("upstreams")) / mean
}

#[test]
fn subsets_are_bounded_and_spread_load_over_a_large_fleet() {
    let versions = [(EXPENSIVE, version(100, 0.95))];
    let daemon = Daemon::new(0, 340, objects(&versions, 1_800, 13), 7);
    let subset = daemon.router.subset_of(EXPENSIVE);
    assert!(subset.len() <= 24, "{}", subset.len());
    let domains: std::collections::BTreeSet<_> = subset
        .iter()
        .map(|name| {
            daemon.snapshot.objects.upstreams[name]
                .failure_domain
                .clone()
        })
        .collect();
    assert_eq!(domains.len(), 13);
    let peak = imbalance(340, 130);
    assert!(
        peak < 2.0,
        "the most loaded upstream gets {peak:.2} times the mean"
    );
}

#[test]
fn removing_an_upstream_changes_one_subset_entry() {
    let versions = [(EXPENSIVE, version(100, 0.95))];
    let mut daemon = Daemon::new(0, 340, objects(&versions, 1_800, 13), 7);
    let before = daemon.router.subset_of(EXPENSIVE);
    let gone = before[3].clone();
    daemon.publish(Instant::now(), |objects| {
        let upstream = objects.upstreams.get_mut(&gone).expect("configured");
        upstream.state = ServiceState::Out;
    });
    let after = daemon.router.subset_of(EXPENSIVE);
    let kept = before.iter().filter(|name| after.contains(name)).count();
    assert!(!after.contains(&gone));
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn affinity_yields_when_its_upstream_is_loaded() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    let now = Instant::now();
    let mut req = request("r");
    req.affinity = Some(42);
    let first = daemon.choose(now, &req).expect("a choice");
    let mut on_first = 0;
    for _ in 0..40 {
        let choice = daemon.choose(now, &req).expect("a choice");
        on_first += u32::from(choice.upstream == first.upstream);
        daemon.router.started(now, &choice);
    }
    assert!(
        on_first >= 2,
        "requests with affinity did not reuse their upstream"
    );
    assert!(on_first <= 8, "one upstream took {on_first} of 40 requests");
}

#[test]
fn failing_upstream_is_ejected_and_restarts_slowly() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    let now = Instant::now();
    let choice = daemon.choose(now, &request("r")).expect("a choice");
    for _ in 0..3 {
        daemon.router.started(now, &choice);
        daemon.router.finished(now, &choice, Outcome::Unreachable);
    }
    let health = |daemon: &Daemon, at| {
        let view = daemon
            .router
            .replica_view(at, &choice.upstream)
            .expect("tracked");
        view.health
    };
    assert_eq!(health(&daemon, now), HealthState::Ejected);
    for i in 0..200 {
        let other = daemon
            .choose(now, &request(&format!("{i}")))
            .expect("another upstream");
        assert_ne!(other.upstream, choice.upstream);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(health(&daemon, later), HealthState::Probing);
    daemon.router.started(later, &choice);
    daemon.router.finished(later, &choice, ANSWERED);
    assert_eq!(health(&daemon, later), HealthState::Serving);
    let mut returned = 0;
    for i in 0..200 {
        let next = daemon
            .choose(later, &request(&format!("b{i}")))
            .expect("a choice");
        returned += u32::from(next.upstream == choice.upstream);
        daemon.router.started(later, &next);
    }
    assert!(
        returned <= 10,
        "{returned} of 200 requests right after its recovery"
    );
}

#[test]
fn silent_connection_does_not_count_as_failure() {
    let mut daemon = Daemon::new(0, 3, small_objects(), 1);
    let now = Instant::now();
    let choice = daemon.choose(now, &request("r")).expect("a choice");
    for _ in 0..10 {
        daemon.router.started(now, &choice);
        daemon.router.finished(now, &choice, Outcome::Silent);
    }
    let view = daemon
        .router
        .replica_view(now, &choice.upstream)
        .expect("tracked");
    assert_eq!(view.health, HealthState::Serving);
    assert_eq!(view.in_flight, 0);
}
