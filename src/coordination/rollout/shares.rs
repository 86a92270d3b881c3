//! How the exposure budget of a version is split over the fleet without a coordinator.

use crate::coordination::{
    hash::{hash_pair, mix},
    membership::DaemonName,
};

/// The part of an exposure budget that one daemon may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The unrated answers that it may have.
    pub max_unrated: u32,
    /// Whether it, alone of the fleet, goes on with single answers while a version is suspected.
    pub may_probe: bool,
}

/// The share of `own`; over all members the answers sum to `exposure`.
///
/// The remainder of an uneven split goes to other daemons in each `epoch`.
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
