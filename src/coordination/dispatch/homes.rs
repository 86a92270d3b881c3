//! Agrees on the engines that keep a shared prompt prefix cached.
//!
//! Load pattern: each of many daemons sees few of the requests that share a prefix. If each daemon
//! kept the prefix on an engine of its own choice, most prompts would be prefilled in full. All
//! daemons therefore derive the same home engines from the prefix. They use the next home only
//! while the backlog of the homes before it exceeds the prefill time that the cache saves, which
//! spreads a prefix that is too hot for one engine.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::dispatch::prefix::PrefixBlock;

/// Maximum number of home engines of a prefix.
const MAX_HOMES: usize = 3;

/// The home engines of one prefix, by the hashes of their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes(Vec<u64>);

impl Homes {
    /// Returns the homes of the longest shared prefix among `engines`, the preferred one first.
    pub fn find(blocks: &[PrefixBlock], engines: impl IntoIterator<Item = u64>) -> Self {
        let Some(block) = blocks.last() else {
            return Self::default();
        };
        let weight = |engine: u64| xxh3_64_with_seed(&engine.to_le_bytes(), block.chain);
        let mut homes: Vec<(u64, u64)> = Vec::with_capacity(MAX_HOMES + 1);
        for engine in engines {
            let weight = weight(engine);
            let rank = homes.partition_point(|(other, _)| *other > weight);
            if rank < MAX_HOMES {
                homes.insert(rank, (weight, engine));
                homes.truncate(MAX_HOMES);
            }
        }
        Self(homes.into_iter().map(|(_, engine)| engine).collect())
    }

    /// Returns whether an engine is one of the homes.
    pub fn contains(&self, engine: u64) -> bool {
        self.0.contains(&engine)
    }

    /// Keeps the homes that are in use: the first, and each one whose predecessors all have a
    /// backlog above `saved`, the prefill time that the cached prefix saves.
    pub fn in_use(&self, saved: Duration, backlog: impl Fn(u64) -> Duration) -> Self {
        let overloaded = self.0.iter().take_while(|home| backlog(**home) > saved);
        let count = overloaded.count() + 1;
        Self(self.0.iter().copied().take(count).collect())
    }
}
