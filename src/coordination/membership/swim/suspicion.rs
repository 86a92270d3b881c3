//! Suspected daemons, which may refute the suspicion before they are declared dead.

use std::time::{Duration, Instant};

use crate::coordination::membership::{MemberState, record::Body, swim::Swim};

/// How long a suspected daemon may take to refute.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Added to the timeout on daemons that know of the suspicion only by gossip, so that a daemon
/// whose own probe failed decides first.
const INDIRECT_SUSPICION_MARGIN: Duration = Duration::from_millis(400);
/// How often a daemon whose own probe failed pings the suspect.
const SUSPECT_PING_INTERVAL: Duration = Duration::from_millis(200);

/// A pending suspicion.
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
