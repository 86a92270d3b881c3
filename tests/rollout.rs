//! Roll-outs: exposure, growth, ejection and its permanence.

use std::time::{Duration, Instant};

use hibiscusyoke::{
    coordination::{
        membership::DaemonName,
        rollout::{Gate, Standing, Verdict, VerdictKind, share},
        routing::{NoRouteWhy, Reason},
    },
    state::objects::Objects,
};
use policy_support::{
    Daemon,
    fleet::{Fleet, Truth},
    generate, names, objects, request, rolled_out, version,
};

mod policy_support;

const EXPOSURE: u32 = 20;
const ANSWER: Duration = Duration::from_millis(500);

/// The target: answers served by a version that has turned plainly bad, whatever the load.
const MAX_BAD_ANSWERS: u32 = 20;

fn rolling() -> Objects {
    let versions = [
        ("old", version(100, 0.95)),
        ("new", rolled_out(100, "old", EXPOSURE)),
    ];
    objects(&versions, 10, 3)
}

fn plainly_bad(at: Duration) -> Truth {
    Truth {
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
        let answers: u32 = shares.iter().map(|s| s.answers).sum();
        assert_eq!(answers, exposure, "seed {seed}");
        let probing = shares.iter().filter(|s| s.probes).count();
        assert_eq!(probing, usize::from(exposure > 0), "seed {seed}");
    }
}

#[test]
fn shares_move_on_so_that_no_daemon_is_left_out() {
    let members = names(40);
    let own: &DaemonName = &members[7];
    let turns = (0..400)
        .filter(|epoch| share(own, members.iter(), "new", 20, *epoch).answers > 0)
        .count();
    assert!((150..=250).contains(&turns), "{turns} of 400");
}

#[test]
fn bad_roll_out_is_ejected_everywhere_within_its_exposure() {
    for (size, rate) in [(1, 200), (3, 200), (3, 1_000), (8, 300), (40, 1_000)] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(size, &rolling(), rate, ANSWER, seed);
            let truth = plainly_bad(Duration::from_secs(15));
            let exposure = fleet.run("new", truth, Duration::from_secs(40));
            let what = format!("{size} daemons, {rate}/s, seed {seed}: {exposure:?}");
            assert!(exposure.before > 0, "never tried: {what}");
            assert!(exposure.after <= MAX_BAD_ANSWERS, "{what}");
            assert_eq!(fleet.holding("new", Standing::Ejected), size, "{what}");
        }
    }
}

#[test]
fn roll_out_that_is_bad_from_the_start_is_ejected() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(3, &rolling(), 300, ANSWER, seed);
        let exposure = fleet.run("new", plainly_bad(Duration::ZERO), Duration::from_secs(60));
        assert!(
            exposure.after <= MAX_BAD_ANSWERS,
            "seed {seed}: {exposure:?}"
        );
        assert_eq!(fleet.holding("new", Standing::Ejected), 3);
    }
}

#[test]
fn good_roll_out_grows_to_the_last_stage() {
    let mut ejected = 0;
    for seed in 0..10 {
        let mut fleet = Fleet::new(3, &rolling(), 300, ANSWER, seed);
        let truth = plainly_bad(Duration::MAX);
        let exposure = fleet.run("new", truth, Duration::from_secs(120));
        ejected += usize::from(fleet.holding("new", Standing::Ejected) > 0);
        let grown = fleet.daemons.iter().all(|d| {
            let trial = d.trials.of("new").expect("on trial");
            trial.standing() == Standing::Ejected || trial.stage() == 10_000
        });
        assert!(grown, "seed {seed}: {exposure:?}");
        assert!(exposure.before > 500, "seed {seed}: {exposure:?}");
    }
    assert!(ejected <= 1, "{ejected} of 10 good versions were ejected");
}

#[test]
fn slightly_bad_roll_out_is_ejected_in_the_end() {
    let mut ejected = 0;
    for seed in 0..5 {
        let mut fleet = Fleet::new(3, &rolling(), 300, ANSWER, seed);
        let truth = Truth {
            bad: 0.75,
            ..plainly_bad(Duration::from_secs(20))
        };
        fleet.run("new", truth, Duration::from_secs(180));
        ejected += usize::from(fleet.holding("new", Standing::Ejected) == 3);
    }
    assert_eq!(ejected, 5);
}

/// Answers that begin before the first rating can come can't be helped; the target bounds the rest.
#[test]
fn trusted_version_that_turns_bad_is_demoted() {
    let versions = [("good", version(200, 0.95)), ("cheap", version(100, 0.95))];
    for rate in [20, 100, 300] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(3, &objects(&versions, 10, 3), rate, ANSWER, seed);
            let truth = plainly_bad(Duration::from_secs(30));
            let exposure = fleet.run("cheap", truth, Duration::from_secs(40));
            let what = format!("{rate}/s, seed {seed}: {exposure:?}");
            let helpless = rate * 520 / 1_000;
            assert!(exposure.before > 20 * rate, "{what}");
            assert!(exposure.after <= helpless + MAX_BAD_ANSWERS, "{what}");
            assert_eq!(fleet.holding("cheap", Standing::Demoted), 3, "{what}");
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
fn verdict_is_final_and_survives_a_change_of_configuration() {
    let now = Instant::now();
    let mut daemon = Daemon::new(0, 3, rolling(), 1);
    assert!(daemon.trials.judged(now, &ejected("new")));
    assert!(!daemon.trials.judged(now, &ejected("new")), "told twice");
    daemon.publish(now, |objects| {
        objects.versions.remove("new");
    });
    daemon.publish(now, |objects| {
        let new = rolled_out(100, "old", EXPOSURE);
        objects.versions.insert("new".into(), new);
    });
    for i in 0..500 {
        let choice = daemon.choose(now, &request(&format!("{i}"))).expect("old");
        assert_eq!(choice.version, "old");
    }
    let mut req = request("session");
    req.session = Some("new".into());
    let no = daemon.choose(now, &req).expect_err("ejected");
    assert_eq!(no.why, NoRouteWhy::SessionEnded);
}

#[test]
fn verdict_before_the_configuration_holds_as_well() {
    let now = Instant::now();
    let versions = [("old", version(100, 0.95))];
    let mut daemon = Daemon::new(0, 3, objects(&versions, 10, 3), 1);
    assert!(daemon.trials.judged(now, &ejected("new")));
    daemon.publish(now, |objects| *objects = rolling());
    let trial = daemon.trials.of("new").expect("a record");
    assert_eq!(trial.standing(), Standing::Ejected);
}

#[test]
fn roll_out_waits_until_the_kept_verdicts_are_known() {
    let now = Instant::now();
    let mut daemon = Daemon::new(0, 1, rolling(), 1);
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
    daemon.trials.set_known();
    assert!(gate(&daemon));
}

#[test]
fn roll_out_takes_the_place_of_the_version_that_it_replaces() {
    let now = Instant::now();
    let mut daemon = Daemon::new(0, 1, rolling(), 1);
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
