//! Requests that crash each upstream that runs them, sent again and again at any daemon.
//!
//! A connection that breaks says little. It counts as a crash only if the upstream then refuses
//! connections or starts anew. Daemons add up what each has seen.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use platform::UpstreamId;
use xxhash_rust::xxh3::Xxh3;

use crate::coordination::dispatch::peers::{CrashCount, PeerId};

/// The crashes after which a request is refused.
const CRASHES_TO_REFUSE: u32 = 3;
/// How soon after a broken connection its upstream must be found dead.
const CRASH_CORRELATION_TIME: Duration = Duration::from_millis(2_500);
/// How long crashes are remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(300);
/// The most fingerprints told to other daemons at once.
const MAX_REPORTED: usize = 32;

/// Identifies a request whatever its id.
pub type Fingerprint = u64;

/// The fingerprint of a customer's request.
pub fn fingerprint(customer: Option<&str>, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [
        customer.unwrap_or_default().as_bytes(),
        path.as_bytes(),
        body,
    ] {
        hash.update(part);
        hash.update(&[0xff]);
    }
    hash.digest()
}

#[derive(Debug)]
struct BrokenRequest {
    upstream: UpstreamId,
    fingerprint: Fingerprint,
    at: Instant,
}

#[derive(Debug)]
struct CrashRecord {
    count: u32,
    last: Instant,
}

/// The crashes that this daemon and its peers have seen.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    broken: Vec<BrokenRequest>,
    own: HashMap<Fingerprint, CrashRecord>,
    peers: HashMap<(PeerId, Fingerprint), u32>,
}

impl PoisonTracker {
    /// Notes that an upstream broke off a request.
    pub fn connection_broken(
        &mut self,
        upstream: UpstreamId,
        fingerprint: Fingerprint,
        now: Instant,
    ) {
        self.broken
            .retain(|broken| now.saturating_duration_since(broken.at) < CRASH_CORRELATION_TIME);
        self.broken.push(BrokenRequest {
            upstream,
            fingerprint,
            at: now,
        });
    }

    /// Notes that an upstream is dead or has started anew.
    pub fn upstream_stopped(&mut self, upstream: &str, now: Instant) {
        let own = &mut self.own;
        self.broken.retain(|broken| {
            let crashed = broken.upstream == upstream;
            if crashed && now.saturating_duration_since(broken.at) < CRASH_CORRELATION_TIME {
                let seen = own.entry(broken.fingerprint).or_insert(CrashRecord {
                    count: 0,
                    last: now,
                });
                seen.count += 1;
                seen.last = now;
            }
            !crashed
        });
        own.retain(|_, seen| now.saturating_duration_since(seen.last) < CRASH_RETENTION);
    }

    /// Notes what a peer has seen.
    pub fn merge(&mut self, peer: &PeerId, crashes: &[CrashCount]) {
        for crash in crashes {
            self.peers
                .insert((peer.clone(), crash.fingerprint), crash.count);
        }
    }

    /// What this daemon has seen, for its peers.
    pub fn own_crashes(&self) -> Vec<CrashCount> {
        let mut crashes: Vec<_> = self.own.iter().collect();
        crashes.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.last));
        crashes
            .into_iter()
            .take(MAX_REPORTED)
            .map(|(fingerprint, seen)| CrashCount {
                fingerprint: *fingerprint,
                count: seen.count,
            })
            .collect()
    }

    /// Whether a request has crashed too many upstreams.
    pub fn is_poison(&self, fingerprint: Fingerprint) -> bool {
        let own = self.own.get(&fingerprint).map_or(0, |seen| seen.count);
        let peers: u32 = self
            .peers
            .iter()
            .filter(|((_, f), _)| *f == fingerprint)
            .map(|(_, count)| count)
            .sum();
        own + peers >= CRASHES_TO_REFUSE
    }
}
