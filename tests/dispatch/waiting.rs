//! The order of waiting requests, and what heartbeats carry of them.

use std::time::{Duration, Instant};

use hibiscusyoke::{
    coordination::{
        admission::{Admission, Arrival, Traits},
        dispatch::{heartbeat::TableState, overload::OverloadReport},
    },
    protocol::codec,
};

use crate::support::heartbeat;

/// Adds a request to a queue.
fn enqueue(admission: &mut Admission, id: u64, customer: &str, priority: u8, now: Instant) {
    let arrival = Arrival {
        id,
        customer: customer.into(),
        weight: 1,
        queue: u32::MAX,
        priority: u8::MAX - priority,
        deadline: now + Duration::from_secs(60),
    };
    let traits = Traits {
        route: priority.into(),
        session: id,
        work: Duration::from_millis(100),
        latest_start: arrival.deadline,
        returning: false,
    };
    assert!(admission.enqueue(&arrival, traits), "the queue is full");
}

/// A route or customer whose requests always have others before them never started.
#[test]
fn route_and_customer_that_wait_get_one_in_twenty_starts() {
    let now = Instant::now();
    let mut admission = Admission::default();
    for id in 0..100 {
        enqueue(&mut admission, id, "large", 0, now);
    }
    for id in 1_000..1_020 {
        enqueue(&mut admission, id, "small", 2, now);
    }
    let mut small = 0;
    for start in 1..=200 {
        let id = admission.head(now, |_| true).expect("one waits");
        admission.start(id);
        match id {
            1_000.. => small += 1,
            _ => enqueue(&mut admission, 100 + start, "large", 0, now),
        }
        assert!(small >= start / 20, "{small} of {start} starts");
    }
    assert!(small <= 20, "{small} of 200 starts");
}

/// A heartbeat of a fleet whose upstreams are not full must not grow.
#[test]
fn heartbeat_without_overload_takes_no_bytes_for_it() {
    let mut beat = heartbeat("front-2", TableState::Reachable);
    let others = (
        (
            &beat.from,
            beat.sequence,
            &beat.liveness,
            beat.caller_address,
        ),
        (beat.readiness, &beat.links, &beat.domain, beat.link_mbps),
        (beat.table, beat.generation, beat.table_era),
        (beat.newest_order_version, beat.newest_upstream_version),
        (
            beat.awaits_upstreams,
            &beat.loads,
            &beat.busy,
            &beat.rollouts,
        ),
        (&beat.suspects, &beat.leaving, &beat.limits, &beat.brittle),
    );
    let expected = codec::encode(&others).expect("encoded");
    let bytes = codec::encode(&beat).expect("encoded");
    assert_eq!(bytes, expected);
    assert_eq!(codec::decode(&bytes).ok().as_ref(), Some(&beat));
    beat.overload.push(OverloadReport {
        service: "pool".into(),
        full_age_ms: 20,
        running: 3,
        started_ms: 900,
        arrived_ms: vec![700, 0, 1_300],
    });
    let bytes = codec::encode(&beat).expect("encoded");
    assert_eq!(codec::decode(&bytes).ok(), Some(beat));
}
