//! A request that crashes each upstream that runs it and comes again at any daemon.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::poison::{Poison, fingerprint};

use crate::support::daemon;

fn crash(poison: &mut Poison, upstream: &str, fingerprint: u64, now: Instant) {
    poison.broke(upstream.into(), fingerprint, now);
    poison.died(upstream, now + Duration::from_millis(300));
}

#[test]
fn third_crash_condemns_whichever_daemon_saw_it() {
    let now = Instant::now();
    let f = fingerprint(Some("t1"), "/a/", b"body");
    let (mut here, mut there) = (Poison::default(), Poison::default());
    crash(&mut here, "u1", f, now);
    crash(&mut there, "u2", f, now);
    crash(&mut there, "u3", f, now);
    assert!(!here.is_poison(f));
    here.merge(&daemon("front-2"), &there.told());
    here.merge(&daemon("front-2"), &there.told());
    assert!(here.is_poison(f));
}

#[test]
fn broken_connection_of_a_living_upstream_is_no_crash() {
    let now = Instant::now();
    let f = fingerprint(None, "/a/", b"");
    let mut poison = Poison::default();
    for _ in 0..9 {
        poison.broke("u1".into(), f, now);
    }
    poison.died("u1", now + Duration::from_secs(9));
    assert!(!poison.is_poison(f));
}

#[test]
fn fingerprint_tells_customers_paths_and_bodies_apart() {
    let f = fingerprint(Some("t1"), "/a/", b"body");
    assert_ne!(f, fingerprint(Some("t2"), "/a/", b"body"));
    assert_ne!(f, fingerprint(Some("t1"), "/a/b", b"ody"));
    assert_eq!(f, fingerprint(Some("t1"), "/a/", b"body"));
}
