//! Permits: requests leases from owners, grants leases to holders, and probes the engines in use.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use compact_str::CompactString;
use futures::future::join_all;
use platform_api::engine::Load;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    coordination::{
        membership::{DaemonName, Member, MemberState},
        ownership::{FleetView, Ownership},
        permits::{
            Agreement, ConcurrencyLimits, EngineIncarnation, EngineReport, Grant, LeaseRequest,
            leases::{Leases, Reservation},
            ledger::Ledgers,
        },
    },
    daemon::{core::Core, membership::Membership, permits::links::EngineLinks},
    protocol::peer::{PeerRequest, PeerResponse, permits::Request, permits::Response},
    state::{
        objects::{Offer, UpstreamName},
        snapshot::{Generation, Snapshot},
    },
    supervise::Supervisor,
};

mod links;
mod slot;

pub use slot::{AcquireResult, Slot, SlotTimeout};

/// Interval at which due lease requests, probes and agreements are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which missing agreements are requested.
const AGREEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Retry-After value when no slot is available.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// State of this daemon as an owner of upstreams, and the fleet view that it is based on.
struct OwnerState {
    ownership: Ownership,
    ledgers: Ledgers,
    view: Arc<FleetView>,
    generation: Generation,
}

/// Permits of a running daemon.
pub struct Permits {
    core: Arc<Core>,
    membership: Arc<Membership>,
    leases: Mutex<Leases>,
    owner_state: Mutex<OwnerState>,
    links: EngineLinks,
    slots_changed: Notify,
}

impl std::fmt::Debug for Permits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Permits").finish_non_exhaustive()
    }
}

impl Permits {
    /// Starts the task that requests leases; the returned value also serves requests of peers.
    pub fn spawn(core: Arc<Core>, membership: Arc<Membership>) -> Arc<Self> {
        let own = core.name().clone();
        let quorum_status = membership.quorum_status();
        let view = FleetView::new(BTreeSet::new(), BTreeSet::new(), quorum_status, [].iter());
        let this = Arc::new(Self {
            leases: Mutex::new(Leases::new(own.clone(), core.incarnation)),
            owner_state: Mutex::new(OwnerState {
                ownership: Ownership::new(own),
                ledgers: Ledgers::default(),
                view: Arc::new(view),
                generation: 0,
            }),
            core,
            membership,
            links: EngineLinks::default(),
            slots_changed: Notify::new(),
        });
        Supervisor::new(&this.core.clock).spawn("permits", this.clone(), Self::run);
        this
    }

    /// Reserves a slot if one is available now.
    pub fn try_acquire(self: &Arc<Self>, upstream: &str) -> AcquireResult {
        let slot = |permits| {
            AcquireResult::Slot(Slot {
                upstream: upstream.into(),
                permits,
            })
        };
        if !self.is_leased(upstream) {
            return slot(None);
        }
        if self.links.has_ended(upstream) {
            self.leases().discard_confirmation(upstream);
        }
        match self.leases().reserve_slot(self.core.clock.now(), upstream) {
            Reservation::Reserved => slot(Some(self.clone())),
            Reservation::Full => AcquireResult::Full,
            Reservation::NoLease => AcquireResult::LeasePending,
        }
    }

    /// Waits for a slot until `deadline`.
    pub async fn acquire(
        self: &Arc<Self>,
        upstream: &str,
        deadline: Instant,
    ) -> Result<Slot, SlotTimeout> {
        loop {
            let slots_changed = self.slots_changed.notified();
            if let AcquireResult::Slot(slot) = self.try_acquire(upstream) {
                return Ok(slot);
            }
            let remaining = deadline.saturating_duration_since(self.core.clock.now());
            if timeout(remaining, slots_changed).await.is_err() {
                return Err(SlotTimeout {
                    upstream: upstream.into(),
                    retry_after: RETRY_AFTER,
                });
            }
        }
    }

    /// Returns the number of slots available now.
    pub fn available(&self, upstream: &str) -> u32 {
        let snapshot = self.core.snapshot();
        match snapshot.objects.upstreams.get(upstream).map(|u| &u.offer) {
            Some(Offer::Service { concurrency, .. }) => *concurrency,
            _ => self.leases().available(self.core.clock.now(), upstream),
        }
    }

    /// Returns the number of concurrent requests that this daemon may currently send to an engine.
    pub fn slots(&self, upstream: &str) -> u32 {
        self.leases().slots(self.core.clock.now(), upstream)
    }

    /// Records the engine incarnation reported in an answer.
    pub fn record_incarnation(&self, upstream: &str, engine: EngineIncarnation) {
        self.leases().observe_incarnation(upstream, engine);
    }

    /// Records that the engine broke or refused a connection, as it may have restarted.
    pub fn record_crash(&self, upstream: &str) {
        self.leases().mark_crashed(upstream);
        self.links.close(upstream);
    }

    /// Returns all leases to their owners. Called once this daemon has finished its last request.
    pub async fn release_leases(self: &Arc<Self>) {
        let now = self.core.clock.now();
        let view = self.refresh(now);
        let requests = {
            let mut leases = self.leases();
            leases.release_all(now);
            leases.requests_due(now, |u| view.owner(u))
        };
        let requests = requests
            .into_iter()
            .map(|(owner, request)| self.clone().send_request(owner, request));
        join_all(requests).await;
    }

    /// Handles a request from a peer.
    pub async fn answer(&self, req: Request) -> Response {
        match req {
            Request::AcquireLeases(request) => Response::Grants(self.grant(&request)),
            Request::Agree { owner, upstreams } => Response::Agreed {
                incarnation: self.core.incarnation,
                agreements: self.agreements_for(&owner, &upstreams),
            },
        }
    }

    async fn run(self: Arc<Self>) {
        let mut next_agreement_at = self.core.clock.now();
        loop {
            sleep(TICK_INTERVAL).await;
            let now = self.core.clock.now();
            let view = self.refresh(now);
            self.request_leases(now, &view);
            self.probe_engines(now);
            self.confirm_engines(now);
            if now >= next_agreement_at {
                next_agreement_at = now + AGREEMENT_INTERVAL;
                self.request_agreements(now);
            }
        }
    }

    /// Updates the fleet view and the ownership tenures.
    fn refresh(&self, now: Instant) -> Arc<FleetView> {
        let members = self.core.members();
        let snapshot = self.core.snapshot();
        let quorum_status = self.membership.quorum_status();
        let reachable = names(&members, Member::reachable);
        let leaving = names(&members, |m| m.state == MemberState::Leaving);
        let mut owner_state = self.owner_state();
        let view = &owner_state.view;
        let is_current =
            view.reachable == reachable && owner_state.generation == snapshot.generation;
        if !is_current {
            let engines = engines(&snapshot);
            let view = FleetView::new(reachable, leaving, quorum_status, engines.iter());
            owner_state.ledgers.retain(|name| engines.contains(name));
            owner_state.view = Arc::new(view);
            owner_state.generation = snapshot.generation;
        } else if view.quorum != quorum_status || view.leaving != leaving {
            let mut view = FleetView::clone(view);
            view.quorum = quorum_status;
            view.leaving = leaving;
            owner_state.view = Arc::new(view);
        }
        let view = owner_state.view.clone();
        owner_state.ownership.refresh(now, &view);
        view
    }

    fn request_leases(self: &Arc<Self>, now: Instant, view: &FleetView) {
        let requests = self.leases().requests_due(now, |u| view.owner(u));
        for (owner, request) in requests {
            if owner == *self.core.name() {
                let grants = self.grant(&request);
                self.handle_grants(&owner, request.seq, &grants);
            } else {
                tokio::spawn(self.clone().send_request(owner, request));
            }
        }
    }

    async fn send_request(self: Arc<Self>, owner: DaemonName, request: LeaseRequest) {
        let seq = request.seq;
        match self.call(&owner, Request::AcquireLeases(request)).await {
            Some(Response::Grants(grants)) => self.handle_grants(&owner, seq, &grants),
            _ => self.leases().request_failed(&owner, seq),
        }
    }

    fn handle_grants(&self, owner: &str, seq: u64, grants: &[Grant]) {
        self.leases()
            .apply_grants(self.core.clock.now(), owner, seq, grants);
        self.slots_changed.notify_waiters();
    }

    async fn call(&self, to: &str, req: Request) -> Option<Response> {
        let members = self.core.members();
        let member = members.iter().find(|m| m.name == to)?;
        let req = PeerRequest::Permits(req);
        match self.core.peers.call(member, req, CALL_TIMEOUT).await {
            Ok(PeerResponse::Permits(res)) => Some(res),
            Ok(_) => None,
            Err(e) => {
                log::debug!("step=permits {e}");
                None
            }
        }
    }

    fn grant(&self, request: &LeaseRequest) -> Vec<Grant> {
        let now = self.core.clock.now();
        let view = self.refresh(now);
        let snapshot = self.core.snapshot();
        let mut owner_state = self.owner_state();
        let owner_state = &mut *owner_state;
        request
            .demands
            .iter()
            .map(|demand| {
                let grant_authority = owner_state
                    .ownership
                    .authority(now, &view, &demand.upstream);
                let concurrency_limits = concurrency_limits(&snapshot, &demand.upstream);
                owner_state
                    .ledgers
                    .grant(now, grant_authority, concurrency_limits, request, demand)
            })
            .collect()
    }

    fn agreements_for(&self, owner: &DaemonName, upstreams: &[UpstreamName]) -> Vec<Agreement> {
        let now = self.core.clock.now();
        let view = self.refresh(now);
        let mut leases = self.leases();
        upstreams
            .iter()
            .filter(|u| view.owner(u) == Some(owner))
            .map(|upstream| {
                let (held, in_use) = leases.held_and_in_use(now, upstream);
                Agreement {
                    upstream: upstream.clone(),
                    held,
                    in_use,
                }
            })
            .collect()
    }

    fn request_agreements(self: &Arc<Self>, now: Instant) {
        let missing = {
            let owner_state = self.owner_state();
            owner_state
                .ownership
                .missing_agreements(now, &owner_state.view)
        };
        for (to, upstreams) in missing {
            let this = self.clone();
            tokio::spawn(async move { this.request_agreement(now, to, upstreams).await });
        }
    }

    async fn request_agreement(
        &self,
        requested_at: Instant,
        to: DaemonName,
        upstreams: Vec<UpstreamName>,
    ) {
        let owner = self.core.name().clone();
        let req = Request::Agree { owner, upstreams };
        let Some(Response::Agreed {
            incarnation,
            agreements,
        }) = self.call(&to, req).await
        else {
            return;
        };
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let mut owner_state = self.owner_state();
        for agreement in &agreements {
            if let Some(concurrency_limits) = concurrency_limits(&snapshot, &agreement.upstream) {
                let ledgers = &mut owner_state.ledgers;
                ledgers.adopt(now, concurrency_limits, &to, incarnation, agreement);
            }
            owner_state
                .ownership
                .record_agreement(requested_at, &agreement.upstream, &to);
        }
    }

    /// Reads the load of the engines that are in use and owned by this daemon.
    fn probe_engines(self: &Arc<Self>, now: Instant) {
        let due = self.owner_state().ledgers.probes_due(now);
        for upstream in due {
            let this = self.clone();
            tokio::spawn(async move {
                if let Some(load) = this.load(&upstream).await {
                    let report = report(&load);
                    let now = this.core.clock.now();
                    this.owner_state().ledgers.report(now, &upstream, report);
                }
            });
        }
    }

    /// Discards the confirmation of engines whose connection has ended, and confirms engine
    /// incarnations over connections opened since.
    fn confirm_engines(self: &Arc<Self>, now: Instant) {
        for upstream in self.links.ended() {
            self.leases().discard_confirmation(&upstream);
        }
        self.links.retain(|u| self.is_watched(u));
        for upstream in self.leases().unconfirmed(now) {
            let this = self.clone();
            tokio::spawn(async move {
                if let Some(load) = this.load(&upstream).await {
                    let now = this.core.clock.now();
                    this.leases()
                        .confirm_incarnation(now, &upstream, load.incarnation);
                    this.slots_changed.notify_waiters();
                }
            });
        }
    }

    async fn load(&self, upstream: &str) -> Option<Load> {
        let addr = self.address(upstream)?;
        match self.links.load(upstream, addr).await {
            Ok(load) => load,
            Err(e) => {
                log::debug!(
                    "step=permits upstream={upstream} peer={addr} reading the load failed: {e}"
                );
                None
            }
        }
    }

    fn address(&self, upstream: &str) -> Option<SocketAddr> {
        let snapshot = self.core.snapshot();
        Some(snapshot.objects.upstreams.get(upstream)?.address)
    }

    fn is_watched(&self, upstream: &str) -> bool {
        let held = self.leases().upstream_names().any(|u| u == upstream);
        held || self.owner_state().ownership.owned().any(|u| u == upstream)
    }

    /// Whether the upstream's slots are leased. Plain services need no lease, as they have no cold
    /// start.
    fn is_leased(&self, upstream: &str) -> bool {
        let snapshot = self.core.snapshot();
        let upstream = snapshot.objects.upstreams.get(upstream);
        !matches!(upstream.map(|u| &u.offer), Some(Offer::Service { .. }))
    }

    fn leases(&self) -> MutexGuard<'_, Leases> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn owner_state(&self) -> MutexGuard<'_, OwnerState> {
        self.owner_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn names(members: &[Member], predicate: impl Fn(&Member) -> bool) -> BTreeSet<CompactString> {
    let predicate = members.iter().filter(|m| predicate(m));
    predicate.map(|m| m.name.clone()).collect()
}

fn engines(snapshot: &Snapshot) -> BTreeSet<UpstreamName> {
    let upstreams = snapshot.objects.upstreams.iter();
    upstreams
        .filter(|(_, u)| matches!(u.offer, Offer::Engine { .. }))
        .map(|(name, _)| name.clone())
        .collect()
}

fn concurrency_limits(snapshot: &Snapshot, upstream: &str) -> Option<ConcurrencyLimits> {
    match &snapshot.objects.upstreams.get(upstream)?.offer {
        Offer::Engine { warm, cold, .. } => Some(ConcurrencyLimits {
            cold: *cold,
            warm: *warm,
        }),
        Offer::Service { .. } => None,
    }
}

fn report(load: &Load) -> EngineReport {
    EngineReport {
        engine: load.incarnation,
        cold: load.cold,
        outstanding: load.running + load.waiting,
    }
}
