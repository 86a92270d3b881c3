//! Which daemons a caller is told to use.

use crate::{
    coordination::membership::Member,
    state::{
        objects::{RegionName, ServiceState},
        snapshot::Snapshot,
    },
};

/// The greatest number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 8;

/// How near a daemon is to a caller; nearer is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    Elsewhere,
    SameRegion,
    SameDomain,
}

/// The daemons that a caller in `failure_domain` is to use, the best first.
///
/// Nearer daemons go first; equally near ones are rotated by `turn`, so that successive answers
/// begin with different daemons. Daemons that leave, are dead or stand in a failure domain that is
/// taken out are never named.
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

/// A failure domain that the configuration does not name has not been taken out.
fn domain_in_service(snapshot: &Snapshot, member: &Member) -> bool {
    let domains = &snapshot.objects.failure_domains;
    let domain = domains.get(&member.failure_domain);
    domain.is_none_or(|d| d.state == ServiceState::In)
}
