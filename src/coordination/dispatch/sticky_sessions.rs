//! Sessions that stay on the old version during a rollout because they ran there.
//!
//! Load pattern: each daemon of a large fleet finds some sessions, and together they are hundreds. If
//! each passed on all sessions that it has heard of, a heartbeat would grow with the fleet. In a large
//! fleet it lists those that it found itself and only the newest of the others.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Maximum number of sessions kept.
const MAX_SESSIONS: usize = 512;
/// Maximum number of other daemons' sessions that a heartbeat to a large fleet passes on.
pub const MAX_PASSED_ON: usize = 16;

/// Which daemon found that a session stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finder {
    /// This daemon.
    Own,
    /// Another daemon.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct StickySession {
    added_at: Instant,
    finder: Finder,
}

/// The sessions of one rollout that stay on the old version.
#[derive(Clone, Debug, Default)]
pub struct StickySessions(BTreeMap<u64, StickySession>);

impl StickySessions {
    /// Returns whether a session stays.
    pub fn contains(&self, session: u64) -> bool {
        self.0.contains_key(&session)
    }

    /// Adds a session if there is room.
    pub fn add(&mut self, session: u64, finder: Finder, now: Instant) {
        if self.0.len() < MAX_SESSIONS {
            self.0.entry(session).or_insert(StickySession {
                added_at: now,
                finder,
            });
        }
    }

    /// Returns the sessions that were added within `age`: those that this daemon found, and of the others
    /// the newest, at most `max_passed_on`.
    pub fn recent(&self, age: Duration, max_passed_on: usize, now: Instant) -> Vec<u64> {
        let is_recent = |(_, session): &(&u64, &StickySession)| {
            now.saturating_duration_since(session.added_at) <= age
        };
        let recent = self.0.iter().filter(is_recent);
        let (own, mut others): (Vec<_>, Vec<_>) =
            recent.partition(|(_, session)| session.finder == Finder::Own);
        others.sort_by_key(|(_, session)| Reverse(session.added_at));
        others.truncate(max_passed_on);
        own.into_iter().chain(others).map(|(id, _)| *id).collect()
    }
}
