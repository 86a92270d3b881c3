//! The tree along which a new generation is pushed, so that no daemon calls all others.

use crate::coordination::membership::DaemonName;

/// The greatest number of peers that one daemon pushes to.
pub const MAX_FAN_OUT: usize = 8;

/// One branch of the tree: the daemon to call and those it passes the record on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The daemons to call, one after another until one answers.
    pub members: Vec<DaemonName>,
}

/// Splits the daemons into at most [`MAX_FAN_OUT`] push_branches of like branch_size.
pub fn push_branches(members: &[DaemonName]) -> Vec<Branch> {
    let branch_size = members.len().div_ceil(MAX_FAN_OUT).max(1);
    members
        .chunks(branch_size)
        .map(|chunk| Branch {
            members: chunk.to_vec(),
        })
        .collect()
}
