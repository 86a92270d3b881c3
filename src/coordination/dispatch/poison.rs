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

use crate::coordination::dispatch::peers::{Crash, PeerId};

/// The crashes after which a request is refused.
const CRASHES_TO_REFUSE: u32 = 3;
/// How soon after a broken connection its upstream must be found dead.
const SAME_CRASH: Duration = Duration::from_millis(2_500);
/// How long crashes are remembered.
const MEMORY_TIME: Duration = Duration::from_secs(300);
/// The most fingerprints told to other daemons at once.
const MAX_TOLD: usize = 32;

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
struct Broken {
    upstream: UpstreamId,
    fingerprint: Fingerprint,
    at: Instant,
}

#[derive(Debug)]
struct Seen {
    count: u32,
    last: Instant,
}

/// The crashes that this daemon and its peers have seen.
#[derive(Debug, Default)]
pub struct Poison {
    broken: Vec<Broken>,
    own: HashMap<Fingerprint, Seen>,
    peers: HashMap<(PeerId, Fingerprint), u32>,
}

impl Poison {
    /// Notes that an upstream broke off a request.
    pub fn broke(&mut self, upstream: UpstreamId, fingerprint: Fingerprint, now: Instant) {
        self.broken
            .retain(|broken| now.saturating_duration_since(broken.at) < SAME_CRASH);
        self.broken.push(Broken {
            upstream,
            fingerprint,
            at: now,
        });
    }

    /// Notes that an upstream is dead or has started anew.
    pub fn died(&mut self, upstream: &str, now: Instant) {
        let own = &mut self.own;
        self.broken.retain(|broken| {
            let crashed = broken.upstream == upstream;
            if crashed && now.saturating_duration_since(broken.at) < SAME_CRASH {
                let seen = own.entry(broken.fingerprint).or_insert(Seen {
                    count: 0,
                    last: now,
                });
                seen.count += 1;
                seen.last = now;
            }
            !crashed
        });
        own.retain(|_, seen| now.saturating_duration_since(seen.last) < MEMORY_TIME);
    }

    /// Notes what a peer has seen.
    pub fn merge(&mut self, peer: &PeerId, crashes: &[Crash]) {
        for crash in crashes {
            self.peers
                .insert((peer.clone(), crash.fingerprint), crash.count);
        }
    }

    /// What this daemon has seen, for its peers.
    pub fn told(&self) -> Vec<Crash> {
        let mut crashes: Vec<_> = self.own.iter().collect();
        crashes.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.last));
        crashes
            .into_iter()
            .take(MAX_TOLD)
            .map(|(fingerprint, seen)| Crash {
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
