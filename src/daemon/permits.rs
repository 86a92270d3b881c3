//! Slots on upstreams; for now every daemon may use each upstream up to a fixed number.

use std::sync::Arc;

use crate::{
    daemon::core::Core,
    protocol::peer::permits::{Request, Response},
};

/// The number of requests that one daemon may have on one upstream.
const SLOTS: u32 = 8;

/// The giver of slots.
#[derive(Debug, Default)]
pub struct Permits;

/// The right to run one request on an upstream.
#[derive(Debug)]
pub struct Slot;

/// What became of an attempt to get a slot.
#[derive(Debug)]
pub enum Acquire {
    /// A slot.
    Slot(Slot),
    /// All are taken.
    Full,
    /// The upstream's slots are not known yet.
    Unknown,
}

impl Slot {
    /// The upstream gave a whole answer.
    pub fn succeeded(self) {}
}

impl Permits {
    /// Starts the giver of slots of a daemon.
    pub fn spawn(_core: Arc<Core>) -> Arc<Self> {
        Arc::default()
    }

    /// Takes a slot if one is free.
    pub fn try_acquire(&self, _upstream: &str) -> Acquire {
        Acquire::Slot(Slot)
    }

    /// The number of slots that are free.
    pub fn available(&self, _upstream: &str) -> u32 {
        SLOTS
    }

    /// Takes note of the incarnation that answered.
    pub fn saw_incarnation(&self, _upstream: &str, _incarnation: u64) {}

    /// Takes note of a crash.
    pub fn crashed(&self, _upstream: &str) {}

    /// Gives all slots back.
    pub async fn release(&self) {}

    /// Answers a peer.
    pub async fn answer(&self, req: Request) -> Response {
        match req {}
    }
}
