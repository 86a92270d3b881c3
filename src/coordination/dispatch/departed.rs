//! What removed upstreams announced, in case that their entries reappear.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform::UpstreamId;

use crate::coordination::dispatch::{
    assignment::Assignment, health::Health, rate_limit::AnnouncedLimit, registry::Upstream,
};

/// How long the announcements of a removed upstream are kept.
const RETENTION: Duration = Duration::from_secs(600);

/// What a removed incarnation announced.
#[derive(Clone, Debug)]
pub(super) struct Departed {
    started_ms: Option<u64>,
    address: SocketAddr,
    pub(super) leaving: bool,
    pub(super) health: Health,
    pub(super) limit: AnnouncedLimit,
    removed_at: Instant,
}

/// Removed upstreams that announced something.
#[derive(Debug, Default)]
pub(super) struct DepartedUpstreams(HashMap<UpstreamId, Departed>);

impl DepartedUpstreams {
    /// Keeps what an upstream announced before its entry is removed.
    pub(super) fn keep(&mut self, upstream: Upstream, now: Instant) {
        let is_paused = upstream.health.is_paused(now);
        if !upstream.leaving && !is_paused && !upstream.limit.is_recent(now) {
            return;
        }
        let departed = Departed {
            started_ms: upstream.started_ms,
            address: upstream.address,
            leaving: upstream.leaving,
            health: upstream.health,
            limit: upstream.limit,
            removed_at: now,
        };
        self.0.insert(upstream.id, departed);
    }

    /// Returns the state of the incarnation that an assignment was sent to and whose entry has been
    /// removed since, or `None` if another incarnation was removed later.
    pub(super) fn of_assignment(
        &mut self,
        assignment: &Assignment,
        now: Instant,
    ) -> Option<&mut Departed> {
        let departed = self
            .0
            .entry(assignment.upstream.clone())
            .or_insert_with(|| Departed {
                started_ms: assignment.started_ms,
                address: assignment.address,
                leaving: false,
                health: Health::default(),
                limit: AnnouncedLimit::default(),
                removed_at: now,
            });
        (departed.started_ms == assignment.started_ms).then_some(departed)
    }

    /// Returns what an incarnation whose entry reappears announced before.
    pub(super) fn take(&mut self, upstream: &Upstream) -> Option<Departed> {
        let departed = self.0.remove(&upstream.id)?;
        let is_same =
            departed.started_ms == upstream.started_ms && departed.address == upstream.address;
        is_same.then_some(departed)
    }

    /// Removes what was kept for long enough.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, departed| now.saturating_duration_since(departed.removed_at) < RETENTION);
    }
}
