//! The sessions with a request of late, which stay with their version.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The most sessions remembered.
const MAX_SESSIONS: usize = 2_048;

/// When each session was last seen.
#[derive(Clone, Debug, Default)]
pub struct RecentSessions {
    seen: HashMap<u64, Instant>,
}

impl RecentSessions {
    /// Notes a request of a session.
    pub fn record(&mut self, session: u64, now: Instant, session_timeout: Duration) {
        if self.seen.len() >= MAX_SESSIONS {
            self.seen
                .retain(|_, at| now.saturating_duration_since(*at) < session_timeout);
        }
        if self.seen.len() < MAX_SESSIONS {
            self.seen.insert(session, now);
        }
    }

    /// The sessions seen within the session time, with some room for answers under way.
    pub fn recent(&self, now: Instant, session_timeout: Duration) -> Vec<u64> {
        self.seen
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) < session_timeout * 3)
            .map(|(session, _)| *session)
            .collect()
    }
}
