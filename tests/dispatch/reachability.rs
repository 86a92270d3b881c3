//! Daemons whose own links to upstreams fail, and upstreams that are silent for a moment.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, NoSlotReason, Placement,
    health::AttemptOutcome,
    heartbeat::{Heartbeat, Links, Readiness, TableState},
    reachability::{LinkChange, Loss},
};
use platform::table::Row;

use crate::support::{
    address, assign, configuration, heartbeat, order, ready, receive_heartbeat, request, upstream,
};

const UPSTREAMS: [&str; 5] = ["u1", "u2", "u3", "u4", "u5"];

fn rows() -> Vec<Row> {
    let ids = UPSTREAMS.iter().zip(1..);
    ids.map(|(id, version)| upstream(id, version, "ready"))
        .collect()
}

fn heartbeat_of(dispatcher: &mut Dispatcher, now: Instant) -> Heartbeat {
    dispatcher.heartbeat(address(1), Readiness::Ready, Duration::ZERO, now)
}

fn is_cold(dispatcher: &Dispatcher, id: &str, now: Instant) -> bool {
    dispatcher.registry.get(id).expect("listed").is_cold(now)
}

/// Loses the connection of a request; returns its upstream.
fn lose_one(dispatcher: &mut Dispatcher, outcome: AttemptOutcome, now: Instant) -> String {
    let assignment = assign(dispatcher, &request(1), now);
    dispatcher.release(&assignment, outcome, now);
    assignment.upstream.to_string()
}

/// Lets all probes that are due fail.
fn fail_probes(dispatcher: &mut Dispatcher, loss: Loss, now: Instant) {
    for target in dispatcher.probe_targets(now) {
        dispatcher.probe_ended(&target.upstream, Err(loss), now, now);
    }
}

/// The loss of its own links was taken for the failure of all upstreams.
#[test]
fn daemon_that_reaches_no_upstream_is_cut_off_and_blames_none() {
    for (outcome, loss) in [
        (AttemptOutcome::Unreachable, Loss::Refused),
        (AttemptOutcome::Unanswered, Loss::Unanswered),
    ] {
        let now = Instant::now();
        let mut dispatcher = ready(&rows(), now);
        lose_one(&mut dispatcher, outcome, now);
        assert!(!dispatcher.reachability.is_cut_off());
        fail_probes(&mut dispatcher, loss, now);
        assert!(dispatcher.reachability.is_cut_off());
        assert_eq!(dispatcher.reachability.take_changes(), [LinkChange::Lost]);
        let later = now + Duration::from_secs(10);
        dispatcher.tick(later);
        let told = heartbeat_of(&mut dispatcher, later);
        assert!(told.links == Links::CutOff && told.loads.iter().all(|load| !load.unreachable));
        assert!(told.suspects.is_empty() && dispatcher.poison.take_findings().is_empty());
        for id in UPSTREAMS {
            assert!(!is_cold(&dispatcher, id, later), "{id}");
        }
    }
}

#[test]
fn daemon_that_reaches_one_upstream_again_uses_all() {
    let now = Instant::now();
    let mut dispatcher = ready(&rows(), now);
    lose_one(&mut dispatcher, AttemptOutcome::Unreachable, now);
    while !dispatcher.reachability.is_cut_off() {
        fail_probes(&mut dispatcher, Loss::Refused, now);
    }
    // A connection from before the cut may still bring answers.
    let before = now - Duration::from_secs(1);
    dispatcher.upstream_reached("u1", before, now);
    assert!(dispatcher.reachability.is_cut_off());
    let later = now + Duration::from_secs(12);
    dispatcher.probe_ended(&"u3".into(), Ok(()), later, later);
    assert!(!dispatcher.reachability.is_cut_off());
    assert!(dispatcher.probe_targets(later).is_empty());
    for id in UPSTREAMS {
        let health = dispatcher.registry.get(id).expect("listed").health;
        assert!(health.is_usable(later) && !health.is_unreachable(), "{id}");
        assert!(!is_cold(&dispatcher, id, later), "{id}");
    }
}

/// With links that work, an upstream that refuses connections may have restarted, and all are told.
#[test]
fn upstream_that_refuses_connections_is_blamed_once_another_one_is_reached() {
    let now = Instant::now();
    let mut dispatcher = ready(&rows(), now);
    let id = lose_one(&mut dispatcher, AttemptOutcome::Unreachable, now);
    assert!(!is_cold(&dispatcher, &id, now));
    let other = UPSTREAMS.iter().find(|other| **other != id).expect("five");
    let soon = now + Duration::from_millis(5);
    dispatcher.probe_ended(&(*other).into(), Ok(()), soon, soon);
    assert!(is_cold(&dispatcher, &id, soon));
    let told = heartbeat_of(&mut dispatcher, soon);
    assert!(told.links == Links::Working && told.loads.iter().any(|load| load.unreachable));
}

/// Without any probe, the loss counts against the upstream after a second.
#[test]
fn unexplained_loss_counts_against_its_upstream() {
    let now = Instant::now();
    let mut dispatcher = ready(&rows(), now);
    let id = lose_one(&mut dispatcher, AttemptOutcome::Unreachable, now);
    dispatcher.tick(now + Duration::from_millis(900));
    assert!(!is_cold(&dispatcher, &id, now + Duration::from_millis(900)));
    dispatcher.tick(now + Duration::from_millis(1_100));
    assert!(is_cold(
        &dispatcher,
        &id,
        now + Duration::from_millis(1_100)
    ));
}

/// A sound upstream that was silent for a second was limited like one that had restarted.
#[test]
fn upstream_that_was_silent_for_a_moment_is_not_treated_as_restarted() {
    for (silence_ms, restarted) in [(1_200, false), (3_000, true)] {
        let now = Instant::now();
        let mut dispatcher = ready(&rows(), now);
        let id = lose_one(&mut dispatcher, AttemptOutcome::Unanswered, now);
        let other = UPSTREAMS.iter().find(|other| **other != id).expect("five");
        dispatcher.probe_ended(&(*other).into(), Ok(()), now, now);
        assert!(is_cold(&dispatcher, &id, now));
        assert!(dispatcher.poison.take_findings().is_empty());
        let back = now + Duration::from_millis(silence_ms);
        dispatcher.upstream_reached(&id, back, back);
        assert_eq!(
            is_cold(&dispatcher, &id, back),
            restarted,
            "{silence_ms} ms"
        );
    }
}

/// Another daemon that lost its link to an upstream made this one treat it as restarted.
#[test]
fn upstream_that_this_daemon_reaches_is_not_blamed_by_others() {
    let now = Instant::now();
    let mut lost = ready(&rows(), now);
    let id = lose_one(&mut lost, AttemptOutcome::Unreachable, now);
    let other = UPSTREAMS.iter().find(|other| **other != id).expect("five");
    lost.probe_ended(&(*other).into(), Ok(()), now, now);
    let mut message = heartbeat("front-2", TableState::Reachable);
    message.loads = heartbeat_of(&mut lost, now).loads;
    for (reached_before, blamed) in [(200, false), (4_000, true)] {
        let start = now - Duration::from_millis(reached_before);
        let mut dispatcher = ready(&rows(), start);
        dispatcher.upstream_reached(&id, start, start);
        receive_heartbeat(&mut dispatcher, std::slice::from_ref(&message), now);
        assert_eq!(
            is_cold(&dispatcher, &id, now),
            blamed,
            "{reached_before} ms"
        );
    }
}

/// Requests go to daemons that reach upstreams, are ready and know the configuration.
#[test]
fn delegate_reaches_upstreams_and_has_no_older_configuration() {
    let now = Instant::now();
    let mut dispatcher = ready(&rows(), now);
    order(&mut dispatcher, &configuration(5), now);
    let mut cut_off = heartbeat("cut", TableState::Reachable);
    (cut_off.links, cut_off.generation) = (Links::CutOff, 5);
    let mut leaving = heartbeat("leaving", TableState::Reachable);
    (leaving.readiness, leaving.generation) = (Readiness::Leaving, 5);
    let mut older = heartbeat("older", TableState::Reachable);
    older.generation = 4;
    receive_heartbeat(&mut dispatcher, &[cut_off, leaving, older], now);
    assert_eq!(dispatcher.choose_delegate(&[], now), None);
    let mut able = heartbeat("able", TableState::Reachable);
    able.generation = 6;
    receive_heartbeat(&mut dispatcher, &[able], now);
    let chosen = dispatcher.choose_delegate(&[], now).expect("one is able");
    assert_eq!(chosen.name, "able");
    assert_eq!(dispatcher.choose_delegate(&["able".into()], now), None);
}

/// Refused upstreams of a daemon that is cut off are not tried by callers' requests.
#[test]
fn lost_upstreams_get_no_requests_until_one_is_reached() {
    let now = Instant::now();
    let mut dispatcher = ready(&rows(), now);
    lose_one(&mut dispatcher, AttemptOutcome::Unreachable, now);
    for _ in UPSTREAMS {
        fail_probes(&mut dispatcher, Loss::Refused, now);
    }
    let later = now + Duration::from_secs(6);
    assert!(matches!(
        dispatcher.select_upstream(&request(2), later),
        Placement::Refuse(NoSlotReason::Unreachable, _)
    ));
}

/// All upstreams are replaced while the daemon is cut off, so that none of those that it lost is left.
#[test]
fn daemon_that_is_cut_off_probes_upstreams_that_are_new() {
    let now = Instant::now();
    let mut dispatcher = ready(&rows(), now);
    lose_one(&mut dispatcher, AttemptOutcome::Unreachable, now);
    while !dispatcher.reachability.is_cut_off() {
        fail_probes(&mut dispatcher, Loss::Refused, now);
    }
    dispatcher.registry.replace(&[], now);
    let gone = now + Duration::from_secs(3);
    dispatcher.tick(gone);
    assert!(dispatcher.probe_targets(gone).is_empty());
    dispatcher
        .registry
        .apply(&[upstream("u9", 9, "ready")], gone);
    let later = gone + Duration::from_secs(1);
    let targets = dispatcher.probe_targets(later);
    assert_eq!(targets.len(), 1, "the new one is probed");
    dispatcher.probe_ended(&"u9".into(), Ok(()), later, later);
    assert!(!dispatcher.reachability.is_cut_off());
    assert!(dispatcher.probe_targets(later).is_empty());
}
