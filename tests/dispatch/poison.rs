//! Tests of requests that crash upstreams and are sent again to other daemons.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::poison::{PoisonTracker, fingerprint};

use crate::support::daemon;

fn crash(poison: &mut PoisonTracker, upstream: &str, fingerprint: u64, now: Instant) {
    poison.connection_broken(upstream.into(), fingerprint, now);
    poison.upstream_stopped(upstream, now + Duration::from_millis(300));
}

#[test]
fn third_crash_on_any_daemon_marks_the_request_as_poison() {
    let now = Instant::now();
    let f = fingerprint(Some("t1"), "/a/", b"body");
    let (mut here, mut there) = (PoisonTracker::default(), PoisonTracker::default());
    crash(&mut here, "u1", f, now);
    crash(&mut there, "u2", f, now);
    crash(&mut there, "u3", f, now);
    assert!(!here.is_poison(f));
    here.merge(&daemon("front-2"), &there.own_crashes());
    here.merge(&daemon("front-2"), &there.own_crashes());
    assert!(here.is_poison(f));
}

#[test]
fn broken_connection_of_a_live_upstream_is_not_a_crash() {
    let now = Instant::now();
    let f = fingerprint(None, "/a/", b"");
    let mut poison = PoisonTracker::default();
    for _ in 0..9 {
        poison.connection_broken("u1".into(), f, now);
    }
    poison.upstream_stopped("u1", now + Duration::from_secs(9));
    assert!(!poison.is_poison(f));
}

#[test]
fn fingerprint_distinguishes_customers_paths_and_bodies() {
    let f = fingerprint(Some("t1"), "/a/", b"body");
    assert_ne!(f, fingerprint(Some("t2"), "/a/", b"body"));
    assert_ne!(f, fingerprint(Some("t1"), "/a/b", b"ody"));
    assert_eq!(f, fingerprint(Some("t1"), "/a/", b"body"));
}
