//! Selection of the peers that hold a daemon's bills.

use sha2::{Digest, Sha256};

use crate::coordination::membership::Member;

/// Number of peers that hold each bill.
pub(super) const HOLDERS_PER_BILL: usize = 2;

/// Selects up to two of `candidates` to hold the bills of `owner`, in distinct failure domains
/// other than the owner's if possible.
///
/// Candidates are ranked by rendezvous hash, so the selection stays the same while the selected
/// members are available.
pub fn choose_holders(owner: &Member, candidates: &[Member]) -> Vec<Member> {
    let mut ranked: Vec<&Member> = candidates
        .iter()
        .filter(|m| m.name != owner.name && m.reachable())
        .collect();
    ranked.sort_by_cached_key(|m| (score(owner, m), m.name.clone()));
    let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_BILL);
    while chosen.len() < HOLDERS_PER_BILL {
        let rank = |m: &Member| shared_domain_rank(owner, &chosen, m);
        let remaining = ranked
            .iter()
            .filter(|m| chosen.iter().all(|c| c.name != m.name));
        let Some(next) = remaining.min_by_key(|m| rank(m)) else {
            break;
        };
        chosen.push(next);
    }
    chosen.into_iter().cloned().collect()
}

/// Ranks a member by the failure domains it shares with the owner and the members already chosen;
/// lower is better.
fn shared_domain_rank(owner: &Member, chosen: &[&Member], member: &Member) -> u8 {
    let domain = &member.failure_domain;
    let shares_owner_domain = *domain == owner.failure_domain;
    let shares_chosen_domain = chosen.iter().any(|c| c.failure_domain == *domain);
    match (shares_owner_domain, shares_chosen_domain) {
        (false, false) => 0,
        (false, true) => 1,
        (true, false) => 2,
        (true, true) => 3,
    }
}

fn score(owner: &Member, member: &Member) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(owner.name.as_bytes());
    hash.update([0]);
    hash.update(member.name.as_bytes());
    hash.finalize().into()
}
