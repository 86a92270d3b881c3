//! Selects the daemons that poll the table, because calls to the table are paid for.
//!
//! One daemon polls in each of a few failure domains, and the others receive the changes from them.
//! It is the one with the widest link there: a large change has to cross it, then again to each of
//! the others that ask first.
//! A daemon that loses connectivity to the table is replaced by another, and a daemon that receives
//! no heartbeats polls itself.

use std::{cmp::Reverse, collections::BTreeMap};

use platform::DomainName;
use xxhash_rust::xxh3::xxh3_64;

/// Number of failure domains in which a daemon polls.
const POLLING_DOMAINS: usize = 3;
/// Minimum number of polling daemons, however few failure domains there are.
const MIN_POLLING_DAEMONS: usize = 2;

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

/// Returns the role of the daemon `me` among the live daemons, including itself.
pub fn polling_role(me: &str, candidates: &[PollingCandidate<'_>]) -> PollingRole {
    let reachable: Vec<PollingCandidate<'_>> =
        candidates.iter().copied().filter(|c| !c.lost).collect();
    let all_lost = reachable.is_empty();
    let polling = match all_lost {
        true => select_pollers(candidates.to_vec()),
        false => select_pollers(reachable),
    };
    if polling.contains(&me) {
        return PollingRole::Poll;
    }
    let lost = candidates.iter().any(|c| c.name == me && c.lost);
    match lost {
        true => PollingRole::Retry,
        false => PollingRole::Listen,
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
