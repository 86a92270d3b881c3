//! Where the parts of prompts lie in engines' memory: the load pattern of a hot shared prefix.
//!
//! A daemon remembers where it sent each chain of parts. For a chain that it has not sent, it
//! assumes the engine that every daemon would choose first, so that they agree without messages.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use platform::headers::Prompt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a chain is believed to lie in memory after its last use.
const CACHE_RETENTION: Duration = Duration::from_secs(60);
/// The most chains remembered.
const MAX_CHAINS: usize = 4_096;

/// Identifies a sequence of parts from the start of a prompt, for one model.
pub type ChainId = u64;

/// One step of a prompt's chain of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// The parts up to here.
    pub chain: ChainId,
    /// Their tokens.
    pub tokens: u32,
}

/// The chain of a prompt's shared parts for a model; its last part is its own.
pub fn chain(model: &str, prompt: &Prompt) -> Vec<PrefixBlock> {
    let mut id = xxh3_64_with_seed(model.as_bytes(), 0);
    let mut tokens = 0;
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared]
        .iter()
        .map(|part| {
            id = xxh3_64_with_seed(&part.id.to_le_bytes(), id);
            tokens += part.tokens;
            PrefixBlock { chain: id, tokens }
        })
        .collect()
}

/// What is believed to lie in the memory of engines.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    used: HashMap<(u64, ChainId), Instant>,
}

impl PrefixIndex {
    /// The tokens of a prompt that lie in the memory of the engine with this hash.
    pub fn cached_tokens(&self, engine: u64, blocks: &[PrefixBlock], now: Instant) -> u32 {
        blocks
            .iter()
            .take_while(|block| self.is_cached(engine, block.chain, now))
            .last()
            .map_or(0, |block| block.tokens)
    }

    /// Notes that an engine reads a prompt.
    pub fn record_use(&mut self, engine: u64, blocks: &[PrefixBlock], now: Instant) {
        if self.used.len() + blocks.len() > MAX_CHAINS {
            self.used
                .retain(|_, used| now.saturating_duration_since(*used) < CACHE_RETENTION / 4);
        }
        for block in blocks {
            self.used.insert((engine, block.chain), now);
        }
    }

    /// Forgets all of an engine.
    pub fn remove_engine(&mut self, engine: u64) {
        self.used.retain(|(e, _), _| *e != engine);
    }

    fn is_cached(&self, engine: u64, chain: ChainId, now: Instant) -> bool {
        self.used
            .get(&(engine, chain))
            .is_some_and(|used| now.saturating_duration_since(*used) < CACHE_RETENTION)
    }
}
