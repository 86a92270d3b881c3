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
const LEAST_POLLING: usize = 2;

/// A daemon that may poll.
#[derive(Clone, Copy, Debug)]
pub struct Contender<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// Whether it has lost the table of late.
    pub lost: bool,
}

/// How a daemon learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// It polls the table.
    Poll,
    /// It polls now and then, since nobody is answered.
    Retry,
    /// It takes changes from others.
    Listen,
}

/// What the daemon `me` does among the daemons that live, itself included.
pub fn duty(me: &str, contenders: &[Contender<'_>]) -> Duty {
    let answered: Vec<Contender<'_>> = contenders.iter().copied().filter(|c| !c.lost).collect();
    let all_lost = answered.is_empty();
    let polling = match all_lost {
        true => chosen(contenders.to_vec()),
        false => chosen(answered),
    };
    if polling.contains(&me) {
        return Duty::Poll;
    }
    let lost = contenders.iter().any(|c| c.name == me && c.lost);
    match lost {
        true => Duty::Retry,
        false => Duty::Listen,
    }
}

fn chosen(mut contenders: Vec<Contender<'_>>) -> Vec<&str> {
    contenders.sort_by_key(|contender| xxh3_64(contender.name.as_bytes()));
    let mut first: BTreeMap<&DomainName, &str> = BTreeMap::new();
    let mut polling = Vec::new();
    for contender in &contenders {
        if first.len() < POLLING_DOMAINS && !first.contains_key(contender.domain) {
            first.insert(contender.domain, contender.name);
            polling.push(contender.name);
        }
    }
    let others = contenders.iter().map(|contender| contender.name);
    for name in others {
        if polling.len() < LEAST_POLLING && !polling.contains(&name) {
            polling.push(name);
        }
    }
    polling
}
