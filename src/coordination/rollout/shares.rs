//! Splits a version's exposure budget over the fleet without a coordinator.

use crate::coordination::{
    hash::{hash_pair, mix},
    membership::DaemonName,
};

/// One daemon's share of an exposure budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of unrated responses.
    pub max_unrated: u32,
    /// Whether this daemon, as the only one, sends single requests to a suspected version.
    pub may_probe: bool,
}

/// Returns the share of `own`; the shares of all members sum to `exposure`.
///
/// The remainder of an uneven split goes to different daemons in each `epoch`.
pub fn share<'a>(
    own: &str,
    members: impl Iterator<Item = &'a DaemonName>,
    version: &str,
    exposure: u32,
    epoch: u64,
) -> Share {
    let weight = |name: &str| (mix(hash_pair(version, name) ^ mix(epoch)), name.to_owned());
    let own_weight = weight(own);
    let mut others = 0_u32;
    let mut before = 0_u32;
    for member in members.filter(|m| *m != own) {
        others += 1;
        before += u32::from(weight(member) < own_weight);
    }
    let members = others + 1;
    Share {
        max_unrated: exposure / members + u32::from(before < exposure % members),
        may_probe: exposure > 0 && before == 0,
    }
}
