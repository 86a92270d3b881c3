//! The upstreams of plain services: which one to use, how many calls each bears, connections.

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

/// The greatest number of calls that wait for a free place at an upstream.
const MAX_WAITING: usize = 1_024;

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// None is in service.
    NoneInService,
    /// All bear as many calls as they can, and too many wait.
    Full,
    /// None had a free place before the deadline.
    Late,
}

/// A place at an upstream, given back when dropped.
pub(super) struct Place {
    pub(super) upstream: UpstreamName,
    pub(super) address: SocketAddr,
    pub(super) http: HttpClient,
    owner: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    freed: watch::Sender<u64>,
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

/// An upstream that may be chosen; the least goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    far: bool,
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

    /// Takes a place at the nearest and least busy upstream in service, those in `avoid` last.
    pub(super) fn take(&self, service: &str, avoid: &[UpstreamName]) -> Result<Place, NoPlace> {
        let snapshot = self.core.snapshot();
        let members = self.core.members().iter().filter(|m| m.reachable()).count();
        let mut state = self.shared.lock();
        let mut best: Option<(bool, Candidate)> = None;
        let mut in_service = false;
        for name in snapshot.servers_for_service(service) {
            let Some(upstream) = self.core.usable_upstream(&snapshot, name) else {
                continue;
            };
            in_service = true;
            let in_flight = state.in_flight.get(name).copied().unwrap_or(0);
            if in_flight >= share(&upstream.offer, members) {
                continue;
            }
            let candidate = Candidate {
                far: upstream.failure_domain != self.core.settings.failure_domain,
                in_flight,
                upstream: name.clone(),
                address: upstream.address,
            };
            let ranked = (avoid.contains(name), candidate);
            if best.as_ref().is_none_or(|b| ranked < *b) {
                best = Some(ranked);
            }
        }
        let Some((_, chosen)) = best else {
            return Err(if in_service {
                NoPlace::Full
            } else {
                NoPlace::NoneInService
            });
        };
        Ok(self.place(&mut state, &snapshot, chosen))
    }

    fn place(&self, state: &mut State, snapshot: &Snapshot, chosen: Candidate) -> Place {
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
        Place {
            upstream: chosen.upstream,
            address: chosen.address,
            http,
            owner: self.shared.clone(),
        }
    }

    /// Takes a place as soon as there is one.
    pub(super) async fn wait(
        &self,
        service: &str,
        avoid: &[UpstreamName],
        until: Instant,
    ) -> Result<Place, NoPlace> {
        let mut freed = self.shared.freed.subscribe();
        match self.take(service, avoid) {
            Err(NoPlace::Full) => {}
            other => return other,
        }
        let _waiting = Waiting::enter(&self.shared)?;
        loop {
            let left = until.saturating_duration_since(self.core.clock.now());
            if timeout(left, freed.changed()).await.is_err() {
                return Err(NoPlace::Late);
            }
            match self.take(service, avoid) {
                Err(NoPlace::Full) => {}
                other => return other,
            }
        }
    }

    /// Whether the upstream is still in service, at the same address, under the configuration in force.
    pub(super) fn still_in_service(&self, place: &Place) -> bool {
        let snapshot = self.core.snapshot();
        let upstream = self.core.usable_upstream(&snapshot, &place.upstream);
        upstream.is_some_and(|u| u.address == place.address)
    }
}

/// The number of calls that this daemon may have open at an upstream.
fn share(offer: &Offer, members: usize) -> u32 {
    let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    match offer {
        Offer::Service { concurrency, .. } => concurrency.div_ceil(members).max(1),
        Offer::Engine { .. } => 0,
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.owner.lock();
        if let Some(count) = state.in_flight.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                state.in_flight.remove(&self.upstream);
            }
        }
        drop(state);
        self.owner.freed.send_modify(|count| *count += 1);
    }
}

/// Counts a call that waits.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn enter(shared: &'a Shared) -> Result<Self, NoPlace> {
        let mut state = shared.lock();
        if state.waiting >= MAX_WAITING {
            return Err(NoPlace::Full);
        }
        state.waiting += 1;
        Ok(Self(shared))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}
