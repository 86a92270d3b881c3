//! Tests membership over a simulated network: scenarios, detection time and false positives.

use std::{collections::BTreeMap, time::Duration};

use datadriven::{TestCase, walk};
use hibiscusyoke::coordination::membership::MemberState;

mod fleet;

use fleet::SimulatedFleet;

const CONVERGENCE_LIMIT: Duration = Duration::from_secs(60);

fn seconds(text: &str) -> Duration {
    let number = text.strip_suffix('s').unwrap_or(text);
    Duration::from_secs_f64(number.parse().expect("a time such as 4.5s"))
}

fn state(text: &str) -> MemberState {
    match text {
        "alive" => MemberState::Alive,
        "suspect" => MemberState::Suspect,
        "leaving" => MemberState::Leaving,
        "dead" => MemberState::Dead,
        other => panic!("unknown state {other}"),
    }
}

/// Returns an optional argument of a directive.
fn arg<T: std::str::FromStr>(case: &mut TestCase, name: &str) -> Option<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).expect("a well-formed argument")
}

/// Executes one directive of a scenario.
fn run_directive(fleet: &mut Option<SimulatedFleet>, case: &mut TestCase) -> String {
    let name: Option<String> = arg(case, "name");
    if case.directive == "fleet" {
        let seed: u64 = arg(case, "seed").unwrap_or(1);
        let mut new = SimulatedFleet::new(seed);
        new.start_all(arg(case, "members").unwrap_or(3));
        new.loss_percent = arg(case, "loss").unwrap_or(0);
        let elapsed = new.run_while(CONVERGENCE_LIMIT, |f| !f.converged());
        *fleet = Some(new);
        return if elapsed.is_some() {
            "settled\n"
        } else {
            "not settled\n"
        }
        .into();
    }
    let fleet = fleet.as_mut().expect("a scenario begins with `fleet`");
    let name = name.unwrap_or_default();
    let mut output = "ok\n".to_owned();
    match case.directive.as_str() {
        "run" => {
            let time: String = arg(case, "for").unwrap_or_default();
            fleet.run(seconds(&time));
        }
        "crash" => fleet.crash(&name),
        "freeze" => fleet.freeze(&name),
        "wake" => fleet.wake(&name),
        "leave" => fleet.leave(&name),
        "depart" => fleet.depart(&name),
        "start" => {
            fleet.start(&name);
            fleet.list_instances(&[]);
        }
        "list" => {
            let dead: u16 = arg(case, "dead").unwrap_or(0);
            fleet.list_instances(&(0..dead).collect::<Vec<_>>());
        }
        "loss" => fleet.loss_percent = arg(case, "percent").unwrap_or(0),
        "cut" => {
            let names = case.take_args::<String>("names").expect("names=(m0, ...)");
            fleet.isolated = names.into_iter().collect();
        }
        "heal" => fleet.isolated.clear(),
        "expect" => {
            let wanted: String = arg(case, "state").unwrap_or_default();
            let within: String = arg(case, "within").unwrap_or_else(|| "0s".into());
            let all = fleet.observers(&name).count();
            let wanted = state(&wanted);
            let elapsed = fleet.run_while(seconds(&within), |f| {
                f.observers_with_state(&name, wanted) < all
            });
            if elapsed.is_none() {
                let seen = fleet.observers_with_state(&name, wanted);
                output = format!("late: {seen} of {all} observe it\n");
            }
        }
        "settled" => {
            let within: String = arg(case, "within").unwrap_or_else(|| "0s".into());
            let elapsed = fleet.run_while(seconds(&within), |f| !f.converged());
            output = if elapsed.is_some() { "ok\n" } else { "late\n" }.into();
        }
        "majority" => {
            let quorum_status = fleet.quorum_status(&name);
            output = format!(
                "majority={} unreachable={}\n",
                quorum_status.majority,
                quorum_status.unreachable.len()
            );
        }
        other => panic!("unknown directive {other}"),
    }
    output
}

#[test]
fn membership_scenarios() {
    walk("tests/scenarios/membership", |file| {
        let mut fleet = None;
        file.run(|case| {
            let output = run_directive(&mut fleet, case);
            case.expect_empty().expect("all arguments are known");
            output
        });
    });
}

/// Measures the time until every other daemon considers a crashed one dead, for several times of
/// the crash.
fn detection_times(members: usize, crashes: u64) -> Vec<Duration> {
    (0..crashes)
        .map(|seed| {
            let mut fleet = SimulatedFleet::new(seed);
            fleet.start_all(members);
            let converged = fleet.run_while(CONVERGENCE_LIMIT, |f| !f.converged());
            assert!(
                converged.is_some(),
                "{members} members, seed {seed}: not settled"
            );
            fleet.run(Duration::from_millis(3_000 + 137 * seed));
            fleet.crash("m1");
            let dead = |f: &SimulatedFleet| f.observers_with_state("m1", MemberState::Dead);
            fleet
                .run_while(Duration::from_secs(60), |f| dead(f) < members - 1)
                .expect("a crashed daemon is detected")
        })
        .collect()
}

fn assert_detected_in_time(members: usize, crashes: u64) {
    let mut times = detection_times(members, crashes);
    times.sort();
    let median = times[times.len() / 2];
    println!("{members} members: median {median:?}, all {times:?}");
    assert!(
        median <= Duration::from_secs(4),
        "{members} members: {times:?}"
    );
}

#[test]
fn detection_three_members() {
    assert_detected_in_time(3, 20);
}

#[test]
fn detection_eight_members() {
    assert_detected_in_time(8, 20);
}

#[test]
fn detection_hundred_members() {
    assert_detected_in_time(100, 7);
}

/// Under packet loss a live daemon may be suspected but refutes this, and is rarely declared dead.
#[test]
fn packet_loss_rarely_causes_false_deaths() {
    const MEMBER_SECONDS_PER_FALSE_DEATH: u64 = 600;
    let mut observed = BTreeMap::new();
    for members in [3_u64, 8, 40] {
        let mut fleet = SimulatedFleet::new(7);
        fleet.start_all(usize::try_from(members).unwrap());
        fleet
            .run_while(CONVERGENCE_LIMIT, |f| !f.converged())
            .unwrap();
        fleet.loss_percent = 20;
        let seconds = 1_200 / members * 8;
        let mut deaths = 0;
        let mut dead_before = 0;
        for _ in 0..seconds {
            fleet.run(Duration::from_secs(1));
            let names: Vec<String> = fleet.daemons.keys().cloned().collect();
            let dead = names
                .iter()
                .filter(|n| fleet.observers_with_state(n, MemberState::Dead) > 0)
                .count();
            deaths += u64::try_from(dead.saturating_sub(dead_before)).unwrap();
            dead_before = dead;
        }
        observed.insert(members, (deaths, members * seconds));
    }
    println!("members: (false deaths, member seconds): {observed:?}");
    for (deaths, member_seconds) in observed.values() {
        assert!(
            deaths * MEMBER_SECONDS_PER_FALSE_DEATH <= *member_seconds,
            "{observed:?}"
        );
    }
}

/// A resumed daemon draws no conclusions from datagrams missed during the pause: with `m2`
/// suspected, `m1` is frozen beyond the suspicion timeout and must not declare `m2` dead on waking.
#[test]
fn resumed_daemon_declares_no_member_dead() {
    let mut fleet = SimulatedFleet::new(11);
    fleet.start_all(3);
    fleet
        .run_while(CONVERGENCE_LIMIT, |f| !f.converged())
        .unwrap();
    fleet.freeze("m2");
    let suspected = |f: &SimulatedFleet| f.state("m1", "m2") == Some(MemberState::Suspect);
    fleet
        .run_while(CONVERGENCE_LIMIT, |f| !suspected(f))
        .unwrap();
    fleet.freeze("m1");
    fleet.isolated = ["m1".to_owned()].into();
    fleet.wake("m2");
    fleet.run(Duration::from_secs(20));
    fleet.isolated.clear();
    fleet.wake("m1");
    fleet.run(Duration::from_micros(1));
    assert_ne!(fleet.state("m1", "m2"), Some(MemberState::Dead));
}
