//! Failures of links and daemons in large fleets, in which loads go only to the users of an engine.

use std::time::{Duration, Instant};

use hibiscusyoke::coordination::dispatch::{
    Assignment, Dispatcher, Placement, PlacementRequest, health::AttemptOutcome,
    heartbeat::Readiness,
};
use platform::UpstreamId;

use crate::{
    control_network::{ControlNetwork, DOMAINS},
    fleet::peer_address,
    support::{LIMITS, address, assign, configuration, daemon, order, request, upstream},
};

/// Maximum time until all daemons know that others have crashed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);
/// Daemons of a fleet.
const DAEMONS: usize = 60;
/// Number of daemons from which on loads are sent as updates, so that a small fleet shows their loss.
const LARGE_FLEET: usize = 20;

/// Half of the links to other failure domains carry nothing: all daemons still count as live, as others
/// pass on their signs of life.
#[test]
fn daemons_stay_live_while_half_of_the_links_are_cut() {
    let mut network = ControlNetwork::new(DAEMONS);
    network.run(Duration::from_secs(1));
    network.is_cut = |from, to| from % DOMAINS != to % DOMAINS && (from + to) % 2 == 0;
    for _ in 0..8 {
        network.run(Duration::from_millis(500));
        for n in 0..DAEMONS {
            assert_eq!(network.live_count(n), DAEMONS - 1, "daemon {n}");
        }
    }
}

/// All daemons of a failure domain crash, also those that forward to it and from it.
#[test]
fn loss_of_a_domain_is_known_in_time() {
    let mut network = ControlNetwork::new(DAEMONS);
    network.run(Duration::from_secs(2));
    for n in (0..DAEMONS).filter(|n| n % DOMAINS == 1) {
        network.crashed[n] = true;
    }
    network.run(MAX_DETECTION_TIME);
    let survivors = network.survivors();
    for n in &survivors {
        assert_eq!(network.live_count(*n) + 1, survivors.len(), "daemon {n}");
    }
}

/// A fleet in which all daemons have heard of each other, before engines with four slots.
fn fleet(size: usize, engines: usize, now: Instant) -> Vec<Dispatcher> {
    let rows: Vec<_> = (0..engines)
        .map(|n| upstream(&format!("engine-{n}"), 1, "ready"))
        .collect();
    let new = |n: usize| {
        let me = daemon(&format!("front-{n}"));
        let mut dispatcher = Dispatcher::new(me, "a".into(), LIMITS, n as u64);
        dispatcher.set_large_fleet(LARGE_FLEET);
        order(&mut dispatcher, &configuration(1), now);
        dispatcher.registry.replace(&rows, now);
        dispatcher
    };
    let mut daemons: Vec<Dispatcher> = (0..size).map(new).collect();
    exchange_heartbeats(&mut daemons, now);
    daemons
}

fn exchange_heartbeats(daemons: &mut [Dispatcher], now: Instant) {
    for n in 0..daemons.len() {
        let message = daemons[n].heartbeat(address(1), Readiness::Ready, Duration::ZERO, now);
        for daemon in daemons.iter_mut() {
            daemon.receive_heartbeat(message.clone(), peer_address(n), now);
        }
    }
    for daemon in daemons {
        daemon.tick(now);
    }
}

/// Returns whether a daemon finds a slot on an engine, and gives it back.
fn finds_slot(daemon: &mut Dispatcher, request: &PlacementRequest<'_>, now: Instant) -> bool {
    match daemon.select_upstream(request, now) {
        Placement::Assigned(assignment) => {
            daemon.release(&assignment, AttemptOutcome::Abandoned, now);
            true
        }
        _ => false,
    }
}

/// The update that told of a load, or of its end, is lost; the next full state makes up for it.
#[test]
fn lost_load_update_is_made_up_for_within_two_heartbeat_periods() {
    let start = Instant::now();
    let mut daemons = fleet(30, 1, start);
    let period = daemons[0].peers.heartbeat_period();
    let mut now = start;
    let mut taken: Vec<Assignment> = Vec::new();
    for is_taken in [true, false] {
        match is_taken {
            true => taken.extend((0..4).map(|n| assign(&mut daemons[0], &request(n), now))),
            false => {
                for assignment in taken.drain(..) {
                    daemons[0].release(&assignment, AttemptOutcome::Served, now);
                }
            }
        }
        let lost = daemons[0].load_updates(now);
        assert!(!lost.is_empty(), "an update is sent");
        let until = now + period * 2;
        while now < until {
            let interval = daemons[0].load_update_interval();
            now += interval;
            for (receiver, update) in daemons[0].load_updates(now.min(until)) {
                if receiver == peer_address(7) {
                    daemons[7].receive_load_update(&update, now.min(until));
                }
            }
        }
        let found = finds_slot(&mut daemons[7], &request(9), until);
        assert_eq!(found, !is_taken, "slots are taken: {is_taken}");
        now = until;
    }
}

/// A daemon that has an engine only as the home of a prefix hears from the engine's users that it is full.
#[test]
fn daemon_that_does_not_use_an_engine_knows_that_it_is_full() {
    const ENGINES: usize = 60;
    let now = Instant::now();
    let mut daemons = fleet(30, ENGINES, now);
    let ids: Vec<UpstreamId> = (0..ENGINES).map(|n| format!("engine-{n}").into()).collect();
    let others: Vec<UpstreamId> = ids.iter().skip(1).cloned().collect();
    let only_first = |session| PlacementRequest {
        tried: &others,
        ..request(session)
    };
    let taken: Vec<Assignment> = (0..4)
        .map(|n| assign(&mut daemons[0], &only_first(n), now))
        .collect();
    let users = daemons[0].notice_receivers(&taken[0], now);
    assert!(users.len() < 15, "some daemons do not use the engine");
    for (receiver, update) in daemons[0].load_updates(now) {
        let n = usize::from(receiver.port() - peer_address(0).port());
        daemons[n].receive_load_update(&update, now);
    }
    exchange_heartbeats(&mut daemons, now);
    let outsiders = (1..30).filter(|n| !users.contains(&peer_address(*n)));
    for n in outsiders {
        let found = finds_slot(&mut daemons[n], &only_first(9), now);
        assert!(!found, "daemon {n} sends to a full engine");
    }
}
