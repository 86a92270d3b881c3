//! Chooses where the next attempt of a request goes: to an upstream, or to another daemon.

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;

use crate::{
    coordination::dispatch::{NoSlotReason, Placement, PlacementRequest, reachability::Delegate},
    gateway::{
        delegate::Delegation,
        forward::{Exchange, Origin},
        peer_link,
        reply::RefusalReason,
        shared::SlotGuard,
    },
};

/// Retry-After when no upstream accepted the request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Number of upstreams to which a request has lost connections before it goes to another daemon.
const LOSSES_BEFORE_DELEGATION: u32 = 2;
/// Maximum number of daemons that a request is delegated to, one after the other.
const MAX_DELEGATES: usize = 3;

/// Where an attempt goes.
#[derive(Display)]
pub enum Target {
    /// To an upstream on which a slot is reserved.
    #[display("upstream={}", _0.assignment.upstream)]
    Upstream(SlotGuard),
    /// To another daemon.
    Peer(Delegation),
}

impl Target {
    /// Returns whether both are the same upstream or daemon.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Upstream(slot), Self::Upstream(other)) => {
                slot.assignment.upstream == other.assignment.upstream
            }
            (Self::Peer(delegation), Self::Peer(other)) => delegation.peer() == other.peer(),
            (Self::Upstream(_), Self::Peer(_)) | (Self::Peer(_), Self::Upstream(_)) => false,
        }
    }
}

impl Exchange {
    /// Returns whether an upstream is no longer listed, or a daemon no longer live.
    pub(super) fn is_gone(&self, target: &Target) -> bool {
        let dispatcher = self.shared.dispatcher();
        match target {
            Target::Upstream(slot) => dispatcher.registry.get(&slot.assignment.upstream).is_none(),
            Target::Peer(delegation) => {
                let mut live = dispatcher.peers.live(self.shared.now());
                live.all(|peer| peer.last_heartbeat.from.name != delegation.peer())
            }
        }
    }

    /// Chooses an upstream and reserves a slot there, or a daemon that can serve the request instead;
    /// waits while the upstreams are full or the rate limit of cold ones requires it.
    pub async fn choose_target(&mut self) -> Result<Target, (RefusalReason, Option<Duration>)> {
        if self.prefers_delegate()
            && let Some(delegation) = self.delegate_to_peer()
        {
            return Ok(Target::Peer(delegation));
        }
        loop {
            let now = self.shared.now();
            let remaining = self.call.remaining(now);
            if remaining.is_zero() {
                return Err((RefusalReason::Timeout, None));
            }
            match self.place().await? {
                Placement::Assigned(assignment) => {
                    self.log_placement(&assignment);
                    peer_link::send_prefill_notice(&self.shared, &assignment);
                    let slot = SlotGuard::for_assignment(self.shared.clone(), assignment);
                    return Ok(Target::Upstream(slot));
                }
                Placement::Wait(wait) if wait < remaining => tokio::time::sleep(wait).await,
                Placement::Wait(wait) => return Err((RefusalReason::NoSlot, Some(wait))),
                Placement::Refuse(why, wait) => {
                    let may_delegate =
                        matches!(why, NoSlotReason::Unreachable | NoSlotReason::NoShare);
                    if may_delegate && let Some(delegation) = self.delegate_to_peer() {
                        return Ok(Target::Peer(delegation));
                    }
                    self.reconsider_tried(why, wait)?;
                }
            }
        }
    }

    /// Allows a second try of upstreams if all have been tried, as that is better than a failure;
    /// refuses the request otherwise.
    fn reconsider_tried(
        &mut self,
        why: NoSlotReason,
        wait: Duration,
    ) -> Result<(), (RefusalReason, Option<Duration>)> {
        let none_left = matches!(why, NoSlotReason::NoneUsable | NoSlotReason::Unreachable);
        if !none_left || self.tried.is_empty() {
            log::info!("event=no_place id={} why={why}", self.call.id());
            return Err((RefusalReason::NoSlot, Some(wait)));
        }
        self.tried.clear();
        if self.attempts == 0 {
            return Err((RefusalReason::NoSlot, Some(REFUSED_RETRY_AFTER)));
        }
        self.attempts = self.attempts.max(self.call.route.max_attempts - 1);
        Ok(())
    }

    /// Returns whether another daemon is more likely to reach an upstream than this one.
    fn prefers_delegate(&self) -> bool {
        self.unreachable + self.broken >= LOSSES_BEFORE_DELEGATION
            || self.shared.dispatcher().reachability.is_cut_off()
    }

    /// Chooses another daemon for the request, if it may be delegated.
    fn delegate_to_peer(&mut self) -> Option<Delegation> {
        if self.origin == Origin::Peer || self.delegates.len() >= MAX_DELEGATES {
            return None;
        }
        let now = self.shared.now();
        let chosen =
            self.shared
                .dispatcher()
                .choose_delegate_for(&self.call.service, &self.delegates, now);
        let Delegate { name, address } = chosen?;
        self.delegates.push(name.clone());
        Delegation::to(name, address, &self.shared.settings, now)
    }

    /// Describes the request for its placement.
    pub(super) fn placement_request<'a>(
        &'a self,
        model: Option<&'a CompactString>,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.call.service,
            route: &self.call.route.name,
            session: self.call.session,
            model: model.map(CompactString::as_str),
            prompt: self.call.head.prompt.as_ref(),
            body_bytes: self.call.body.len(),
            tried: &self.tried,
            remaining: self.call.remaining(self.shared.now()),
        }
    }
}
