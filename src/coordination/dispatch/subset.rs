//! Which engines a daemon of a large fleet uses, so that few daemons share each.
//!
//! Answers the load pattern of many daemons before many engines: what a daemon knows of an engine is
//! only good if it hears of every prompt sent there, and that must not grow with the fleet. Daemons
//! and engines stand on a circle in the order of their hashes; a daemon uses the engines that come
//! next to it. Who joins or leaves shifts the others by less than one place.

/// The engines that a daemon uses.
const SUBSET_SIZE: u32 = 12;

/// Daemons or engines in the order of their hashes.
#[derive(Clone, Debug)]
pub struct HashRing(Vec<u64>);

impl HashRing {
    /// Puts hashes in order.
    pub fn from_hashes(hashes: impl IntoIterator<Item = u64>) -> Self {
        let mut hashes: Vec<u64> = hashes.into_iter().collect();
        hashes.sort_unstable();
        Self(hashes)
    }

    /// How many stand before a hash.
    pub fn index(&self, hash: u64) -> u32 {
        count(self.0.partition_point(|other| *other < hash))
    }

    /// How many there are.
    pub fn count(&self) -> u32 {
        count(self.0.len())
    }

    /// The place of the daemon with this hash of its name.
    pub fn position(&self, hash: u64) -> RingPosition {
        RingPosition {
            rank: self.index(hash),
            daemons: self.count(),
        }
    }
}

/// A daemon's place among all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    /// The daemons before it.
    pub rank: u32,
    /// The daemons in all.
    pub daemons: u32,
}

impl RingPosition {
    /// Whether a daemon uses the engine that has `index` among `engines`.
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
