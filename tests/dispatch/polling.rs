//! Tests of which daemons of a large fleet poll the table.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use hibiscusyoke::coordination::dispatch::{
    heartbeat::{Heartbeat, Readiness, TableState},
    polling::{PollingCandidate, PollingRole, PollingTurn, polling_role, polling_turn},
};
use platform::RowVersion;

use crate::support::{address, dispatcher, heartbeat, version_of};

struct Daemon {
    name: CompactString,
    domain: CompactString,
    link_mbps: u32,
    lost: bool,
}

fn fleet(count: usize, domains: usize) -> Vec<Daemon> {
    (0..count)
        .map(|i| Daemon {
            name: format!("front-{i}").into(),
            domain: format!("domain-{}", i % domains).into(),
            link_mbps: 10,
            lost: false,
        })
        .collect()
}

fn candidates(fleet: &[Daemon]) -> Vec<PollingCandidate<'_>> {
    fleet
        .iter()
        .map(|d| PollingCandidate {
            name: &d.name,
            domain: &d.domain,
            link_mbps: d.link_mbps,
            lost: d.lost,
        })
        .collect()
}

fn polling_roles(fleet: &[Daemon]) -> Vec<PollingRole> {
    let candidates = candidates(fleet);
    fleet
        .iter()
        .map(|d| polling_role(&d.name, &candidates))
        .collect()
}

fn count(polling_roles: &[PollingRole], wanted: PollingRole) -> usize {
    polling_roles
        .iter()
        .filter(|polling_role| **polling_role == wanted)
        .count()
}

#[test]
fn one_daemon_in_each_of_three_domains_polls() {
    for (daemons, domains, polling) in [
        (1, 1, 1),
        (2, 1, 2),
        (85, 1, 2),
        (85, 2, 2),
        (8, 3, 3),
        (340, 13, 3),
    ] {
        let polling_roles = polling_roles(&fleet(daemons, domains));
        assert_eq!(
            count(&polling_roles, PollingRole::Poll),
            polling,
            "{daemons} daemons in {domains} domains"
        );
        assert_eq!(
            count(&polling_roles, PollingRole::Listen),
            daemons - polling
        );
    }
}

/// The polling daemons lose connectivity to the table; others take over, and those that lost it
/// retry.
#[test]
fn daemons_without_table_connectivity_are_replaced_as_pollers() {
    let mut fleet = fleet(8, 3);
    let before = polling_roles(&fleet);
    for (daemon, polling_role) in fleet.iter_mut().zip(&before) {
        daemon.lost = *polling_role == PollingRole::Poll;
    }
    let after = polling_roles(&fleet);
    assert_eq!(count(&after, PollingRole::Poll), 3);
    assert_eq!(count(&after, PollingRole::Retry), 3);
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(b, a)| *b != PollingRole::Poll || *a == PollingRole::Retry)
    );
}

/// A change had to cross the narrow link of each poller before anyone could pass it on.
#[test]
fn daemons_with_the_widest_links_poll() {
    let mut fleet = fleet(74, 4);
    let wide = [3, 21, 34, 40, 61, 72];
    for n in wide {
        fleet[n].link_mbps = 200;
    }
    let roles = polling_roles(&fleet);
    let pollers: Vec<usize> = (0..74).filter(|n| roles[*n] == PollingRole::Poll).collect();
    assert_eq!(pollers.len(), 3);
    assert!(pollers.iter().all(|n| wide.contains(n)), "{pollers:?}");
}

/// If no daemon can reach the table, only a few poll it at the normal rate.
#[test]
fn unreachable_table_is_not_polled_by_all_daemons() {
    let mut fleet = fleet(85, 3);
    fleet.iter_mut().for_each(|daemon| daemon.lost = true);
    let polling_roles = polling_roles(&fleet);
    assert_eq!(count(&polling_roles, PollingRole::Poll), 3);
    assert_eq!(count(&polling_roles, PollingRole::Retry), 82);
}

/// No daemon is ready while the whole fleet starts; each polled until others were.
#[test]
fn daemons_with_the_tables_poll_before_they_are_ready() {
    let now = Instant::now();
    for (readiness, orders, upstreams, wanted) in [
        (Readiness::Starting, 7, 3, PollingRole::Listen),
        (Readiness::Starting, 7, 0, PollingRole::Poll),
        (Readiness::Starting, 0, 3, PollingRole::Poll),
        (Readiness::Leaving, 7, 3, PollingRole::Poll),
        (Readiness::Ready, 7, 3, PollingRole::Listen),
    ] {
        let mut dispatcher = dispatcher();
        let version = |number| match number {
            0 => RowVersion::default(),
            number => version_of(number),
        };
        for n in 2..200 {
            let report = Heartbeat {
                readiness,
                newest_order_version: version(orders),
                newest_upstream_version: version(upstreams),
                ..heartbeat(&format!("front-{n}"), TableState::NotPolled)
            };
            dispatcher.receive_heartbeat(report, address(2), now);
        }
        let role = dispatcher.polling_role(now);
        assert_eq!(role, wanted, "{readiness:?} {orders} {upstreams}");
    }
}

/// Time after a failure of the table in which a daemon must have repeated a poll that was lost.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time from the end of a poll's wait to the answer of its repeat: the margin of the timeout, the backoff
/// and the call.
const REPEAT_TIME: Duration = Duration::from_millis(800);

/// A poll that was lost lasted 3.5 s.
#[test]
fn lost_poll_is_repeated_within_the_recovery_time() {
    for pollers in 1..=3 {
        for position in 0..pollers {
            let turn = PollingTurn { position, pollers };
            for clock in (0..20_000).map(Duration::from_millis) {
                let wait = turn.poll_wait(clock);
                assert!(wait + REPEAT_TIME <= MAX_RECOVERY_TIME, "{turn:?} {wait:?}");
            }
        }
    }
}

/// After a change all pollers began their polls together and lost them together.
#[test]
fn polls_end_in_turns_after_they_began_together() {
    let fleet = fleet(8, 3);
    let candidates = candidates(&fleet);
    for began in (0..5_000).step_by(7).map(Duration::from_millis) {
        let mut ends: Vec<Duration> = polling_roles(&fleet)
            .into_iter()
            .zip(&fleet)
            .filter(|(role, _)| *role == PollingRole::Poll)
            .map(|(_, daemon)| polling_turn(&daemon.name, &candidates).poll_wait(began))
            .collect();
        ends.sort();
        assert_eq!(ends.len(), 3);
        for pair in ends.windows(2) {
            assert!(pair[1] - pair[0] >= Duration::from_millis(550), "{ends:?}");
        }
    }
}

/// A poll whose end differs a little from its turn was followed by another one at once.
#[test]
fn small_delays_add_no_polls() {
    for delay in [-20, -3, 0, 4, 60] {
        let turn = PollingTurn {
            position: 1,
            pollers: 3,
        };
        let mut clock = 0;
        let mut polls = 0;
        while clock < 180_000 {
            let wait = turn.poll_wait(Duration::from_millis(clock));
            let wait = i64::try_from(wait.as_millis()).expect("a few seconds");
            clock = clock.saturating_add_signed(wait + delay);
            polls += 1;
        }
        assert!(polls <= 101, "{polls} polls with a delay of {delay} ms");
    }
}
