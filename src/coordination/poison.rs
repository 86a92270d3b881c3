//! Requests that crash the upstream that runs them: suspicion, solo runs and final refusal.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        hash::{hash_bytes, mix},
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
    pub fn of(customer: &str, body: &[u8]) -> Self {
        Self(mix(hash_bytes(customer.as_bytes())) ^ hash_bytes(body))
    }

    /// A number by which to spread solo runs over upstreams.
    pub fn spread(self) -> u64 {
        mix(self.0)
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
    /// It is refused for good.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
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
    /// The request ran alone, and the upstream stood.
    Cleared,
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
    running: HashMap<Fingerprint, u32>,
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
        match self.suspects.get(&fingerprint) {
            Some(suspect) if now >= suspect.until => Treatment::Usual,
            Some(suspect) if suspect.refused() => Treatment::Refuse {
                retry_after: suspect.until.saturating_duration_since(now),
            },
            Some(_) => Treatment::Solo,
            None => Treatment::Usual,
        }
    }

    /// Whether a suspect runs already, so that another run of it must wait.
    pub fn running(&self, fingerprint: Fingerprint) -> bool {
        self.running.contains_key(&fingerprint)
    }

    /// The upstreams that have crashed under a request; it is not sent there again.
    pub fn crashed_on(&self, fingerprint: Fingerprint) -> Vec<UpstreamName> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or_else(Vec::new, |s| {
            s.crashes.iter().map(|c| c.upstream.clone()).collect()
        })
    }

    /// A request was dispatched.
    pub fn started(&mut self, fingerprint: Fingerprint) {
        *self.running.entry(fingerprint).or_default() += 1;
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
        if let Some(count) = self.running.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&fingerprint);
            }
        }
        let event = match outcome {
            Outcome::Crashed => {
                self.crashes += 1;
                Event::Crashed {
                    upstream: upstream.clone(),
                    solo,
                    id: mix(self.seed ^ mix(self.crashes)),
                }
            }
            Outcome::Answered { .. } if solo => Event::Cleared,
            _ => return None,
        };
        let note = Note { fingerprint, event };
        self.note(now, &note).then_some(note)
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
        });
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
