//! Signs of life that daemons pass on for each other.
//!
//! Load pattern: a daemon of a large fleet sends to each of the others only every few seconds. Its sign
//! of life reaches them much earlier by way of those that it has sent to. Each heartbeat passes on the
//! newest signs of life, at most a constant number of them, so its size does not grow with the fleet.

use std::time::{Duration, Instant};

use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::dispatch::{
    heartbeat::PeerId,
    peers::{Peer, Peers},
};

/// Number of other daemons below which the newest signs of life are passed on, without a draw.
const MAX_FLEET_IN_ORDER: usize = 20;
/// Number of known daemons for each sign of life that a heartbeat passes on.
const KNOWN_PER_REPORT: usize = 8;
/// Maximum number of signs of life in a heartbeat. A daemon of a fleet of 340 gets 80 heartbeats a
/// second, and so about six signs of life of each other daemon. With 20 reports, live daemons were
/// not heard of for up to 3.6 s.
const MAX_REPORTS: usize = 24;
/// Number of known daemons for each of those heard of last, of which some are drawn. Daemons send at
/// fixed times, so the newest signs of life would always be those of the same daemons.
const KNOWN_PER_DRAWN_FROM: usize = 2;
/// Maximum age of a sign of life that is passed on.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Time after a heartbeat of a daemon of the same domain in which few others know of it: until the next
/// heartbeat of this daemon.
const UNSHARED_AGE: Duration = Duration::from_millis(300);
/// Unit of the age in a report, in milliseconds; the maximum age fits into a byte.
const AGE_UNIT_MS: u128 = 4;

/// Identifies one incarnation of a daemon in few bytes. Two of 340 daemons have the same with a
/// probability of 0.4 %.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortId([u8; 3]);

impl ShortId {
    /// Returns the short id of an incarnation.
    pub fn of(id: &PeerId) -> Self {
        let hash = xxh3_64_with_seed(id.name.as_bytes(), id.incarnation);
        let [a, b, c, ..] = hash.to_le_bytes();
        Self([a, b, c])
    }
}

/// A sign of life of a daemon, passed on by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessReport {
    /// The daemon that is alive.
    id: ShortId,
    /// Last byte of the sequence number of its newest heartbeat that is known of.
    sequence: u8,
    /// Time since that heartbeat was sent, without transmission delays.
    age: u8,
}

impl LivenessReport {
    fn new(peer: &Peer, now: Instant) -> Self {
        // Rounded up, so that a sign of life does not grow younger when it is passed on.
        let age = peer.silence(now).as_millis().div_ceil(AGE_UNIT_MS);
        let [.., sequence] = peer.newest_sequence().to_be_bytes();
        Self {
            id: peer.short_id(),
            sequence,
            age: u8::try_from(age).unwrap_or(u8::MAX),
        }
    }

    /// Returns the sequence number if it is newer than a known one.
    fn newer_sequence(&self, known: u32) -> Option<u32> {
        let [.., known_last] = known.to_be_bytes();
        let ahead = self.sequence.wrapping_sub(known_last);
        let is_newer = ahead > 0 && ahead <= u8::MAX / 2;
        is_newer.then(|| known.saturating_add(ahead.into()))
    }

    /// Returns the time since the sign of life.
    fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age)) * u32::try_from(AGE_UNIT_MS).unwrap_or(1)
    }
}

impl Peers {
    /// Merges what another daemon knows of a daemon's liveness.
    pub fn merge_liveness(&mut self, report: &LivenessReport, now: Instant) {
        let Some(peer) = self.by_short_id_mut(report.id) else {
            return;
        };
        if let Some(sequence) = report.newer_sequence(peer.newest_sequence()) {
            let alive_at = now.checked_sub(report.age()).unwrap_or(now);
            peer.record_life(sequence, alive_at);
        }
    }

    /// Returns new signs of life of other daemons for a daemon in `domain`.
    ///
    /// In a large fleet these are first those that few others have, as they came from daemons of the
    /// same domain a moment ago, and then others at random.
    pub fn liveness_reports(
        &self,
        domain: &str,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<LivenessReport> {
        let mut recent: Vec<(Duration, &Peer)> = self
            .known()
            .map(|peer| (peer.silence(now), peer))
            .filter(|(silence, _)| *silence < MAX_REPORT_AGE)
            .collect();
        recent.sort_unstable_by_key(|(silence, _)| *silence);
        let known = self.known().count();
        let count = known.div_ceil(KNOWN_PER_REPORT);
        let report = |(_, peer): (Duration, &Peer)| LivenessReport::new(peer, now);
        if known < MAX_FLEET_IN_ORDER {
            recent.truncate(count);
            return recent.into_iter().map(report).collect();
        }
        let count = count.min(MAX_REPORTS);
        recent.truncate(known.div_ceil(KNOWN_PER_DRAWN_FROM));
        let is_unshared = |(_, peer): &(Duration, &Peer)| {
            peer.last_heartbeat.domain == domain && peer.report_age(now) < UNSHARED_AGE
        };
        let (mut chosen, others): (Vec<_>, Vec<_>) = recent.into_iter().partition(is_unshared);
        chosen.truncate(count);
        let left = count - chosen.len();
        chosen.extend(others.into_iter().choose_multiple(rng, left));
        chosen.into_iter().map(report).collect()
    }
}
