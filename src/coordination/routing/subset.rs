//! The subset of a pool that one daemon uses: bounded, stable and balanced across failure domains.

use std::collections::BTreeMap;

use crate::{
    coordination::hash::hash_pair,
    state::objects::{DomainName, UpstreamName},
};

/// Pools up to this size are used completely.
const MIN_SUBSET: usize = 16;

/// Target number of daemons that have each upstream in their subset.
const DAEMONS_PER_UPSTREAM: usize = 4;

/// Number of upstreams of a pool that one daemon uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize(pub usize);

impl SubsetSize {
    /// Returns the smallest size with which several daemons use each upstream on average.
    pub fn of(pool: usize, daemons: usize) -> Self {
        let covering = (pool * DAEMONS_PER_UPSTREAM).div_ceil(daemons.max(1));
        Self(covering.max(MIN_SUBSET).min(pool))
    }
}

/// Chooses upstreams by rendezvous hashing in each failure domain, round robin over the domains.
///
/// Adding or removing an upstream changes at most one entry. The daemon's own failure domain
/// comes first.
pub fn subset<'a>(
    daemon: &str,
    local_domain: &str,
    pool: impl Iterator<Item = (&'a UpstreamName, &'a DomainName)>,
    size: SubsetSize,
) -> Vec<(&'a UpstreamName, &'a DomainName)> {
    let mut domains: BTreeMap<&DomainName, Vec<(u64, &UpstreamName)>> = BTreeMap::new();
    for (name, domain) in pool {
        let weight = hash_pair(daemon, name);
        domains.entry(domain).or_default().push((weight, name));
    }
    let mut ranked: Vec<_> = domains.into_iter().collect();
    ranked.sort_by_key(|(domain, _)| (domain.as_str() != local_domain, hash_pair(daemon, domain)));
    for (_, names) in &mut ranked {
        names.sort_unstable();
    }
    let mut chosen = Vec::with_capacity(size.0);
    while chosen.len() < size.0 {
        let before = chosen.len();
        for (domain, names) in &mut ranked {
            if chosen.len() < size.0
                && let Some((_, name)) = names.pop()
            {
                chosen.push((name, *domain));
            }
        }
        if chosen.len() == before {
            break;
        }
    }
    chosen
}
