//! Tests of requests that crash upstreams: the same one sent again to other daemons, or different
//! ones that share a segment of their prompts.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    crash_evidence::Suspect,
    poison::{PoisonTracker, StopSource, Suspects, fingerprint, suspects},
    reachability::Loss,
};
use platform::headers::{Prompt, PromptSegment};

use crate::support::{assign, ready, request as placement_request, upstream, upstream_with};

/// Upstreams that crash, as many as it takes to refuse what crashes them.
const UPSTREAMS: [&str; 3] = ["u1", "u2", "u3"];
/// Time from the start of a run to the break of its connection.
const RUN_TIME: Duration = Duration::from_millis(60);
/// Time from the break to the first refused connection.
const DETECTION_TIME: Duration = Duration::from_millis(300);

/// Returns the suspects of a request whose prompt has these segments and one of its own.
fn request(n: u64, shared: &[u64]) -> Suspects {
    let own = 0x1000 + n;
    let segments = shared.iter().chain([&own]);
    let prompt = Prompt {
        segments: segments
            .map(|id| PromptSegment { id: *id, tokens: 9 })
            .collect(),
        ..Prompt::default()
    };
    let body = n.to_le_bytes();
    suspects(fingerprint(Some("t1"), "/a/", [&body]), Some(&prompt))
}

fn begin(poison: &mut PoisonTracker, upstream: &str, suspects: &Suspects, now: Instant) {
    poison.run_began(&upstream.into(), incarnation(upstream), suspects, now, now);
}

fn incarnation(upstream: &str) -> u64 {
    fingerprint(None, upstream, [b""])
}

/// Runs requests on an upstream that then crashes.
fn crash(poison: &mut PoisonTracker, upstream: &str, requests: &[&Suspects], now: Instant) {
    for suspects in requests {
        begin(poison, upstream, suspects, now);
    }
    let broken = now + RUN_TIME;
    for suspects in requests {
        poison.connection_broken(&upstream.into(), incarnation(upstream), suspects, broken);
    }
    poison.upstream_stopped(upstream, StopSource::Own, broken + DETECTION_TIME);
}

/// Lets an upstream survive a request.
fn survive(poison: &mut PoisonTracker, upstream: &str, suspects: &Suspects, now: Instant) {
    begin(poison, upstream, suspects, now);
    let later = now + Duration::from_secs(1);
    begin(poison, upstream, &request(999, &[]), later);
}

fn tell(from: &PoisonTracker, to: &mut PoisonTracker, now: Instant) {
    to.merge(&from.reports(now), now);
}

#[test]
fn third_crash_on_any_daemon_marks_the_request_as_poison() {
    let now = Instant::now();
    let poisonous = request(1, &[]);
    let (mut here, mut there) = (PoisonTracker::default(), PoisonTracker::default());
    crash(&mut here, "u1", &[&poisonous], now);
    crash(&mut there, "u2", &[&poisonous], now);
    crash(&mut there, "u3", &[&poisonous], now);
    assert_eq!(here.poison(&poisonous), None);
    tell(&there, &mut here, now);
    tell(&there, &mut here, now);
    assert_eq!(here.poison(&poisonous), Some(poisonous[0].suspect));
    assert_eq!(here.poison(&request(2, &[])), None);
}

#[test]
fn broken_connection_of_a_live_upstream_is_not_a_crash() {
    let now = Instant::now();
    let sound = request(1, &[7]);
    let mut poison = PoisonTracker::default();
    for _ in 0..9 {
        begin(&mut poison, "u1", &sound, now);
        poison.connection_broken(&"u1".into(), incarnation("u1"), &sound, now);
    }
    poison.upstream_stopped("u1", StopSource::Own, now + Duration::from_secs(9));
    assert!(poison.reports(now).is_empty());
    assert_eq!(poison.poison(&sound), None);
}

/// A peer may fail to connect for reasons of its own, such as a partition.
#[test]
fn run_that_goes_on_is_not_a_crash_on_the_word_of_a_peer() {
    let now = Instant::now();
    let sound = request(1, &[7]);
    let mut poison = PoisonTracker::default();
    for upstream in UPSTREAMS {
        begin(&mut poison, upstream, &sound, now);
        poison.upstream_stopped(upstream, StopSource::Peer, now);
    }
    assert!(poison.reports(now).is_empty());
    assert_eq!(poison.poison(&sound), None);
}

#[test]
fn fingerprint_distinguishes_customers_paths_and_bodies() {
    let f = fingerprint(Some("t1"), "/a/", [b"body"]);
    assert_ne!(f, fingerprint(Some("t2"), "/a/", [b"body"]));
    assert_ne!(f, fingerprint(Some("t1"), "/a/b", [b"ody"]));
    assert_eq!(f, fingerprint(Some("t1"), "/a/", [b"body"]));
}

#[test]
fn segment_that_different_requests_share_is_poison_after_three_crashes() {
    let now = Instant::now();
    let (mut here, mut there) = (PoisonTracker::default(), PoisonTracker::default());
    crash(&mut here, "u1", &[&request(1, &[1, 66])], now);
    crash(&mut there, "u2", &[&request(2, &[2, 66])], now);
    crash(&mut there, "u3", &[&request(3, &[66, 3])], now);
    tell(&there, &mut here, now);
    assert_eq!(here.poison(&request(4, &[66])), Some(Suspect::Segment(66)));
    assert_eq!(here.poison(&request(5, &[1, 2, 3])), None);
}

/// The last segment belongs to one request.
#[test]
fn last_segment_is_not_shared() {
    assert_eq!(request(1, &[66]).len(), 2);
    assert_eq!(request(1, &[]).len(), 1);
}

/// A prompt may have any number of segments.
#[test]
fn prompt_of_very_many_segments_is_accepted() {
    let segments: Vec<u64> = (1..1_000).collect();
    let suspects = request(1, &segments);
    assert!(suspects.len() > 200);
    crash(
        &mut PoisonTracker::default(),
        "u1",
        &[&suspects],
        Instant::now(),
    );
}

/// All prompts of a route begin with the same segment, and sound requests run beside the others.
#[test]
fn segments_of_requests_that_upstreams_survive_are_not_poison() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    survive(&mut poison, "u9", &request(9, &[1, 5]), now);
    let later = now + Duration::from_secs(2);
    for (upstream, n) in ["u1", "u2", "u3", "u4"].into_iter().zip(10..) {
        let (poisonous, sound) = (request(n, &[1, 66]), request(n + 10, &[1, 5]));
        crash(&mut poison, upstream, &[&poisonous, &sound], later);
    }
    assert_eq!(poison.poison(&request(3, &[1, 5])), None);
    assert_eq!(
        poison.poison(&request(4, &[1, 66])),
        Some(Suspect::Segment(66))
    );
}

/// Daemons that have just started know of no survivors.
#[test]
fn segment_furthest_back_is_poison_if_all_took_part_in_all_crashes() {
    let now = Instant::now();
    let (mut here, mut there) = (PoisonTracker::default(), PoisonTracker::default());
    for (upstream, n) in UPSTREAMS.into_iter().zip(10..) {
        crash(&mut here, upstream, &[&request(n, &[1, 66])], now);
    }
    assert_eq!(here.poison(&request(2, &[1, 5])), None);
    assert_eq!(
        here.poison(&request(3, &[1, 66])),
        Some(Suspect::Segment(66))
    );
    tell(&here, &mut there, now);
    assert_eq!(there.poison(&request(2, &[1, 5])), None);
    assert_eq!(
        there.poison(&request(3, &[1, 66])),
        Some(Suspect::Segment(66))
    );
}

/// A request that crashed three upstreams in its attempts is refused, and the segment as soon as it
/// crashes a fourth in another request.
#[test]
fn segment_is_poison_after_the_first_crash_by_another_request() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    let repeated = request(1, &[66]);
    for upstream in UPSTREAMS {
        crash(&mut poison, upstream, &[&repeated], now);
    }
    assert_eq!(poison.poison(&repeated), Some(repeated[0].suspect));
    assert_eq!(poison.poison(&request(2, &[66])), None);
    crash(&mut poison, "u4", &[&request(2, &[66])], now);
    assert_eq!(
        poison.poison(&request(3, &[66])),
        Some(Suspect::Segment(66))
    );
}

/// A wrong choice is corrected by the next crash.
#[test]
fn segment_of_more_crashes_replaces_one_that_it_explains() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for (upstream, n) in UPSTREAMS.into_iter().zip(10..) {
        crash(&mut poison, upstream, &[&request(n, &[66, 5])], now);
    }
    assert_eq!(poison.poison(&request(2, &[5])), Some(Suspect::Segment(5)));
    crash(&mut poison, "u4", &[&request(3, &[66])], now);
    assert_eq!(
        poison.poison(&request(4, &[66])),
        Some(Suspect::Segment(66))
    );
    assert_eq!(poison.poison(&request(2, &[5])), None);
}

/// A daemon that has seen a segment survive tells one that suspects it.
#[test]
fn survival_at_another_daemon_clears_a_segment() {
    let now = Instant::now();
    let (mut here, mut there) = (PoisonTracker::default(), PoisonTracker::default());
    survive(&mut there, "u9", &request(9, &[5]), now);
    for (upstream, n) in UPSTREAMS.into_iter().zip(10..) {
        crash(&mut here, upstream, &[&request(n, &[5])], now);
    }
    assert_eq!(here.poison(&request(2, &[5])), Some(Suspect::Segment(5)));
    tell(&here, &mut there, now);
    tell(&there, &mut here, now);
    assert_eq!(here.poison(&request(2, &[5])), None);
}

/// A daemon that was frozen may read a response of before the crash long after it.
#[test]
fn response_to_an_early_request_does_not_clear_a_run() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for (upstream, n) in UPSTREAMS.into_iter().zip(10..) {
        begin(&mut poison, upstream, &request(n, &[66]), now);
        let late = now + Duration::from_secs(1);
        let (id, incarnation) = (upstream.into(), incarnation(upstream));
        poison.run_began(&id, incarnation, &request(n + 10, &[5]), now, late);
        poison.upstream_stopped(upstream, StopSource::Own, late);
    }
    let poisonous = request(1, &[66]);
    assert_eq!(poison.poison(&poisonous), Some(Suspect::Segment(66)));
}

/// The gateway drops the run of a small model as soon as its response begins.
#[test]
fn run_that_was_dropped_counts_if_its_upstream_stops() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for (upstream, n) in UPSTREAMS.into_iter().zip(10..) {
        begin(&mut poison, upstream, &request(n, &[66]), now);
        poison.upstream_stopped(upstream, StopSource::Own, now + DETECTION_TIME);
    }
    let poisonous = request(2, &[66]);
    assert_eq!(poison.poison(&poisonous), Some(Suspect::Segment(66)));
}

/// Sound requests that ran on restarted upstreams, whose rows were read a moment later, were counted as their
/// crashes: the segments that they share were refused.
#[test]
fn run_on_a_restarted_upstream_is_not_a_crash_before_its_row_is_read() {
    let now = Instant::now();
    let rows: Vec<_> = UPSTREAMS.map(|id| upstream(id, 1, "ready")).into();
    let mut dispatcher = ready(&rows, now);
    let mut assignment = assign(&mut dispatcher, &placement_request(1), now);
    let refused = now + RUN_TIME + DETECTION_TIME;
    let restarted = refused + Duration::from_millis(400);
    let (crashing, sound) = (request(1, &[1, 66]), request(2, &[1, 5]));
    for (id, version) in UPSTREAMS.into_iter().zip(2..) {
        assignment.upstream = id.into();
        dispatcher.run_began(&assignment, &crashing, now);
        dispatcher.connection_broken(&assignment, &crashing, now + RUN_TIME);
        dispatcher.connection_lost(&id.into(), Loss::Refused, refused);
        dispatcher.run_began(&assignment, &sound, restarted);
        let row = upstream_with(id, version, &[("born", 2.into())]);
        dispatcher.registry.apply(&[row], restarted);
        dispatcher.upstream_stopped(id, restarted);
    }
    let poison = dispatcher.poison;
    let reports = poison.reports(restarted);
    let counted: Vec<Suspect> = reports.iter().map(|report| report.suspect).collect();
    assert!(counted.contains(&Suspect::Segment(66)), "{counted:?}");
    assert!(!counted.contains(&Suspect::Segment(5)), "{counted:?}");
}

/// A crash of a restarted upstream by a run that began before its row was read was not counted for the run's
/// segments.
#[test]
fn crash_by_a_run_that_began_before_the_row_was_read_counts() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    let id = "u1".into();
    let (before, after) = (incarnation("u1"), incarnation("u1 restarted"));
    let crashing = request(1, &[66]);
    poison.run_began(&id, before, &crashing, now, now);
    poison.connection_broken(&id, before, &crashing, now + RUN_TIME);
    poison.connection_refused(&id, before);
    let again = request(2, &[66]);
    let restarted = now + Duration::from_millis(700);
    poison.run_began(&id, before, &again, restarted, restarted);
    poison.upstream_stopped("u1", StopSource::Own, restarted);
    poison.incarnation_known("u1", after);
    let broken = restarted + RUN_TIME;
    poison.connection_broken(&id, after, &again, broken);
    poison.upstream_stopped("u1", StopSource::Own, broken + DETECTION_TIME);
    let reports = poison.reports(broken);
    let segment = reports
        .iter()
        .find(|report| report.suspect == Suspect::Segment(66));
    let mut crashes = segment.expect("counted").crashes.clone();
    crashes.sort_unstable();
    let mut expected = [before, after];
    expected.sort_unstable();
    assert_eq!(crashes, expected);
}

/// What is refused is told to daemons that start later; it is forgotten after its last crash.
#[test]
fn poison_is_told_until_it_expires() {
    let now = Instant::now();
    let mut here = PoisonTracker::default();
    for (upstream, n) in UPSTREAMS.into_iter().zip(10..) {
        crash(&mut here, upstream, &[&request(n, &[66])], now);
    }
    let poisonous = request(2, &[66]);
    let later = now + Duration::from_secs(200);
    let mut started = PoisonTracker::default();
    tell(&here, &mut started, later);
    assert_eq!(started.poison(&poisonous), Some(Suspect::Segment(66)));
    let end = now + Duration::from_secs(301);
    for tracker in [&mut here, &mut started] {
        tracker.expire(end);
        assert_eq!(tracker.poison(&poisonous), None);
    }
}
