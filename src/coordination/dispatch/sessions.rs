//! Sessions with a recent request, which stay on their version during a rollout.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Maximum number of sessions remembered.
const MAX_SESSIONS: usize = 2_048;

/// When each session was last seen.
#[derive(Clone, Debug, Default)]
pub struct RecentSessions {
    seen: HashMap<u64, Instant>,
}

impl RecentSessions {
    /// Records a request of a session.
    pub fn record(&mut self, session: u64, now: Instant, session_timeout: Duration) {
        if self.seen.len() >= MAX_SESSIONS {
            self.seen
                .retain(|_, at| now.saturating_duration_since(*at) < session_timeout);
        }
        if self.seen.len() < MAX_SESSIONS {
            self.seen.insert(session, now);
        }
    }

    /// Returns the sessions seen within three session timeouts; the margin covers responses in
    /// flight.
    pub fn recent(&self, now: Instant, session_timeout: Duration) -> Vec<u64> {
        self.seen
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) < session_timeout * 3)
            .map(|(session, _)| *session)
            .collect()
    }
}
