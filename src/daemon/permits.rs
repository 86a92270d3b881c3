//! Drives permits: asks owners, answers askers, and watches the engines in use.

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
    daemon::{core::Core, membership::Membership, permits::links::Links},
    protocol::peer::{PeerRequest, PeerResponse, permits::Request, permits::Response},
    state::{
        objects::{Offer, UpstreamName},
        snapshot::{Generation, Snapshot},
    },
};

mod links;
mod slot;

pub use slot::{Acquire, Denied, Slot};

/// How often asks, probes and agreements are looked after.
const TICK: Duration = Duration::from_millis(50);
/// How often agreements are sought.
const AGREE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a call to a peer may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// When to come back after a refusal for want of a slot.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The owner's part, and the view on which it rests.
struct Office {
    ownership: Ownership,
    ledgers: Ledgers,
    view: Arc<FleetView>,
    generation: Generation,
}

/// The running permits of one daemon.
pub struct Permits {
    core: Arc<Core>,
    membership: Arc<Membership>,
    leases: Mutex<Leases>,
    office: Mutex<Office>,
    links: Links,
    changed: Notify,
}

impl std::fmt::Debug for Permits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Permits").finish_non_exhaustive()
    }
}

impl Permits {
    /// Begins to lease and to grant.
    pub fn spawn(core: Arc<Core>, membership: Arc<Membership>) -> Arc<Self> {
        let own = core.name().clone();
        let standing = membership.quorum_status();
        let view = FleetView::new(BTreeSet::new(), BTreeSet::new(), standing, [].iter());
        let this = Arc::new(Self {
            leases: Mutex::new(Leases::new(own.clone(), core.incarnation)),
            office: Mutex::new(Office {
                ownership: Ownership::new(own),
                ledgers: Ledgers::default(),
                view: Arc::new(view),
                generation: 0,
            }),
            core,
            membership,
            links: Links::default(),
            changed: Notify::new(),
        });
        tokio::spawn(this.clone().run());
        this
    }

    /// Takes a slot if one is free at this moment.
    pub fn try_acquire(self: &Arc<Self>, upstream: &str) -> Acquire {
        let slot = |permits| {
            Acquire::Slot(Slot {
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
            Reservation::Full => Acquire::Full,
            Reservation::NoLease => Acquire::Unknown,
        }
    }

    /// Waits for a slot until `deadline`.
    pub async fn acquire(
        self: &Arc<Self>,
        upstream: &str,
        deadline: Instant,
    ) -> Result<Slot, Denied> {
        loop {
            let changed = self.changed.notified();
            if let Acquire::Slot(slot) = self.try_acquire(upstream) {
                return Ok(slot);
            }
            let left = deadline.saturating_duration_since(self.core.clock.now());
            if timeout(left, changed).await.is_err() {
                return Err(Denied {
                    upstream: upstream.into(),
                    retry_after: RETRY_AFTER,
                });
            }
        }
    }

    /// The slots that could be taken now.
    pub fn available(&self, upstream: &str) -> u32 {
        let snapshot = self.core.snapshot();
        match snapshot.objects.upstreams.get(upstream).map(|u| &u.offer) {
            Some(Offer::Service { concurrency, .. }) => *concurrency,
            _ => self.leases().available(self.core.clock.now(), upstream),
        }
    }

    /// The requests that this daemon may run on an engine at once now.
    pub fn slots(&self, upstream: &str) -> u32 {
        self.leases().slots(self.core.clock.now(), upstream)
    }

    /// Notes the incarnation that an answer of the engine named.
    pub fn saw_incarnation(&self, upstream: &str, engine: EngineIncarnation) {
        self.leases().observe_incarnation(upstream, engine);
    }

    /// Notes that the engine broke a connection or refused one, so that it may have restarted.
    pub fn crashed(&self, upstream: &str) {
        self.leases().mark_crashed(upstream);
        self.links.close(upstream);
    }

    /// Gives all slots back to their owners, for a daemon that has finished its last request.
    pub async fn release(self: &Arc<Self>) {
        let now = self.core.clock.now();
        let view = self.refresh(now);
        let asks = {
            let mut leases = self.leases();
            leases.release_all(now);
            leases.requests_due(now, |u| view.owner(u))
        };
        let asks = asks
            .into_iter()
            .map(|(owner, ask)| self.clone().ask(owner, ask));
        join_all(asks).await;
    }

    /// Answers a peer.
    pub async fn answer(&self, req: Request) -> Response {
        match req {
            Request::AcquireLeases(ask) => Response::Grants(self.grant(&ask)),
            Request::Agree { owner, upstreams } => Response::Agreed {
                incarnation: self.core.incarnation,
                agreements: self.agree(&owner, &upstreams),
            },
        }
    }

    async fn run(self: Arc<Self>) {
        let mut next_agree = self.core.clock.now();
        loop {
            sleep(TICK).await;
            let now = self.core.clock.now();
            let view = self.refresh(now);
            self.ask_owners(now, &view);
            self.probe_engines(now);
            self.confirm_engines(now);
            if now >= next_agree {
                next_agree = now + AGREE_INTERVAL;
                self.seek_agreements(now);
            }
        }
    }

    /// Brings the view and the tenures up to date.
    fn refresh(&self, now: Instant) -> Arc<FleetView> {
        let members = self.core.members();
        let snapshot = self.core.snapshot();
        let standing = self.membership.quorum_status();
        let reachable = names(&members, Member::reachable);
        let leaving = names(&members, |m| m.state == MemberState::Leaving);
        let mut office = self.office();
        let view = &office.view;
        let same = view.reachable == reachable && office.generation == snapshot.generation;
        if !same {
            let engines = engines(&snapshot);
            let view = FleetView::new(reachable, leaving, standing, engines.iter());
            office.ledgers.retain(|name| engines.contains(name));
            office.view = Arc::new(view);
            office.generation = snapshot.generation;
        } else if view.quorum != standing || view.leaving != leaving {
            let mut view = FleetView::clone(view);
            view.quorum = standing;
            view.leaving = leaving;
            office.view = Arc::new(view);
        }
        let view = office.view.clone();
        office.ownership.refresh(now, &view);
        view
    }

    fn ask_owners(self: &Arc<Self>, now: Instant, view: &FleetView) {
        let asks = self.leases().requests_due(now, |u| view.owner(u));
        for (owner, ask) in asks {
            if owner == *self.core.name() {
                let grants = self.grant(&ask);
                self.take_in(&owner, ask.seq, &grants);
            } else {
                tokio::spawn(self.clone().ask(owner, ask));
            }
        }
    }

    async fn ask(self: Arc<Self>, owner: DaemonName, ask: LeaseRequest) {
        let seq = ask.seq;
        match self.call(&owner, Request::AcquireLeases(ask)).await {
            Some(Response::Grants(grants)) => self.take_in(&owner, seq, &grants),
            _ => self.leases().request_failed(&owner, seq),
        }
    }

    fn take_in(&self, owner: &str, seq: u64, grants: &[Grant]) {
        self.leases()
            .apply_grants(self.core.clock.now(), owner, seq, grants);
        self.changed.notify_waiters();
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

    fn grant(&self, ask: &LeaseRequest) -> Vec<Grant> {
        let now = self.core.clock.now();
        let view = self.refresh(now);
        let snapshot = self.core.snapshot();
        let mut office = self.office();
        let office = &mut *office;
        ask.demands
            .iter()
            .map(|want| {
                let right = office.ownership.authority(now, &view, &want.upstream);
                let bears = bears(&snapshot, &want.upstream);
                office.ledgers.grant(now, right, bears, ask, want)
            })
            .collect()
    }

    fn agree(&self, owner: &DaemonName, upstreams: &[UpstreamName]) -> Vec<Agreement> {
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

    fn seek_agreements(self: &Arc<Self>, now: Instant) {
        let missing = {
            let office = self.office();
            office.ownership.missing_agreements(now, &office.view)
        };
        for (to, upstreams) in missing {
            let this = self.clone();
            tokio::spawn(async move { this.seek_agreement(now, to, upstreams).await });
        }
    }

    async fn seek_agreement(&self, asked: Instant, to: DaemonName, upstreams: Vec<UpstreamName>) {
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
        let mut office = self.office();
        for agreement in &agreements {
            if let Some(bears) = bears(&snapshot, &agreement.upstream) {
                let ledgers = &mut office.ledgers;
                ledgers.adopt(now, bears, &to, incarnation, agreement);
            }
            office
                .ownership
                .record_agreement(asked, &agreement.upstream, &to);
        }
    }

    /// Reads the load of the engines that this daemon owns and that are in use.
    fn probe_engines(self: &Arc<Self>, now: Instant) {
        let due = self.office().ledgers.probes_due(now);
        for upstream in due {
            let this = self.clone();
            tokio::spawn(async move {
                if let Some(load) = this.load(&upstream).await {
                    let report = report(&load);
                    let now = this.core.clock.now();
                    this.office().ledgers.report(now, &upstream, report);
                }
            });
        }
    }

    /// Confirms the incarnation of engines over connections opened since the last doubt.
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
                    this.changed.notify_waiters();
                }
            });
        }
    }

    async fn load(&self, upstream: &str) -> Option<Load> {
        let addr = self.address(upstream)?;
        match self.links.load(upstream, addr).await {
            Ok(load) => load,
            Err(e) => {
                log::debug!("step=permits upstream={upstream} peer={addr} load failed: {e}");
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
        held || self.office().ownership.owned().any(|u| u == upstream)
    }

    /// Only engines are leased; a plain service has no cold start.
    fn is_leased(&self, upstream: &str) -> bool {
        let snapshot = self.core.snapshot();
        let upstream = snapshot.objects.upstreams.get(upstream);
        !matches!(upstream.map(|u| &u.offer), Some(Offer::Service { .. }))
    }

    fn leases(&self) -> MutexGuard<'_, Leases> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn office(&self) -> MutexGuard<'_, Office> {
        self.office.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn names(members: &[Member], wanted: impl Fn(&Member) -> bool) -> BTreeSet<CompactString> {
    let wanted = members.iter().filter(|m| wanted(m));
    wanted.map(|m| m.name.clone()).collect()
}

fn engines(snapshot: &Snapshot) -> BTreeSet<UpstreamName> {
    let upstreams = snapshot.objects.upstreams.iter();
    upstreams
        .filter(|(_, u)| matches!(u.offer, Offer::Engine { .. }))
        .map(|(name, _)| name.clone())
        .collect()
}

fn bears(snapshot: &Snapshot, upstream: &str) -> Option<ConcurrencyLimits> {
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
