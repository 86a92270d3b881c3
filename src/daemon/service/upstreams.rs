//! Upstreams of plain services: selection, concurrency limits and HTTP clients.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::{sync::watch, time::timeout};

use crate::{
    daemon::core::Core,
    state::{
        objects::{Offer, UpstreamName},
        snapshot::Snapshot,
    },
    transport::http_client::HttpClient,
};

/// Maximum number of calls waiting for a free slot.
const MAX_WAITING_CALLS: usize = 1_024;

/// Reason why no slot was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoSlotReason {
    /// No upstream is in service.
    NoneInService,
    /// All upstreams are at their concurrency limit, and too many calls are waiting.
    Full,
    /// No upstream had a free slot before the deadline.
    TimedOut,
}

/// A reserved slot at an upstream, released when dropped.
pub(super) struct UpstreamSlot {
    pub(super) upstream: UpstreamName,
    pub(super) address: SocketAddr,
    pub(super) http: HttpClient,
    pool: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    slot_freed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    in_flight: BTreeMap<UpstreamName, u32>,
    clients: BTreeMap<SocketAddr, HttpClient>,
    waiting: usize,
}

/// The upstreams of all plain services.
pub(super) struct Upstreams {
    core: Arc<Core>,
    shared: Arc<Shared>,
}

/// An upstream that may be selected, ordered by preference: the minimum is selected.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_remote: bool,
    in_flight: u32,
    upstream: UpstreamName,
    address: SocketAddr,
}

impl Upstreams {
    pub(super) fn new(core: Arc<Core>) -> Self {
        Self {
            core,
            shared: Arc::default(),
        }
    }

    /// Reserves a slot at an upstream in service.
    ///
    /// Prefers upstreams outside `avoid`, then the daemon's own failure domain, then those with the
    /// fewest calls in flight.
    pub(super) fn try_reserve(
        &self,
        service: &str,
        avoid: &[UpstreamName],
    ) -> Result<UpstreamSlot, NoSlotReason> {
        let snapshot = self.core.snapshot();
        let member_count = self.core.members().iter().filter(|m| m.reachable()).count();
        let mut state = self.shared.lock();
        let mut best_candidate: Option<(bool, Candidate)> = None;
        let mut in_service = false;
        for name in snapshot.servers_for_service(service) {
            let Some(upstream) = self.core.usable_upstream(&snapshot, name) else {
                continue;
            };
            in_service = true;
            let in_flight = state.in_flight.get(name).copied().unwrap_or(0);
            if in_flight >= concurrency_share(&upstream.offer, member_count) {
                continue;
            }
            let candidate = Candidate {
                is_remote: upstream.failure_domain != self.core.settings.failure_domain,
                in_flight,
                upstream: name.clone(),
                address: upstream.address,
            };
            let ranked = (avoid.contains(name), candidate);
            if best_candidate.as_ref().is_none_or(|b| ranked < *b) {
                best_candidate = Some(ranked);
            }
        }
        let Some((_, chosen)) = best_candidate else {
            return Err(if in_service {
                NoSlotReason::Full
            } else {
                NoSlotReason::NoneInService
            });
        };
        Ok(self.reserve_at(&mut state, &snapshot, chosen))
    }

    fn reserve_at(
        &self,
        state: &mut State,
        snapshot: &Snapshot,
        chosen: Candidate,
    ) -> UpstreamSlot {
        *state.in_flight.entry(chosen.upstream.clone()).or_default() += 1;
        if !state.clients.contains_key(&chosen.address) {
            let upstreams = &snapshot.objects.upstreams;
            let used = |address: &SocketAddr| upstreams.values().any(|u| u.address == *address);
            state.clients.retain(|address, _| used(address));
        }
        let http = state
            .clients
            .entry(chosen.address)
            .or_insert_with(|| HttpClient::new(chosen.address))
            .clone();
        UpstreamSlot {
            upstream: chosen.upstream,
            address: chosen.address,
            http,
            pool: self.shared.clone(),
        }
    }

    /// Reserves a slot, waiting until one is free or the deadline passes.
    pub(super) async fn reserve(
        &self,
        service: &str,
        avoid: &[UpstreamName],
        deadline: Instant,
    ) -> Result<UpstreamSlot, NoSlotReason> {
        let mut slot_freed = self.shared.slot_freed.subscribe();
        match self.try_reserve(service, avoid) {
            Err(NoSlotReason::Full) => {}
            other => return other,
        }
        let _waiting = WaitingGuard::enter(&self.shared)?;
        loop {
            let remaining = deadline.saturating_duration_since(self.core.clock.now());
            if timeout(remaining, slot_freed.changed()).await.is_err() {
                return Err(NoSlotReason::TimedOut);
            }
            match self.try_reserve(service, avoid) {
                Err(NoSlotReason::Full) => {}
                other => return other,
            }
        }
    }

    /// Whether the active configuration still has the upstream in service at the same address.
    pub(super) fn still_in_service(&self, slot: &UpstreamSlot) -> bool {
        let snapshot = self.core.snapshot();
        let upstream = self.core.usable_upstream(&snapshot, &slot.upstream);
        upstream.is_some_and(|u| u.address == slot.address)
    }
}

/// Returns this daemon's share of an upstream's concurrency limit.
fn concurrency_share(offer: &Offer, member_count: usize) -> u32 {
    let member_count = u32::try_from(member_count).unwrap_or(u32::MAX).max(1);
    match offer {
        Offer::Service { concurrency, .. } => concurrency.div_ceil(member_count).max(1),
        Offer::Engine { .. } => 0,
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(count) = state.in_flight.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                state.in_flight.remove(&self.upstream);
            }
        }
        drop(state);
        self.pool.slot_freed.send_modify(|count| *count += 1);
    }
}

/// Counts one waiting call until dropped.
struct WaitingGuard<'a>(&'a Shared);

impl<'a> WaitingGuard<'a> {
    fn enter(shared: &'a Shared) -> Result<Self, NoSlotReason> {
        let mut state = shared.lock();
        if state.waiting >= MAX_WAITING_CALLS {
            return Err(NoSlotReason::Full);
        }
        state.waiting += 1;
        Ok(Self(shared))
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}
