//! Tests of which daemons of a large fleet poll the table.

use std::time::Instant;

use compact_str::CompactString;
use hibiscusyoke::coordination::dispatch::{
    heartbeat::{Heartbeat, Readiness, TableState},
    polling::{PollingCandidate, PollingRole, polling_role},
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

fn polling_roles(fleet: &[Daemon]) -> Vec<PollingRole> {
    let candidates: Vec<PollingCandidate<'_>> = fleet
        .iter()
        .map(|d| PollingCandidate {
            name: &d.name,
            domain: &d.domain,
            link_mbps: d.link_mbps,
            lost: d.lost,
        })
        .collect();
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
