//! Tests of upstreams that announce in their responses that they leave or want a pause.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, NoSlotReason, Placement,
    announcements::Announcement,
    health::AttemptOutcome,
    heartbeat::{Readiness, TableState},
};
use http::{HeaderMap, StatusCode};
use platform::headers::{PauseRequest, ResponseHead};
use serde_json::json;

use crate::support::{address, assign, heartbeat, ready, request, row, upstream, upstream_with};

const PAUSE: Duration = Duration::from_secs(3);
/// Time after a pause by which each daemon may send again.
const RESUMED: Duration = Duration::from_millis(3_700);

fn head(leaving: bool, pause: Option<PauseRequest>) -> ResponseHead {
    ResponseHead {
        leaving,
        pause,
        ..ResponseHead::decode(StatusCode::OK, &HeaderMap::new(), None)
    }
}

/// Sends a request that the upstream refuses with a pause.
fn refuse_with_pause(dispatcher: &mut Dispatcher, assignment: &Assignment, now: Instant) {
    let head = head(false, Some(PauseRequest::For(PAUSE)));
    dispatcher.record_announcements(assignment, &head, now);
    dispatcher.release(assignment, AttemptOutcome::Refused, now);
}

/// Counts the placements of 100 requests, spread over a second, on an upstream.
fn count_on(dispatcher: &mut Dispatcher, id: &str, from: Instant) -> usize {
    let mut count = 0;
    for n in 0..100 {
        let now = from + Duration::from_millis(10) * n;
        if let Placement::Assigned(assignment) =
            dispatcher.select_upstream(&request(u64::from(n)), now)
        {
            count += usize::from(assignment.upstream == id);
            dispatcher.release(&assignment, AttemptOutcome::Served, now);
        }
    }
    count
}

/// Half of the requests still went to an upstream that had said that it leaves.
#[test]
fn leaving_upstream_gets_no_requests_until_it_restarts() {
    let now = Instant::now();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    let mut dispatcher = ready(&rows, now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    let id = assignment.upstream.clone();
    let announced = dispatcher.record_announcements(&assignment, &head(true, None), now);
    assert_eq!(announced, [Announcement::Leaving]);
    dispatcher.release(&assignment, AttemptOutcome::Served, now);
    assert_eq!(count_on(&mut dispatcher, &id, now), 0);

    // An older row of the same incarnation, also after its removal, changes nothing.
    dispatcher.registry.apply(&[upstream(&id, 3, "ready")], now);
    assert_eq!(count_on(&mut dispatcher, &id, now), 0);
    dispatcher.registry.apply(&[row(&id, 4, None)], now);
    dispatcher.registry.apply(&[upstream(&id, 1, "ready")], now);
    assert_eq!(count_on(&mut dispatcher, &id, now), 0);

    let restarted = upstream_with(&id, 5, &[("born", json!(2))]);
    dispatcher.registry.apply(&[restarted], now);
    let later = now + Duration::from_secs(10);
    assert!(count_on(&mut dispatcher, &id, later) > 0);
}

/// A response that arrives after the entry was removed announces that the upstream leaves; an entry of
/// a restored copy does not revive it.
#[test]
fn announcement_after_the_entry_was_removed_is_kept() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    dispatcher.registry.apply(&[row("u1", 2, None)], now);
    let announced = dispatcher.record_announcements(&assignment, &head(true, None), now);
    assert_eq!(announced, [Announcement::Leaving]);
    let entries = [upstream("u1", 1, "ready"), upstream("u2", 3, "ready")];
    dispatcher.registry.replace(&entries, now);
    assert_eq!(count_on(&mut dispatcher, "u1", now), 0);
}

#[test]
fn late_response_of_an_earlier_incarnation_announces_nothing() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    let restarted = upstream_with("u1", 2, &[("born", json!(2))]);
    dispatcher.registry.apply(&[restarted], now);
    let announced = dispatcher.record_announcements(&assignment, &head(true, None), now);
    assert_eq!(announced, []);
    assign(&mut dispatcher, &request(2), now + Duration::from_secs(5));
}

#[test]
fn leaving_upstream_is_reported_to_peers() {
    let now = Instant::now();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    let mut first = ready(&rows, now);
    let assignment = assign(&mut first, &request(1), now);
    first.record_announcements(&assignment, &head(true, None), now);
    let mut second = ready(&rows, now);
    let report = first.heartbeat(address(1), Readiness::Ready, Duration::ZERO, now);
    let mut from_peer = heartbeat("front-2", TableState::Reachable);
    from_peer.leaving = report.leaving;
    second.receive_heartbeat(from_peer, address(2), now);
    assert_eq!(count_on(&mut second, &assignment.upstream, now), 0);
}

/// At most two requests may reach an upstream during its pause; none is sent.
#[test]
fn paused_upstream_gets_no_requests_and_then_a_single_one() {
    let now = Instant::now();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    let mut dispatcher = ready(&rows, now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    let id = assignment.upstream.clone();
    refuse_with_pause(&mut dispatcher, &assignment, now);
    for second in 0..2 {
        let from = now + Duration::from_secs(second);
        assert_eq!(count_on(&mut dispatcher, &id, from), 0, "after {second} s");
    }
    let resumed = now + RESUMED;
    let outstanding: Vec<Assignment> = (0..4)
        .map(|n| assign(&mut dispatcher, &request(n), resumed))
        .collect();
    let mut trials = outstanding.iter().filter(|a| a.upstream == id);
    let mut trial = trials.next().expect("a trial").clone();
    assert!(trials.next().is_none(), "more than one request on trial");
    dispatcher.response_started(&mut trial, Duration::from_millis(100));
    for assignment in &outstanding {
        dispatcher.release(assignment, AttemptOutcome::Served, resumed);
    }
    assert!(count_on(&mut dispatcher, &id, resumed + PAUSE) > 20);
}

/// Streams that were accepted before the pause don't keep the upstream out of use after it.
#[test]
fn stream_from_before_the_pause_does_not_prolong_it() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let mut stream = assign(&mut dispatcher, &request(1), now);
    dispatcher.response_started(&mut stream, Duration::from_millis(50));
    let refused = assign(&mut dispatcher, &request(2), now);
    refuse_with_pause(&mut dispatcher, &refused, now);
    assign(&mut dispatcher, &request(3), now + RESUMED);
}

/// When all upstreams want a pause, requests are refused at once until the first pause ends.
#[test]
fn all_paused_is_refused_with_the_time_left() {
    let now = Instant::now();
    let rows = [upstream("u1", 1, "ready"), upstream("u2", 2, "ready")];
    let mut dispatcher = ready(&rows, now);
    for n in 0..2 {
        let assignment = assign(&mut dispatcher, &request(n), now);
        refuse_with_pause(&mut dispatcher, &assignment, now);
    }
    let later = now + Duration::from_secs(1);
    let placement = dispatcher.select_upstream(&request(9), later);
    let Placement::Refuse(NoSlotReason::AllPaused, wait) = placement else {
        panic!("{placement:?}");
    };
    assert!(wait >= Duration::from_secs(2) && wait < RESUMED, "{wait:?}");
}

/// Daemons that were all told to pause at the same time don't return at the same time.
#[test]
fn ends_of_pauses_are_spread() {
    let now = Instant::now();
    let ends: std::collections::BTreeSet<Duration> = (1..=8)
        .map(|seed| {
            let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
            for _ in 0..seed {
                // Advances the generator, as other requests would.
                let other = assign(&mut dispatcher, &request(1), now);
                dispatcher.release(&other, AttemptOutcome::Served, now);
            }
            let assignment = assign(&mut dispatcher, &request(1), now);
            refuse_with_pause(&mut dispatcher, &assignment, now);
            match dispatcher.select_upstream(&request(2), now) {
                Placement::Refuse(_, wait) => wait,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    assert!(ends.len() > 4, "{ends:?}");
}

#[test]
fn invalid_pause_is_ignored_and_a_very_long_one_is_shortened() {
    let now = Instant::now();
    let mut dispatcher = ready(&[upstream("u1", 1, "ready")], now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    let invalid = head(false, Some(PauseRequest::Invalid));
    assert_eq!(
        dispatcher.record_announcements(&assignment, &invalid, now),
        [Announcement::InvalidPause]
    );
    assign(&mut dispatcher, &request(2), now);
    let days = head(
        false,
        Some(PauseRequest::For(Duration::from_secs(1_000_000))),
    );
    dispatcher.record_announcements(&assignment, &days, now);
    assign(
        &mut dispatcher,
        &request(3),
        now + Duration::from_secs(3_600),
    );
}

/// A pause that began while the upstream was cold ends no earlier than the cold rate limit allows.
#[test]
fn pause_of_a_cold_upstream_is_kept() {
    let now = Instant::now();
    let cold = upstream_with("u1", 1, &[("cold_remaining_ms", json!(1_000))]);
    let mut dispatcher = ready(&[cold], now);
    let assignment = assign(&mut dispatcher, &request(1), now);
    refuse_with_pause(&mut dispatcher, &assignment, now);
    for ms in [100, 1_500, 2_900] {
        let later = now + Duration::from_millis(ms);
        let placement = dispatcher.select_upstream(&request(2), later);
        assert!(
            matches!(placement, Placement::Refuse(NoSlotReason::AllPaused, _)),
            "after {ms} ms: {placement:?}"
        );
    }
}
