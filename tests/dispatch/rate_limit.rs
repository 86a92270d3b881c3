//! Fleets that send to upstreams which have named a limit.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Dispatcher, NoSlotReason, Placement,
    health::AttemptOutcome,
    heartbeat::{Heartbeat, Readiness},
};
use http::{HeaderMap, StatusCode};
use platform::headers::{RateLimit, ResponseHead};
use serde_json::json;

use crate::support::{
    LIMITS, address, assign, configuration, daemon, exchange_loads, heartbeat, order, ready,
    receive_heartbeat, request, upstream_with,
};

/// Time between the heartbeats of a daemon.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Time between two requests to a daemon of a large fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// Maximum time between two requests to the fleet.
const MAX_INTERVAL: Duration = Duration::from_millis(10);
/// Time from the first answer with a limit until it must be respected.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the upstream names its limit.
const LIMITED_TIME: Duration = Duration::from_secs(15);
/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(24);
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the head of an answer.
fn head(rate_limit: Option<RateLimit>) -> ResponseHead {
    ResponseHead {
        rate_limit,
        ..ResponseHead::decode(StatusCode::OK, &HeaderMap::new(), None)
    }
}

/// Daemons before nine upstreams, of which the first names a limit for a while.
struct Fleet {
    daemons: Vec<Dispatcher>,
    start: Instant,
    per_kilosecond: u32,
    /// Arrivals at the limited upstream, and the time from the start.
    arrivals: Vec<Duration>,
}

impl Fleet {
    fn new(size: usize, per_kilosecond: u32, start: Instant) -> Self {
        let rows: Vec<_> = (1..=9)
            .map(|n| upstream_with(&format!("u{n}"), n, &[("slots", json!(512))]))
            .collect();
        let daemons = (0..size).map(|n| {
            let me = daemon(&format!("front-{n}"));
            let mut dispatcher = Dispatcher::new(me, "a".into(), LIMITS, n as u64);
            order(&mut dispatcher, &configuration(1), start);
            dispatcher.registry.replace(&rows, start);
            dispatcher
        });
        let mut fleet = Self {
            daemons: daemons.collect(),
            start,
            per_kilosecond,
            arrivals: Vec::new(),
        };
        fleet.exchange_heartbeats(start);
        fleet
    }

    fn exchange_heartbeats(&mut self, now: Instant) {
        let heartbeats: Vec<Heartbeat> = self
            .daemons
            .iter_mut()
            .map(|d| d.heartbeat(address(1), Readiness::Ready, Duration::ZERO, now))
            .collect();
        for daemon in &mut self.daemons {
            receive_heartbeat(daemon, &heartbeats, now);
            daemon.tick(now);
        }
        exchange_loads(&mut self.daemons, now);
    }

    /// Sends one request through a daemon.
    fn send(&mut self, n: usize, now: Instant) {
        let elapsed = now - self.start;
        let daemon_index = n % self.daemons.len();
        let daemon = &mut self.daemons[daemon_index];
        let assignment = assign(daemon, &request(n as u64), now);
        let is_limited = assignment.upstream == "u1" && elapsed < LIMITED_TIME;
        let limit = is_limited.then_some(RateLimit::PerKilosecond(self.per_kilosecond));
        if assignment.upstream == "u1" {
            self.arrivals.push(elapsed);
        }
        daemon.record_announcements(&assignment, &head(limit), now + Duration::from_millis(1));
        daemon.release(&assignment, AttemptOutcome::Served, now);
    }

    fn run(&mut self) {
        let mut now = self.start;
        let mut next_heartbeat = self.start;
        let size = u32::try_from(self.daemons.len()).expect("few daemons");
        let interval = (REQUEST_INTERVAL / size).min(MAX_INTERVAL);
        for n in 0.. {
            now += interval;
            if now - self.start > DURATION {
                return;
            }
            if now >= next_heartbeat {
                next_heartbeat += HEARTBEAT_PERIOD;
                self.exchange_heartbeats(now);
            }
            self.send(n, now);
        }
    }

    fn arrivals_between(&self, from: Duration, until: Duration) -> usize {
        let within = |at: &&Duration| **at >= from && **at < until;
        self.arrivals.iter().filter(within).count()
    }
}

/// Each daemon heard of the limit by itself, if at all, and sent its usual share.
#[test]
fn fleet_stays_within_the_limit_that_an_upstream_named() {
    for (size, per_second) in [
        (1, 2.0),
        (8, 0.0),
        (8, 0.5),
        (8, 1.5),
        (8, 2.3),
        (8, 6.0),
        (40, 1.5),
        (40, 4.0),
    ] {
        let case = format!("{size} daemons, {per_second} a second");
        let mut fleet = Fleet::new(size, (per_second * 1e3) as u32, Instant::now());
        fleet.run();
        let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
        let limited = fleet.arrivals.clone();
        for from in limited.iter().filter(|at| **at >= CONTACT_TIME) {
            let until = (*from + WINDOW).min(LIMITED_TIME);
            let count = fleet.arrivals_between(*from, until);
            assert!(count as f64 <= allowed, "{case}: {count} from {from:?}");
        }
        let used = fleet.arrivals_between(CONTACT_TIME, LIMITED_TIME) as f64;
        let named = per_second * (LIMITED_TIME - CONTACT_TIME).as_secs_f64();
        assert!(used >= named / 2.0, "{case}: {used} of {named}");
        // All use it as before some seconds after it has ended.
        let usual = fleet.arrivals_between(Duration::ZERO, Duration::from_millis(500));
        let ended = fleet.arrivals_between(DURATION - Duration::from_secs(1), DURATION);
        assert!(
            ended >= usual.max(4),
            "{case}: {ended} after the end, {usual} before"
        );
    }
}

/// Without an upstream that may take more, a request is refused at once, with the time to come back.
#[test]
fn request_is_refused_at_once_if_all_upstreams_are_limited() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream_with("u1", 1, &[("slots", json!(512))])], now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    let limit = head(Some(RateLimit::PerKilosecond(2_000)));
    dispatcher.record_announcements(&assignment, &limit, now);
    dispatcher.release(&assignment, AttemptOutcome::Served, now);
    let now = now + Duration::from_secs(1);
    assign(&mut dispatcher, &request(2), now);
    match dispatcher.select_upstream(&request(3), now) {
        Placement::Refuse(NoSlotReason::AllLimited, wait) => {
            assert!(
                wait > Duration::ZERO && wait < Duration::from_secs(1),
                "{wait:?}"
            );
            assign(&mut dispatcher, &request(4), now + wait);
        }
        other => panic!("{other:?}"),
    }
}

/// The newest answer decides, whichever daemon got it, and a late one from before does not count.
#[test]
fn newest_answer_decides_on_a_limit() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let row = upstream_with("u1", 1, &[("slots", json!(512))]);
    let mut dispatcher = ready(std::slice::from_ref(&row), start);
    let limit = |d: &Dispatcher, now| d.registry.get("u1").expect("listed").limit.per_second(now);
    let early = assign(&mut dispatcher, &request(1), at(0));
    let named = assign(&mut dispatcher, &request(2), at(10));
    let two = head(Some(RateLimit::PerKilosecond(2_000)));
    dispatcher.record_announcements(&named, &two, at(20));
    assert_eq!(limit(&dispatcher, at(20)), Some(2.0));
    dispatcher.record_announcements(&early, &head(None), at(30));
    assert_eq!(
        limit(&dispatcher, at(30)),
        Some(2.0),
        "sent before the limit was named"
    );
    let invalid = head(Some(RateLimit::Invalid));
    dispatcher.record_announcements(&early, &invalid, at(40));
    assert_eq!(limit(&dispatcher, at(40)), Some(2.0), "invalid");
    let later = dispatcher.heartbeat(address(1), Readiness::Ready, Duration::ZERO, at(50));
    let mut other = ready(std::slice::from_ref(&row), start);
    let mut message = heartbeat("front-2", later.table);
    message.limits = later.limits;
    receive_heartbeat(&mut other, &[message], at(60));
    assert_eq!(limit(&other, at(60)), Some(2.0), "from a peer");
    let last = assign(&mut dispatcher, &request(3), at(2_000));
    dispatcher.record_announcements(&last, &head(None), at(2_100));
    assert_eq!(limit(&dispatcher, at(2_100)), None);
    // Another incarnation has not named any.
    let again = upstream_with("u1", 2, &[("slots", json!(512)), ("born", json!(2))]);
    other.registry.apply(&[again], at(2_200));
    assert_eq!(limit(&other, at(2_200)), None);
}
