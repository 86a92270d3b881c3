//! Order of probe targets, and the state of probes in flight.

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

/// Timeout of the direct ping, after which other daemons are asked to probe the target.
pub(super) const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a whole probe, after which the target is suspected.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Retention of a probe relayed for another daemon.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of probes relayed for other daemons at once.
const MAX_RELAYS: usize = 256;

/// The probe in flight.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: DaemonName,
    pub(super) incarnation: Incarnation,
    pub(super) seq: Seq,
    pub(super) sent: Instant,
    pub(super) indirect: bool,
}

impl Probe {
    /// Returns when the current stage of the probe times out.
    pub(super) fn deadline(&self) -> Instant {
        if self.indirect {
            self.sent + PROBE_TIMEOUT
        } else {
            self.sent + DIRECT_TIMEOUT
        }
    }
}

/// A probe relayed for another daemon.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) requester: DaemonName,
    pub(super) requester_seq: Seq,
    pub(super) target: DaemonName,
    at: Instant,
}

/// The probe targets, shuffled for each round, and the relayed probes.
#[derive(Debug, Default)]
pub(super) struct Prober {
    round: Vec<DaemonName>,
    seq: Seq,
    relays: BTreeMap<Seq, Relay>,
}

impl Prober {
    /// Returns a sequence number that no probe in flight uses.
    pub(super) fn next_seq(&mut self) -> Seq {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Returns the next target of this round; starts a new round when none is left.
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

    /// Inserts a new daemon at a random position of the current round.
    pub(super) fn insert(&mut self, rng: &mut Xoshiro128PlusPlus, name: &DaemonName) {
        if !self.round.contains(name) {
            let at = rng.random_range(0..=self.round.len());
            self.round.insert(at, name.clone());
        }
    }

    /// Records a probe relayed for another daemon and returns its sequence number, or `None` if
    /// there are too many.
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

    /// Removes and returns the relayed probe that an acknowledgement answers.
    pub(super) fn complete_relay(&mut self, seq: Seq, from: &str) -> Option<Relay> {
        if self.relays.get(&seq)?.target != from {
            return None;
        }
        self.relays.remove(&seq)
    }
}
