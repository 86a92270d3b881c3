//! Many daemons on one paid table.

use compact_str::CompactString;
use hibiscusyoke::coordination::dispatch::followers::{Contender, Duty, duty};

struct Daemon {
    name: CompactString,
    domain: CompactString,
    lost: bool,
}

fn fleet(count: usize, domains: usize) -> Vec<Daemon> {
    (0..count)
        .map(|i| Daemon {
            name: format!("front-{i}").into(),
            domain: format!("domain-{}", i % domains).into(),
            lost: false,
        })
        .collect()
}

fn duties(fleet: &[Daemon]) -> Vec<Duty> {
    let contenders: Vec<Contender<'_>> = fleet
        .iter()
        .map(|d| Contender {
            name: &d.name,
            domain: &d.domain,
            lost: d.lost,
        })
        .collect();
    fleet.iter().map(|d| duty(&d.name, &contenders)).collect()
}

fn count(duties: &[Duty], wanted: Duty) -> usize {
    duties.iter().filter(|duty| **duty == wanted).count()
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
        let duties = duties(&fleet(daemons, domains));
        assert_eq!(
            count(&duties, Duty::Poll),
            polling,
            "{daemons} daemons in {domains} domains"
        );
        assert_eq!(count(&duties, Duty::Listen), daemons - polling);
    }
}

/// The table turns away those that poll; others take over, and those retry now and then.
#[test]
fn daemons_that_are_turned_away_give_their_turn() {
    let mut fleet = fleet(8, 3);
    let before = duties(&fleet);
    for (daemon, duty) in fleet.iter_mut().zip(&before) {
        daemon.lost = *duty == Duty::Poll;
    }
    let after = duties(&fleet);
    assert_eq!(count(&after, Duty::Poll), 3);
    assert_eq!(count(&after, Duty::Retry), 3);
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(b, a)| *b != Duty::Poll || *a == Duty::Retry)
    );
}

/// A table that answers nobody is not pressed by all.
#[test]
fn table_that_answers_nobody() {
    let mut fleet = fleet(85, 3);
    fleet.iter_mut().for_each(|daemon| daemon.lost = true);
    let duties = duties(&fleet);
    assert_eq!(count(&duties, Duty::Poll), 3);
    assert_eq!(count(&duties, Duty::Retry), 82);
}
