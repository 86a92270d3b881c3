//! Tests of rollouts: exposure budgets, growth by stages, and permanent ejection.

use std::time::{Duration, Instant};

use hibiscusyoke::{
    coordination::{
        membership::DaemonName,
        rollout::{Gate, TrustState, Verdict, VerdictKind, share},
        routing::{NoRouteCause, Reason},
    },
    state::objects::Objects,
};
use policy_support::{
    Daemon,
    fleet::{Fleet, PassRates},
    generate, names, objects, request, rollout_version, version,
};

mod policy_support;

const EXPOSURE: u32 = 20;
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Target: maximum number of responses from a severely degraded version, at any load.
const MAX_BAD_ANSWERS: u32 = 20;

fn rollout_objects() -> Objects {
    let versions = [
        ("old", version(100, 0.95)),
        ("new", rollout_version(100, "old", EXPOSURE)),
    ];
    objects(&versions, 10, 3)
}

fn turning_bad(at: Duration) -> PassRates {
    PassRates {
        good: 0.93,
        bad: 0.05,
        turns_bad_at: at,
    }
}

#[test]
fn shares_sum_to_the_exposure() {
    for seed in 0..300 {
        let (size, exposure, epoch): (u8, u8, u8) = generate(seed);
        let members = names(usize::from(size) % 340 + 1);
        let exposure = u32::from(exposure) % 60;
        let shares: Vec<_> = members
            .iter()
            .map(|own| share(own, members.iter(), "new", exposure, u64::from(epoch)))
            .collect();
        let answers: u32 = shares.iter().map(|s| s.max_unrated).sum();
        assert_eq!(answers, exposure, "seed {seed}");
        let probing = shares.iter().filter(|s| s.may_probe).count();
        assert_eq!(probing, usize::from(exposure > 0), "seed {seed}");
    }
}

#[test]
fn shares_rotate_over_all_daemons() {
    let members = names(40);
    let own: &DaemonName = &members[7];
    let epochs_with_share = (0..400)
        .filter(|epoch| share(own, members.iter(), "new", 20, *epoch).max_unrated > 0)
        .count();
    assert!(
        (150..=250).contains(&epochs_with_share),
        "{epochs_with_share} of 400 epochs"
    );
}

#[test]
fn bad_rollout_is_ejected_fleet_wide_within_exposure() {
    for (size, rate) in [(1, 200), (3, 200), (3, 1_000), (8, 300), (40, 1_000)] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(size, &rollout_objects(), rate, ANSWER_TIME, seed);
            let pass_rates = turning_bad(Duration::from_secs(15));
            let exposure = fleet.run("new", pass_rates, Duration::from_secs(40));
            let what = format!("{size} daemons, {rate}/s, seed {seed}: {exposure:?}");
            assert!(exposure.before > 0, "the rollout got no requests: {what}");
            assert!(exposure.after <= MAX_BAD_ANSWERS, "{what}");
            assert_eq!(
                fleet.count_in_state("new", TrustState::Ejected),
                size,
                "{what}"
            );
        }
    }
}

#[test]
fn initially_bad_rollout_is_ejected() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(3, &rollout_objects(), 300, ANSWER_TIME, seed);
        let exposure = fleet.run("new", turning_bad(Duration::ZERO), Duration::from_secs(60));
        assert!(
            exposure.after <= MAX_BAD_ANSWERS,
            "seed {seed}: {exposure:?}"
        );
        assert_eq!(fleet.count_in_state("new", TrustState::Ejected), 3);
    }
}

#[test]
fn good_rollout_reaches_the_last_stage() {
    let mut ejected = 0;
    for seed in 0..10 {
        let mut fleet = Fleet::new(3, &rollout_objects(), 300, ANSWER_TIME, seed);
        let pass_rates = turning_bad(Duration::MAX);
        let exposure = fleet.run("new", pass_rates, Duration::from_secs(120));
        ejected += usize::from(fleet.count_in_state("new", TrustState::Ejected) > 0);
        let grown = fleet.daemons.iter().all(|d| {
            let trial = d.trials.of("new").expect("a trial");
            trial.trust_state() == TrustState::Ejected || trial.stage() == 10_000
        });
        assert!(grown, "seed {seed}: {exposure:?}");
        assert!(exposure.before > 500, "seed {seed}: {exposure:?}");
    }
    assert!(ejected <= 1, "{ejected} of 10 good versions were ejected");
}

#[test]
fn slightly_bad_rollout_is_ejected() {
    let mut ejected = 0;
    for seed in 0..5 {
        let mut fleet = Fleet::new(3, &rollout_objects(), 300, ANSWER_TIME, seed);
        let pass_rates = PassRates {
            bad: 0.75,
            ..turning_bad(Duration::from_secs(20))
        };
        fleet.run("new", pass_rates, Duration::from_secs(180));
        ejected += usize::from(fleet.count_in_state("new", TrustState::Ejected) == 3);
    }
    assert_eq!(ejected, 5);
}

/// Responses started before the first rating can arrive are unavoidable; the target bounds the
/// rest.
#[test]
fn trusted_version_that_turns_bad_is_demoted() {
    let versions = [("good", version(200, 0.95)), ("cheap", version(100, 0.95))];
    for rate in [20, 100, 300] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(3, &objects(&versions, 10, 3), rate, ANSWER_TIME, seed);
            let pass_rates = turning_bad(Duration::from_secs(30));
            let exposure = fleet.run("cheap", pass_rates, Duration::from_secs(40));
            let what = format!("{rate}/s, seed {seed}: {exposure:?}");
            let unavoidable = rate * 520 / 1_000;
            assert!(exposure.before > 20 * rate, "{what}");
            assert!(exposure.after <= unavoidable + MAX_BAD_ANSWERS, "{what}");
            assert_eq!(
                fleet.count_in_state("cheap", TrustState::Demoted),
                3,
                "{what}"
            );
        }
    }
}

fn ejected(version: &str) -> Verdict {
    Verdict {
        version: version.into(),
        kind: VerdictKind::Ejected,
        by: "entry-001".into(),
    }
}

#[test]
fn ejection_survives_configuration_changes() {
    let now = Instant::now();
    let mut daemon = Daemon::new(0, 3, rollout_objects(), 1);
    assert!(daemon.trials.apply_verdict(now, &ejected("new")));
    assert!(
        !daemon.trials.apply_verdict(now, &ejected("new")),
        "a repeated verdict changes nothing"
    );
    daemon.publish(now, |objects| {
        objects.versions.remove("new");
    });
    daemon.publish(now, |objects| {
        let new = rollout_version(100, "old", EXPOSURE);
        objects.versions.insert("new".into(), new);
    });
    for i in 0..500 {
        let choice = daemon
            .choose(now, &request(&format!("{i}")))
            .expect("a choice");
        assert_eq!(choice.version, "old");
    }
    let mut req = request("session");
    req.session = Some("new".into());
    let no_route = daemon.choose(now, &req).expect_err("version is ejected");
    assert_eq!(no_route.cause, NoRouteCause::SessionEnded);
}

#[test]
fn ejection_applies_to_a_version_published_later() {
    let now = Instant::now();
    let versions = [("old", version(100, 0.95))];
    let mut daemon = Daemon::new(0, 3, objects(&versions, 10, 3), 1);
    assert!(daemon.trials.apply_verdict(now, &ejected("new")));
    daemon.publish(now, |objects| *objects = rollout_objects());
    let trial = daemon.trials.of("new").expect("a trial");
    assert_eq!(trial.trust_state(), TrustState::Ejected);
}

#[test]
fn rollout_waits_until_stored_verdicts_are_loaded() {
    let now = Instant::now();
    let mut daemon = Daemon::new(0, 1, rollout_objects(), 1);
    daemon.trials = hibiscusyoke::coordination::rollout::Trials::default();
    daemon.refresh(now);
    let gate = |daemon: &Daemon| {
        let new = &daemon.snapshot.objects.versions["new"];
        (0..2_000)
            .map(|i| {
                daemon
                    .trials
                    .gate(now, "new", new, &request(&format!("{i}")))
            })
            .any(|gate| gate == Gate::Trial)
    };
    assert!(!gate(&daemon));
    daemon.trials.set_verdicts_loaded();
    assert!(gate(&daemon));
}

#[test]
fn rollout_takes_requests_from_the_replaced_version() {
    let now = Instant::now();
    let mut daemon = Daemon::new(0, 1, rollout_objects(), 1);
    let mut reasons = Vec::new();
    for i in 0..2_000 {
        let choice = daemon
            .choose(now, &request(&format!("{i}")))
            .expect("a choice");
        if choice.version == "new" {
            reasons.push(choice.reason);
        }
    }
    assert!(
        (5..=50).contains(&reasons.len()),
        "{} of 2000",
        reasons.len()
    );
    assert!(reasons.iter().all(|r| *r == Reason::Rollout));
}
