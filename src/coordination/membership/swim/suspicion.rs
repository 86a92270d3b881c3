//! Suspects have a moment to refute before they are declared dead.

use std::time::{Duration, Instant};

use crate::coordination::membership::{MemberState, record::Body, swim::Swim};

/// How long a suspect may take to refute.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// What is added for those that know of the suspicion by hearsay, so that a witness decides first.
const INDIRECT_SUSPICION_MARGIN: Duration = Duration::from_millis(400);
/// How often a witness pings the suspect.
const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(200);

/// A suspicion under way.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// Whether this daemon's own probe failed.
    pub(super) witnessed: bool,
    since: Instant,
    next_ping: Instant,
}

impl Suspicion {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            witnessed: false,
            since: now,
            next_ping: now,
        }
    }

    pub(super) fn restart(&mut self, now: Instant) {
        *self = Self {
            witnessed: self.witnessed,
            ..Self::new(now)
        };
    }

    pub(super) fn next_wakeup(&self) -> Instant {
        if self.witnessed {
            self.next_ping.min(self.deadline())
        } else {
            self.deadline()
        }
    }

    fn deadline(&self) -> Instant {
        if self.witnessed {
            self.since + SUSPICION_TIMEOUT
        } else {
            self.since + SUSPICION_TIMEOUT + INDIRECT_SUSPICION_MARGIN
        }
    }
}

impl Swim {
    pub(super) fn check_suspicions(&mut self, now: Instant) {
        let due: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(_, s)| s.next_wakeup() <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let Some(entry) = self.member_list.get(&name) else {
                self.suspicions.remove(&name);
                continue;
            };
            let record = entry.record.clone();
            let Some(suspicion) = self.suspicions.get_mut(&name) else {
                continue;
            };
            if now >= suspicion.deadline() {
                self.declare(now, record, MemberState::Dead);
                continue;
            }
            suspicion.next_ping = now + SUSPECT_PING_INTERVAL;
            let seq = self.prober.next_seq();
            self.send(record.member.peers, Some(&record), Body::Ping(seq));
        }
    }
}
