//! The tree along which a new generation is pushed, so that no daemon has to call all others.

use crate::coordination::membership::DaemonName;

/// Maximum number of branches, and thus of concurrent pushes, per daemon.
pub const MAX_FAN_OUT: usize = 8;

/// One branch of the tree: the daemon to call and those to which it forwards the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The daemons of the branch, called in order until one responds.
    pub members: Vec<DaemonName>,
}

/// Splits the daemons into at most [`MAX_FAN_OUT`] branches of about equal size.
pub fn push_branches(members: &[DaemonName]) -> Vec<Branch> {
    let branch_size = members.len().div_ceil(MAX_FAN_OUT).max(1);
    members
        .chunks(branch_size)
        .map(|chunk| Branch {
            members: chunk.to_vec(),
        })
        .collect()
}
