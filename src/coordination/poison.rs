//! Detects requests that crash their upstreams, by solo runs of suspects, and quarantines them.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        hash::{hash_bytes, hash_text, mix},
        routing::Outcome,
    },
    state::objects::UpstreamName,
};

/// Distinct crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Time for which a suspect is kept in memory.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Duration of a quarantine, after which the caller may retry.
const QUARANTINE_TTL: Duration = Duration::from_secs(3_600);

/// Crashes of one upstream within this time count as one, unless the request ran alone.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Maximum time for which a solo run blocks the same request elsewhere.
const MAX_SOLO_RUN: Duration = Duration::from_secs(30);

/// Retry delay while the same request runs alone elsewhere.
const SOLO_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of suspects kept in memory.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of updates in one message.
pub const MAX_UPDATES: usize = 64;

/// Identifies a request by customer and body, independent of its idempotency key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a customer's request.
    pub fn of(customer: &str, body: impl AsRef<[u8]>) -> Self {
        Self(mix(hash_text(customer)) ^ hash_bytes(body.as_ref()))
    }
}

/// Identifies a crash as observed by one daemon.
pub type CrashId = u64;

/// How a request must be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// It runs without restrictions.
    Normal,
    /// It runs alone on its upstream.
    Solo,
    /// It is refused.
    Refuse(Quarantined),
}

/// The cause for refusing a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum QuarantineCause {
    /// It has crashed upstreams and is refused until the quarantine ends.
    Crashes,
    /// The same request runs alone elsewhere to test whether it crashes upstreams.
    OnTrial,
}

/// The refusal of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("quarantined={cause} retry_after_ms={}", retry_after.as_millis())]
pub struct Quarantined {
    /// The cause.
    pub cause: QuarantineCause,
    /// Delay before the caller may retry.
    pub retry_after: Duration,
}

/// An update about a suspect that a daemon sends to its peers immediately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The suspect request.
    pub fingerprint: Fingerprint,
    /// The event to apply.
    pub event: SuspectEvent,
}

/// An event in the life cycle of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// An upstream crashed while it ran the request.
    Crashed {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether the request ran alone there.
        solo: bool,
        /// Chosen by the daemon that observed the crash, so that no crash is counted twice.
        id: CrashId,
    },
    /// The request is about to run alone.
    OnTrial,
    /// The request ran alone without crashing the upstream.
    Cleared,
    /// The solo run was inconclusive.
    Undecided,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    upstream: UpstreamName,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<Crash>,
    until: Instant,
    on_trial_until: Option<Instant>,
}

impl Suspect {
    fn has_crash(&self, crash: &Crash, solo: bool) -> bool {
        self.crashes.iter().any(|c| {
            let near = crash.at.saturating_duration_since(c.at) < SAME_CRASH_WINDOW;
            c.id == crash.id || (!solo && near && c.upstream == crash.upstream)
        })
    }

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
    }
}

/// Tracks the suspects known to one daemon.
#[derive(Debug)]
pub struct PoisonDetector {
    seed: u64,
    crashes: u64,
    suspects: BTreeMap<Fingerprint, Suspect>,
    running: HashMap<UpstreamName, Vec<Fingerprint>>,
}

impl PoisonDetector {
    /// Creates an empty detector; `seed` must differ between daemons and between their
    /// incarnations.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            crashes: 0,
            suspects: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// Returns how a request must be handled now.
    pub fn treatment(&self, now: Instant, fingerprint: Fingerprint) -> Treatment {
        let suspect = self.suspects.get(&fingerprint);
        let Some(suspect) = suspect.filter(|s| now < s.until) else {
            return Treatment::Normal;
        };
        if suspect.is_quarantined() {
            return Treatment::Refuse(Quarantined {
                cause: QuarantineCause::Crashes,
                retry_after: suspect.until.saturating_duration_since(now),
            });
        }
        if suspect.on_trial_until.is_some_and(|until| now < until) {
            return Treatment::Refuse(Quarantined {
                cause: QuarantineCause::OnTrial,
                retry_after: SOLO_RETRY_AFTER,
            });
        }
        Treatment::Solo
    }

    /// Returns the upstreams that crashed while running a request; it is not sent there again.
    pub fn crashed_on(&self, fingerprint: Fingerprint) -> Vec<UpstreamName> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or_else(Vec::new, |s| {
            s.crashes.iter().map(|c| c.upstream.clone()).collect()
        })
    }

    /// Records a dispatched request; returns the update to send to peers, if any.
    pub fn started(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        solo: bool,
    ) -> Option<SuspectUpdate> {
        let running = self.running.entry(upstream.clone()).or_default();
        running.push(fingerprint);
        if !solo {
            return None;
        }
        self.apply_local(now, fingerprint, SuspectEvent::OnTrial)
    }

    /// Records the outcome of a dispatched request; returns the update to send to peers, if any.
    pub fn finished(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        solo: bool,
        outcome: Outcome,
    ) -> Option<SuspectUpdate> {
        self.remove_running(fingerprint, upstream);
        let event = match outcome {
            Outcome::Crashed => self.crash(upstream, solo),
            Outcome::Answered { .. } if solo => SuspectEvent::Cleared,
            _ if solo => SuspectEvent::Undecided,
            _ => return None,
        };
        self.apply_local(now, fingerprint, event)
    }

    /// Marks all requests still running on a crashed upstream as suspects; returns the updates to
    /// send.
    pub fn upstream_crashed(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
    ) -> Vec<SuspectUpdate> {
        let mut running = self.running.get(upstream).cloned().unwrap_or_default();
        running.sort_unstable();
        running.dedup();
        running
            .into_iter()
            .filter_map(|fingerprint| {
                let event = self.crash(upstream, false);
                self.apply_local(now, fingerprint, event)
            })
            .collect()
    }

    fn crash(&mut self, upstream: &UpstreamName, solo: bool) -> SuspectEvent {
        self.crashes += 1;
        SuspectEvent::Crashed {
            upstream: upstream.clone(),
            solo,
            id: mix(self.seed ^ mix(self.crashes)),
        }
    }

    fn apply_local(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        event: SuspectEvent,
    ) -> Option<SuspectUpdate> {
        let update = SuspectUpdate { fingerprint, event };
        self.update(now, &update).then_some(update)
    }

    fn remove_running(&mut self, fingerprint: Fingerprint, upstream: &UpstreamName) {
        let Some(running) = self.running.get_mut(upstream) else {
            return;
        };
        if let Some(i) = running.iter().position(|f| *f == fingerprint) {
            running.swap_remove(i);
        }
        if running.is_empty() {
            self.running.remove(upstream);
        }
    }

    /// Applies an update about a suspect; returns whether it changed anything.
    pub fn update(&mut self, now: Instant, update: &SuspectUpdate) -> bool {
        match &update.event {
            SuspectEvent::Crashed { upstream, solo, id } => {
                let crash = Crash {
                    id: *id,
                    upstream: upstream.clone(),
                    at: now,
                };
                self.record_crash(update.fingerprint, crash, *solo)
            }
            SuspectEvent::OnTrial => {
                self.set_on_trial(update.fingerprint, Some(now + MAX_SOLO_RUN))
            }
            SuspectEvent::Undecided => self.set_on_trial(update.fingerprint, None),
            SuspectEvent::Cleared => self.clear(update.fingerprint),
        }
    }

    fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, solo: bool) -> bool {
        let now = crash.at;
        self.evict_expired(now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            crashes: Vec::with_capacity(CRASHES_TO_QUARANTINE),
            until: now + SUSPECT_TTL,
            on_trial_until: None,
        });
        suspect.on_trial_until = None;
        if suspect.is_quarantined() || suspect.has_crash(&crash, solo) {
            return false;
        }
        suspect.crashes.push(crash);
        let ttl = if suspect.is_quarantined() {
            QUARANTINE_TTL
        } else {
            SUSPECT_TTL
        };
        suspect.until = now + ttl;
        true
    }

    fn set_on_trial(&mut self, fingerprint: Fingerprint, until: Option<Instant>) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let changed = suspect.on_trial_until.is_some() != until.is_some();
        suspect.on_trial_until = until;
        changed
    }

    fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let is_quarantined = self
            .suspects
            .get(&fingerprint)
            .is_none_or(Suspect::is_quarantined);
        !is_quarantined && self.suspects.remove(&fingerprint).is_some()
    }

    fn evict_expired(&mut self, now: Instant) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| now < suspect.until);
        }
    }

    /// Number of suspects in memory.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }
}
