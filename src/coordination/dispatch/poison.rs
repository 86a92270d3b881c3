//! Detects requests that crash the upstreams that run them, also when they are sent again to other
//! daemons.
//!
//! A broken connection alone counts for little. It is a crash only if the upstream then refuses
//! connections or restarts. The counts of all daemons are added up.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use derive_more::Display;
use platform::UpstreamId;
use xxhash_rust::xxh3::Xxh3;

use crate::coordination::dispatch::heartbeat::{CrashCount, PeerId};

/// Number of crashes after which a request is refused.
const CRASHES_TO_REFUSE: u32 = 3;
/// Maximum time between a broken connection and the detected stop of its upstream.
const CRASH_CORRELATION_TIME: Duration = Duration::from_millis(2_500);
/// How long crashes are kept in memory.
const CRASH_RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of fingerprints sent to other daemons at once.
const MAX_REPORTED: usize = 32;

/// Identifies a request independently of its id.
pub type Fingerprint = u64;

/// Returns the fingerprint of a customer's request.
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

/// What was counted when an upstream stopped.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("upstream={upstream} suspects={suspects} most_crashes={most_crashes}")]
pub struct CrashFinding {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of requests whose connections had broken.
    pub suspects: usize,
    /// Largest number of crashes that this daemon has counted for one of them.
    pub most_crashes: u32,
}

/// Crashes seen by this daemon and its peers.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    findings: Vec<CrashFinding>,
    broken: Vec<BrokenRequest>,
    own: HashMap<Fingerprint, CrashRecord>,
    peers: HashMap<(PeerId, Fingerprint), u32>,
}

impl PoisonTracker {
    /// Records that the connection of a request broke.
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

    /// Records that an upstream has crashed, restarted or left.
    pub fn upstream_stopped(&mut self, upstream: &str, now: Instant) {
        let own = &mut self.own;
        let mut finding = CrashFinding {
            upstream: upstream.into(),
            suspects: 0,
            most_crashes: 0,
        };
        self.broken.retain(|broken| {
            let crashed = broken.upstream == upstream;
            if crashed && now.saturating_duration_since(broken.at) < CRASH_CORRELATION_TIME {
                let seen = own.entry(broken.fingerprint).or_insert(CrashRecord {
                    count: 0,
                    last: now,
                });
                seen.count += 1;
                seen.last = now;
                finding.suspects += 1;
                finding.most_crashes = finding.most_crashes.max(seen.count);
            }
            !crashed
        });
        if finding.suspects > 0 {
            self.findings.push(finding);
        }
        own.retain(|_, seen| now.saturating_duration_since(seen.last) < CRASH_RETENTION);
    }

    /// Removes and returns what was counted since the last call.
    pub fn take_findings(&mut self) -> Vec<CrashFinding> {
        std::mem::take(&mut self.findings)
    }

    /// Merges the crash counts of a peer.
    pub fn merge(&mut self, peer: &PeerId, crashes: &[CrashCount]) {
        for crash in crashes {
            self.peers
                .insert((peer.clone(), crash.fingerprint), crash.count);
        }
    }

    /// Returns this daemon's crash counts, for its peers.
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

    /// Returns whether a request has crashed too many upstreams.
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
