//! Whom to probe next, and the probe under way.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, seq::SliceRandom};
use rand_xoshiro::Xoshiro128PlusPlus;

use crate::coordination::membership::{
    DaemonName, Incarnation,
    record::{Record, Seq},
};

/// How long a direct answer may take before others are asked to probe.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long any answer may take before the target is suspected.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a probe made for another daemon is remembered.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// The greatest number of probes made for others at once.
const MAX_RELAYS: usize = 256;

/// The probe under way.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: DaemonName,
    pub(super) incarnation: Incarnation,
    pub(super) seq: Seq,
    pub(super) sent: Instant,
    pub(super) indirect: bool,
}

impl Probe {
    /// When something is next to be done about it.
    pub(super) fn deadline(&self) -> Instant {
        if self.indirect {
            self.sent + PROBE_TIMEOUT
        } else {
            self.sent + DIRECT_TIMEOUT
        }
    }
}

/// A probe made for another daemon.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) requester: DaemonName,
    pub(super) requester_seq: Seq,
    pub(super) target: DaemonName,
    at: Instant,
}

/// The order of targets, shuffled anew for each round.
#[derive(Debug, Default)]
pub(super) struct Prober {
    round: Vec<DaemonName>,
    seq: Seq,
    relays: BTreeMap<Seq, Relay>,
}

impl Prober {
    /// A number that no probe under way has.
    pub(super) fn next_seq(&mut self) -> Seq {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// The next target of this round; begins a new round when it is over.
    pub(super) fn next_target<'a>(
        &mut self,
        rng: &mut Xoshiro128PlusPlus,
        candidates: impl Fn() -> Vec<&'a Record>,
    ) -> Option<Record> {
        for _ in 0..2 {
            let candidates = candidates();
            while let Some(name) = self.round.pop() {
                if let Some(record) = candidates.iter().find(|r| r.member.name == name) {
                    return Some((*record).clone());
                }
            }
            self.round = candidates.iter().map(|r| r.member.name.clone()).collect();
            self.round.shuffle(rng);
        }
        None
    }

    /// Puts a new daemon at a random place of the current round.
    pub(super) fn insert(&mut self, rng: &mut Xoshiro128PlusPlus, name: &DaemonName) {
        if !self.round.contains(name) {
            let at = rng.random_range(0..=self.round.len());
            self.round.insert(at, name.clone());
        }
    }

    /// Notes a probe made for another daemon and returns its number, or `None` if there are too many.
    pub(super) fn relay(
        &mut self,
        now: Instant,
        requester: DaemonName,
        requester_seq: Seq,
        target: DaemonName,
    ) -> Option<Seq> {
        self.relays
            .retain(|_, r| now.saturating_duration_since(r.at) < RELAY_TIMEOUT);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.next_seq();
        let relay = Relay {
            requester,
            requester_seq,
            target,
            at: now,
        };
        self.relays.insert(seq, relay);
        Some(seq)
    }

    /// The relayed probe that an acknowledgement answers.
    pub(super) fn complete_relay(&mut self, seq: Seq, from: &str) -> Option<Relay> {
        if self.relays.get(&seq)?.target != from {
            return None;
        }
        self.relays.remove(&seq)
    }
}
