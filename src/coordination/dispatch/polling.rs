//! Selects the daemons that poll the table, because calls to the table are paid for.
//!
//! One daemon polls in each of a few failure domains, and the others receive the changes from them.
//! It is the one with the widest link there: a large change has to cross it, then again to each of
//! the others that ask first.
//! A daemon that loses connectivity to the table is replaced by another, and a daemon that receives
//! no heartbeats polls itself.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use platform::DomainName;
use xxhash_rust::xxh3::xxh3_64;

/// Number of failure domains in which a daemon polls.
const POLLING_DOMAINS: usize = 3;
/// Minimum number of polling daemons, however few failure domains there are.
const MIN_POLLING_DAEMONS: usize = 2;
/// Time between the ends of two polls of a daemon while there are no changes.
///
/// A poll that the table never answers is noticed only when it times out. With the timeout's margin and
/// a repeat, this must stay below the 3 s after which operators expect a daemon to be up to date again.
const POLL_CYCLE: Duration = Duration::from_millis(1_800);
/// Minimum wait of a poll; a shorter one is extended by a cycle, so that a slightly early end is not followed
/// by a second one at once.
const MIN_POLL_WAIT: Duration = Duration::from_millis(200);

/// A daemon that may poll.
#[derive(Clone, Copy, Debug)]
pub struct PollingCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// Rate of its link in Mbit/s.
    pub link_mbps: u32,
    /// Whether it recently lost connectivity to the table.
    pub lost: bool,
}

/// How a daemon learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollingRole {
    /// It polls the table.
    Poll,
    /// It polls at intervals to check whether connectivity is restored.
    Retry,
    /// It receives changes from other daemons.
    Listen,
}

/// The place of a daemon in the order of those that poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingTurn {
    /// Its place, from 0.
    pub position: u32,
    /// Number of daemons that poll.
    pub pollers: u32,
}

impl PollingTurn {
    /// The turn of a daemon that polls alone.
    const ALONE: Self = Self {
        position: 0,
        pollers: 1,
    };

    /// Returns how long a poll waits that begins at the time `clock` of the table.
    ///
    /// Failure: the table swallows the polls that begin while it is silent. A change ends the polls of all
    /// daemons at once; if their next ones also began and ended together, all would be lost together,
    /// and nobody would learn of changes until they time out. They end in turns instead.
    pub fn poll_wait(self, clock: Duration) -> Duration {
        let offset = POLL_CYCLE * self.position / self.pollers.max(1);
        let cycle = POLL_CYCLE.as_millis();
        let since_turn = (clock + POLL_CYCLE - offset).as_millis() % cycle;
        let left = u64::try_from(cycle - since_turn).map_or(POLL_CYCLE, Duration::from_millis);
        match left < MIN_POLL_WAIT {
            true => left + POLL_CYCLE,
            false => left,
        }
    }
}

/// Returns the turn of the daemon `me` among those that poll.
pub fn polling_turn(me: &str, candidates: &[PollingCandidate<'_>]) -> PollingTurn {
    let pollers = pollers(candidates);
    let position = pollers.iter().position(|name| *name == me);
    let count = u32::try_from(pollers.len());
    match (position.map(u32::try_from), count) {
        (Some(Ok(position)), Ok(pollers)) => PollingTurn { position, pollers },
        _ => PollingTurn::ALONE,
    }
}

/// Returns the role of the daemon `me` among the live daemons, including itself.
pub fn polling_role(me: &str, candidates: &[PollingCandidate<'_>]) -> PollingRole {
    if pollers(candidates).contains(&me) {
        return PollingRole::Poll;
    }
    let lost = candidates.iter().any(|c| c.name == me && c.lost);
    match lost {
        true => PollingRole::Retry,
        false => PollingRole::Listen,
    }
}

/// Returns the names of the daemons that poll: of those that reach the table, if there are any.
fn pollers<'a>(candidates: &[PollingCandidate<'a>]) -> Vec<&'a str> {
    let reachable: Vec<PollingCandidate<'_>> =
        candidates.iter().copied().filter(|c| !c.lost).collect();
    match reachable.is_empty() {
        true => select_pollers(candidates.to_vec()),
        false => select_pollers(reachable),
    }
}

fn select_pollers(mut candidates: Vec<PollingCandidate<'_>>) -> Vec<&str> {
    candidates.sort_by_key(|candidate| {
        (
            Reverse(candidate.link_mbps),
            xxh3_64(candidate.name.as_bytes()),
        )
    });
    let mut first: BTreeMap<&DomainName, &str> = BTreeMap::new();
    let mut polling = Vec::new();
    for candidate in &candidates {
        if first.len() < POLLING_DOMAINS && !first.contains_key(candidate.domain) {
            first.insert(candidate.domain, candidate.name);
            polling.push(candidate.name);
        }
    }
    let others = candidates.iter().map(|candidate| candidate.name);
    for name in others {
        if polling.len() < MIN_POLLING_DAEMONS && !polling.contains(&name) {
            polling.push(name);
        }
    }
    polling
}
