//! Requests that crash the upstream that runs them: suspicion, solo runs and final refusal.

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

/// The distinct crashes after which a request is refused for good.
const CRASHES_TO_REFUSE: usize = 2;

/// The time for which a suspicion is remembered.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// The time for which a refusal is remembered, and after which the caller may come back.
const REFUSAL_TTL: Duration = Duration::from_secs(3_600);

/// Crashes of one upstream this near in time are one crash, unless the request ran alone.
const SAME_CRASH: Duration = Duration::from_secs(2);

/// The longest solo run that keeps the same request out elsewhere.
const TRIAL_TTL: Duration = Duration::from_secs(30);

/// When to come back while the same request runs alone elsewhere.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The greatest number of suspects remembered.
const MAX_SUSPECTS: usize = 4_096;

/// The greatest number of notes in one message.
pub const MAX_NOTES: usize = 64;

/// Identifies a request's customer and body, whatever its key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a customer's request.
    pub fn of(customer: &str, body: impl AsRef<[u8]>) -> Self {
        Self(mix(hash_text(customer)) ^ hash_bytes(body.as_ref()))
    }
}

/// Identifies one crash as one daemon saw it.
pub type CrashId = u64;

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// It runs like any other.
    Usual,
    /// It runs alone on its upstream.
    Solo,
    /// It is refused.
    Refuse(Quarantined),
}

/// Why a suspect is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum QuarantinedWhy {
    /// It has crashed upstreams; this is final until it may come back.
    Crashes,
    /// The same request runs alone elsewhere, to find out whether it crashes upstreams.
    OnTrial,
}

/// The refusal of a suspect, at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("quarantined={why} retry_after_ms={}", retry_after.as_millis())]
pub struct Quarantined {
    /// Why.
    pub why: QuarantinedWhy,
    /// When to come back.
    pub retry_after: Duration,
}

/// What a daemon tells its peers at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What happened to it.
    pub event: Event,
}

/// What happened to a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// An upstream crashed while it ran the request.
    Crashed {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether the request ran alone there.
        solo: bool,
        /// Drawn by the daemon that saw it, so that no crash is counted twice.
        id: CrashId,
    },
    /// The request is about to run alone.
    OnTrial,
    /// The request ran alone, and the upstream stood.
    Cleared,
    /// The request ran alone, and nothing was learned.
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
    fn knows(&self, crash: &Crash, solo: bool) -> bool {
        self.crashes.iter().any(|c| {
            let near = crash.at.saturating_duration_since(c.at) < SAME_CRASH;
            c.id == crash.id || (!solo && near && c.upstream == crash.upstream)
        })
    }

    fn refused(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_REFUSE
    }
}

/// The suspects that one daemon knows of.
#[derive(Debug)]
pub struct Poison {
    seed: u64,
    crashes: u64,
    suspects: BTreeMap<Fingerprint, Suspect>,
    running: HashMap<UpstreamName, Vec<Fingerprint>>,
}

impl Poison {
    /// Knows no suspect; `seed` must differ between daemons and between their starts.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            crashes: 0,
            suspects: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// What is done with a request now.
    pub fn treatment(&self, now: Instant, fingerprint: Fingerprint) -> Treatment {
        let suspect = self.suspects.get(&fingerprint);
        let Some(suspect) = suspect.filter(|s| now < s.until) else {
            return Treatment::Usual;
        };
        if suspect.refused() {
            return Treatment::Refuse(Quarantined {
                why: QuarantinedWhy::Crashes,
                retry_after: suspect.until.saturating_duration_since(now),
            });
        }
        if suspect.on_trial_until.is_some_and(|until| now < until) {
            return Treatment::Refuse(Quarantined {
                why: QuarantinedWhy::OnTrial,
                retry_after: TRIAL_RETRY_AFTER,
            });
        }
        Treatment::Solo
    }

    /// The upstreams that have crashed under a request; it is not sent there again.
    pub fn crashed_on(&self, fingerprint: Fingerprint) -> Vec<UpstreamName> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or_else(Vec::new, |s| {
            s.crashes.iter().map(|c| c.upstream.clone()).collect()
        })
    }

    /// A request was dispatched; returns what peers must know at once.
    pub fn started(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        solo: bool,
    ) -> Option<Note> {
        let running = self.running.entry(upstream.clone()).or_default();
        running.push(fingerprint);
        if !solo {
            return None;
        }
        self.news(now, fingerprint, Event::OnTrial)
    }

    /// A dispatched request has ended; returns what peers must know at once.
    pub fn finished(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        solo: bool,
        outcome: Outcome,
    ) -> Option<Note> {
        self.forget_run(fingerprint, upstream);
        let event = match outcome {
            Outcome::Crashed => self.crash(upstream, solo),
            Outcome::Answered { .. } if solo => Event::Cleared,
            _ if solo => Event::Undecided,
            _ => return None,
        };
        self.news(now, fingerprint, event)
    }

    /// An upstream has crashed: all that still ran there is suspect; returns what peers must know.
    pub fn upstream_crashed(&mut self, now: Instant, upstream: &UpstreamName) -> Vec<Note> {
        let mut running = self.running.get(upstream).cloned().unwrap_or_default();
        running.sort_unstable();
        running.dedup();
        running
            .into_iter()
            .filter_map(|fingerprint| {
                let event = self.crash(upstream, false);
                self.news(now, fingerprint, event)
            })
            .collect()
    }

    fn crash(&mut self, upstream: &UpstreamName, solo: bool) -> Event {
        self.crashes += 1;
        Event::Crashed {
            upstream: upstream.clone(),
            solo,
            id: mix(self.seed ^ mix(self.crashes)),
        }
    }

    fn news(&mut self, now: Instant, fingerprint: Fingerprint, event: Event) -> Option<Note> {
        let note = Note { fingerprint, event };
        self.note(now, &note).then_some(note)
    }

    fn forget_run(&mut self, fingerprint: Fingerprint, upstream: &UpstreamName) {
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

    /// Takes in what happened to a suspect; returns whether it was news.
    pub fn note(&mut self, now: Instant, note: &Note) -> bool {
        match &note.event {
            Event::Crashed { upstream, solo, id } => {
                let crash = Crash {
                    id: *id,
                    upstream: upstream.clone(),
                    at: now,
                };
                self.crashed(note.fingerprint, crash, *solo)
            }
            Event::OnTrial => self.set_trial(note.fingerprint, Some(now + TRIAL_TTL)),
            Event::Undecided => self.set_trial(note.fingerprint, None),
            Event::Cleared => self.cleared(note.fingerprint),
        }
    }

    fn crashed(&mut self, fingerprint: Fingerprint, crash: Crash, solo: bool) -> bool {
        let now = crash.at;
        self.expire(now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            crashes: Vec::with_capacity(CRASHES_TO_REFUSE),
            until: now + SUSPECT_TTL,
            on_trial_until: None,
        });
        suspect.on_trial_until = None;
        if suspect.refused() || suspect.knows(&crash, solo) {
            return false;
        }
        suspect.crashes.push(crash);
        let ttl = if suspect.refused() {
            REFUSAL_TTL
        } else {
            SUSPECT_TTL
        };
        suspect.until = now + ttl;
        true
    }

    fn set_trial(&mut self, fingerprint: Fingerprint, until: Option<Instant>) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let changed = suspect.on_trial_until.is_some() != until.is_some();
        suspect.on_trial_until = until;
        changed
    }

    fn cleared(&mut self, fingerprint: Fingerprint) -> bool {
        let refused = self.suspects.get(&fingerprint).is_none_or(Suspect::refused);
        !refused && self.suspects.remove(&fingerprint).is_some()
    }

    fn expire(&mut self, now: Instant) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| now < suspect.until);
        }
    }

    /// The number of suspects remembered.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }
}
