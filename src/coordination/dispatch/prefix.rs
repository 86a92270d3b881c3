//! Tracks which prompt prefixes engines have cached, so that a hot shared prefix is reused.
//!
//! A daemon remembers where it sent each prefix chain. For a chain that it has not sent, it assumes
//! the engine that every daemon would choose first, so that they agree without messages.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use platform::headers::Prompt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a chain is assumed to stay cached after its last use.
const CACHE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of chains remembered.
const MAX_CHAINS: usize = 4_096;

/// Identifies a sequence of parts from the start of a prompt, for one model.
pub type ChainId = u64;

/// One block of a prompt's prefix chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identifies the prefix up to and including this block.
    pub chain: ChainId,
    /// Number of tokens in the prefix.
    pub tokens: u32,
}

/// Returns the prefix chain of a prompt for a model, without the last part, which is not shared.
pub fn chain(model: &str, prompt: &Prompt) -> Vec<PrefixBlock> {
    let mut id = xxh3_64_with_seed(model.as_bytes(), 0);
    let mut tokens = 0;
    let shared = prompt.segments.len().saturating_sub(1);
    prompt.segments[..shared]
        .iter()
        .map(|part| {
            id = xxh3_64_with_seed(&part.id.to_le_bytes(), id);
            tokens += part.tokens;
            PrefixBlock { chain: id, tokens }
        })
        .collect()
}

/// The prefixes that engines are assumed to have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    used: HashMap<(u64, ChainId), Instant>,
}

impl PrefixIndex {
    /// Returns how many tokens of a prompt the engine with this hash has cached.
    pub fn cached_tokens(&self, engine: u64, blocks: &[PrefixBlock], now: Instant) -> u32 {
        blocks
            .iter()
            .take_while(|block| self.is_cached(engine, block.chain, now))
            .last()
            .map_or(0, |block| block.tokens)
    }

    /// Records that an engine processes a prompt.
    pub fn record_use(&mut self, engine: u64, blocks: &[PrefixBlock], now: Instant) {
        if self.used.len() + blocks.len() > MAX_CHAINS {
            self.used
                .retain(|_, used| now.saturating_duration_since(*used) < CACHE_RETENTION / 4);
        }
        for block in blocks {
            self.used.insert((engine, block.chain), now);
        }
    }

    /// Removes all prefixes of an engine.
    pub fn remove_engine(&mut self, engine: u64) {
        self.used.retain(|(e, _), _| *e != engine);
    }

    fn is_cached(&self, engine: u64, chain: ChainId, now: Instant) -> bool {
        self.used
            .get(&(engine, chain))
            .is_some_and(|used| now.saturating_duration_since(*used) < CACHE_RETENTION)
    }
}
