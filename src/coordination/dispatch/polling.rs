//! Which daemons poll the table for all: the load pattern of many daemons on one paid table.
//!
//! One daemon in each of a few failure domains polls; the others take changes from them. A daemon
//! that the table does not answer gives its turn to another, and one that hears nobody polls itself.

use std::collections::BTreeMap;

use platform::DomainName;
use xxhash_rust::xxh3::xxh3_64;

/// The failure domains in which a daemon polls.
const POLLING_DOMAINS: usize = 3;
/// The least number of daemons that poll, in however few failure domains.
const MIN_POLLING_DAEMONS: usize = 2;

/// A daemon that may poll.
#[derive(Clone, Copy, Debug)]
pub struct PollingCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// Whether it has lost the table of late.
    pub lost: bool,
}

/// How a daemon learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollingRole {
    /// It polls the table.
    Poll,
    /// It polls now and then, since nobody is answered.
    Retry,
    /// It takes changes from others.
    Listen,
}

/// What the daemon `me` does among the daemons that live, itself included.
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
    candidates.sort_by_key(|candidate| xxh3_64(candidate.name.as_bytes()));
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
