//! Selects the daemons that a caller should connect to.

use crate::{
    coordination::membership::Member,
    state::{
        objects::{RegionName, ServiceState},
        snapshot::Snapshot,
    },
};

/// Maximum number of addresses in one response.
pub const MAX_ADDRESSES: usize = 8;

/// Proximity of a daemon to a caller; closer compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    Elsewhere,
    SameRegion,
    SameDomain,
}

/// Returns the daemons that a caller in `failure_domain` should use, best first.
///
/// Closer daemons go first; equally close ones are rotated by `rotation`, so that successive
/// responses start with different daemons. Daemons that are leaving, dead or in a failure domain
/// that is out of service are never returned.
pub fn locate<'a>(
    members: &'a [Member],
    snapshot: &Snapshot,
    failure_domain: &str,
    rotation: u64,
) -> Vec<&'a Member> {
    let region = region_of(snapshot, failure_domain);
    let proximity = |m: &Member| {
        if m.failure_domain == failure_domain {
            Proximity::SameDomain
        } else if region.is_some() && region == region_of(snapshot, &m.failure_domain) {
            Proximity::SameRegion
        } else {
            Proximity::Elsewhere
        }
    };
    let mut usable: Vec<&Member> = members
        .iter()
        .filter(|m| m.reachable() && domain_in_service(snapshot, m))
        .collect();
    usable.sort_by(|a, b| {
        let by_name = || a.name.cmp(&b.name);
        proximity(b).cmp(&proximity(a)).then_with(by_name)
    });
    for group in usable.chunk_by_mut(|a, b| proximity(a) == proximity(b)) {
        let len = u64::try_from(group.len()).unwrap_or(u64::MAX);
        let offset = usize::try_from(rotation % len).unwrap_or(0);
        group.rotate_left(offset);
    }
    usable.truncate(MAX_ADDRESSES);
    usable
}

fn region_of<'a>(snapshot: &'a Snapshot, failure_domain: &str) -> Option<&'a RegionName> {
    let domain = snapshot.objects.failure_domains.get(failure_domain)?;
    Some(&domain.region)
}

/// A failure domain that is not in the configuration counts as in service.
fn domain_in_service(snapshot: &Snapshot, member: &Member) -> bool {
    let domains = &snapshot.objects.failure_domains;
    let domain = domains.get(&member.failure_domain);
    domain.is_none_or(|d| d.state == ServiceState::In)
}
