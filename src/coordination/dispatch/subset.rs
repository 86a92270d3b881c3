//! Assigns each daemon of a large fleet a subset of the engines, so that few daemons share each.
//!
//! A daemon's view of an engine is only accurate if it is notified of every prompt sent there, and
//! this traffic must not grow with the fleet. Daemons and engines are placed on a hash ring, and a
//! daemon uses the engines that follow its position. A daemon that joins or leaves shifts the
//! others by less than one position.

/// Number of engines that each daemon uses.
const SUBSET_SIZE: u32 = 12;

/// Daemons or engines in the order of their hashes.
#[derive(Clone, Debug, Default)]
pub struct HashRing(Vec<u64>);

impl HashRing {
    /// Builds a ring from hashes in any order.
    pub fn from_hashes(hashes: impl IntoIterator<Item = u64>) -> Self {
        let mut hashes: Vec<u64> = hashes.into_iter().collect();
        hashes.sort_unstable();
        Self(hashes)
    }

    /// Returns the number of members before a hash.
    pub fn index(&self, hash: u64) -> u32 {
        count(self.0.partition_point(|other| *other < hash))
    }

    /// Returns the number of members.
    pub fn count(&self) -> u32 {
        count(self.0.len())
    }

    /// Returns the position of the daemon whose name has this hash.
    pub fn position(&self, hash: u64) -> RingPosition {
        RingPosition {
            rank: self.index(hash),
            daemons: self.count(),
        }
    }
}

/// Position of a daemon on the ring of all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    /// Number of daemons before it.
    pub rank: u32,
    /// Total number of daemons.
    pub daemons: u32,
}

impl RingPosition {
    /// Returns whether the daemon uses the engine at `index` of `engines`.
    pub fn uses(self, index: u32, engines: u32) -> bool {
        if engines <= SUBSET_SIZE {
            return true;
        }
        let first = self.rank * engines / self.daemons.max(1);
        (index + engines - first) % engines < SUBSET_SIZE
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
