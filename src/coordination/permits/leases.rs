//! The lease holder's side: the leases of one daemon and its requests to the owners.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        membership::{DaemonName, Incarnation},
        permits::{Demand, EngineIncarnation, Grant, HeldLease, LEASE_TERM, LeaseRequest, Outcome},
    },
    state::objects::UpstreamName,
};

/// How often leases are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum time between two lease requests to one owner.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Base interval of requests for more slots. It grows with the number of owners, so that the rate
/// of requests from one daemon stays low in a large fleet.
const GROWTH_INTERVAL: Duration = Duration::from_millis(500);
/// Added to [`GROWTH_INTERVAL`] for each owner.
const GROWTH_INTERVAL_PER_OWNER: Duration = Duration::from_millis(125);
/// The lease of an upstream is released after this long without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of upstreams tracked at once.
const MAX_HOLDINGS: usize = 1_024;

/// The outcome of an attempt to reserve a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// A slot is reserved; the caller must release it.
    Reserved,
    /// All slots of the lease are in use.
    Full,
    /// There is no valid lease.
    NoLease,
}

/// A lease, which may have expired.
#[derive(Clone, Copy, Debug)]
struct Lease {
    slots: u32,
    cold_slots: u32,
    engine: Option<EngineIncarnation>,
    expires: Instant,
}

/// The lease and recent usage of one upstream.
#[derive(Clone, Debug)]
struct Holding {
    lease: Option<Lease>,
    in_use: u32,
    refused: u32,
    peak: u32,
    answered: u32,
    confirmed: Option<EngineIncarnation>,
    crashed: bool,
    last_used: Instant,
    /// When the lease was last requested.
    requested_at: Option<Instant>,
    /// Whether to request the lease without waiting for the renewal interval.
    urgent: bool,
}

impl Holding {
    fn new(now: Instant) -> Self {
        Self {
            lease: None,
            in_use: 0,
            refused: 0,
            peak: 0,
            answered: 0,
            confirmed: None,
            crashed: false,
            last_used: now,
            requested_at: None,
            urgent: true,
        }
    }

    fn valid_lease(&self, now: Instant) -> Option<&Lease> {
        self.lease.as_ref().filter(|l| now < l.expires)
    }

    /// Returns how many requests may run concurrently now.
    fn slots(&self, now: Instant) -> u32 {
        self.valid_lease(now).map_or(0, |lease| {
            if lease.engine.is_some() && lease.engine == self.confirmed {
                lease.slots
            } else {
                lease.cold_slots
            }
        })
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.in_use == 0 && now.saturating_duration_since(self.last_used) >= IDLE_TIMEOUT
    }

    /// Returns one slot more than the peak demand, so that the owner sees growing demand.
    fn wanted(&self, now: Instant) -> u32 {
        if self.is_idle(now) {
            return 0;
        }
        self.peak.max(self.in_use + self.refused) + 1
    }

    fn demand(&self, now: Instant, upstream: &UpstreamName) -> Demand {
        let held = self.valid_lease(now).map_or(HeldLease::default(), |lease| {
            let remaining = lease.expires.saturating_duration_since(now);
            HeldLease {
                slots: lease.slots,
                cold_slots: lease.cold_slots,
                remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            }
        });
        Demand {
            upstream: upstream.clone(),
            wanted: self.wanted(now),
            in_use: self.in_use,
            idle: self.peak.max(self.refused).max(self.in_use) == 0,
            held,
            answered: self.answered,
            seen_engine: self.confirmed,
            crashed: self.crashed,
        }
    }
}

/// A lease request awaiting its response.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    seq: u64,
    sent: Instant,
}

/// The leases held by one daemon.
#[derive(Debug)]
pub struct Leases {
    own: DaemonName,
    incarnation: Incarnation,
    seq: u64,
    holdings: BTreeMap<UpstreamName, Holding>,
    pending: BTreeMap<DaemonName, PendingRequest>,
    requested_at: BTreeMap<DaemonName, Instant>,
}

impl Leases {
    /// Starts without leases.
    pub fn new(own: DaemonName, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            seq: 0,
            holdings: BTreeMap::new(),
            pending: BTreeMap::new(),
            requested_at: BTreeMap::new(),
        }
    }

    /// Reserves a slot if the lease is valid now and has a free one.
    pub fn reserve_slot(&mut self, now: Instant, upstream: &str) -> Reservation {
        let Some(holding) = self.holding(now, upstream) else {
            return Reservation::NoLease;
        };
        holding.last_used = now;
        let slots = holding.slots(now);
        if holding.in_use < slots {
            holding.in_use += 1;
            holding.peak = holding.peak.max(holding.in_use);
            return Reservation::Reserved;
        }
        holding.refused = holding.refused.saturating_add(1).min(holding.in_use + 1);
        if holding.valid_lease(now).is_some() {
            Reservation::Full
        } else {
            holding.urgent = true;
            Reservation::NoLease
        }
    }

    /// Releases a reserved slot.
    pub fn release_slot(&mut self, upstream: &str) {
        if let Some(holding) = self.holdings.get_mut(upstream) {
            holding.in_use = holding.in_use.saturating_sub(1);
        }
    }

    /// Counts a successful response.
    pub fn record_success(&mut self, upstream: &str) {
        if let Some(holding) = self.holdings.get_mut(upstream) {
            holding.answered = holding.answered.saturating_add(1);
        }
    }

    /// Returns the number of free slots; if there are none, records demand for the next lease
    /// request.
    pub fn available(&mut self, now: Instant, upstream: &str) -> u32 {
        let Some(holding) = self.holding(now, upstream) else {
            return 0;
        };
        let free = holding.slots(now).saturating_sub(holding.in_use);
        if free == 0 {
            holding.last_used = now;
            holding.refused = holding.refused.max(1);
            holding.urgent |= holding.valid_lease(now).is_none();
        }
        free
    }

    /// Returns how many requests may run concurrently now.
    pub fn slots(&self, now: Instant, upstream: &str) -> u32 {
        self.holdings.get(upstream).map_or(0, |h| h.slots(now))
    }

    /// Records the engine incarnation named by a response; a change limits use to cold slots until
    /// the incarnation is confirmed.
    ///
    /// A response may be read long after the engine that sent it has exited, so it never confirms
    /// an incarnation.
    pub fn observe_incarnation(&mut self, upstream: &str, engine: EngineIncarnation) {
        if let Some(holding) = self.holdings.get_mut(upstream)
            && holding.confirmed.is_some_and(|known| known != engine)
        {
            holding.confirmed = None;
            holding.urgent = true;
        }
    }

    /// Records the incarnation that the engine reported over a connection opened after the last
    /// call of [`Self::discard_confirmation`].
    pub fn confirm_incarnation(&mut self, now: Instant, upstream: &str, engine: EngineIncarnation) {
        let Some(holding) = self.holdings.get_mut(upstream) else {
            return;
        };
        holding.confirmed = Some(engine);
        if holding
            .valid_lease(now)
            .is_some_and(|l| l.engine != Some(engine))
        {
            holding.urgent = true;
        }
    }

    /// Discards the confirmed incarnation, which then has to be confirmed again.
    pub fn discard_confirmation(&mut self, upstream: &str) {
        if let Some(holding) = self.holdings.get_mut(upstream) {
            holding.confirmed = None;
        }
    }

    /// Records that the engine may have restarted.
    pub fn mark_crashed(&mut self, upstream: &str) {
        if let Some(holding) = self.holdings.get_mut(upstream) {
            holding.confirmed = None;
            holding.crashed = true;
            holding.urgent = true;
        }
    }

    /// Whether slots reserved earlier are still covered by the lease, which may have expired during
    /// a pause of the process.
    pub fn is_valid(&self, now: Instant, upstream: &str) -> bool {
        let holding = self.holdings.get(upstream);
        holding.is_some_and(|h| h.in_use <= h.slots(now))
    }

    /// Returns the lease held and the slots in use, for an owner that adopts them; grants still in
    /// transit are discarded.
    pub fn held_and_in_use(&mut self, now: Instant, upstream: &str) -> (HeldLease, u32) {
        let Some(holding) = self.holdings.get_mut(upstream) else {
            return (HeldLease::default(), 0);
        };
        holding.requested_at = None;
        holding.urgent = true;
        let demand = holding.demand(now, &upstream.into());
        (demand.held, demand.in_use)
    }

    /// Returns the upstreams with a valid lease whose engine has not confirmed the incarnation
    /// named by the lease.
    pub fn unconfirmed(&self, now: Instant) -> Vec<UpstreamName> {
        let differs = |h: &Holding| h.valid_lease(now).is_some_and(|l| l.engine != h.confirmed);
        self.holdings
            .iter()
            .filter(|(_, h)| differs(h))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Releases all leases. The next requests report the release and are sent without waiting for
    /// pending requests or the minimum interval.
    pub fn release_all(&mut self, now: Instant) {
        self.pending.clear();
        self.requested_at.clear();
        for holding in self.holdings.values_mut() {
            holding.lease = None;
            holding.peak = 0;
            holding.refused = 0;
            holding.urgent = true;
            holding.last_used = now.checked_sub(IDLE_TIMEOUT).unwrap_or(now);
        }
    }

    /// Returns the tracked upstreams.
    pub fn upstream_names(&self) -> impl Iterator<Item = &UpstreamName> {
        self.holdings.keys()
    }

    /// Returns the lease requests to send now, at most one per owner.
    pub fn requests_due<'a>(
        &mut self,
        now: Instant,
        owner: impl Fn(&str) -> Option<&'a DaemonName>,
    ) -> Vec<(DaemonName, LeaseRequest)> {
        self.pending
            .retain(|_, p| now.saturating_duration_since(p.sent) < LEASE_TERM);
        let mut by_owner: BTreeMap<&DaemonName, Vec<&UpstreamName>> = BTreeMap::new();
        for upstream in self.holdings.keys() {
            if let Some(owner) = owner(upstream) {
                by_owner.entry(owner).or_default().push(upstream);
            }
        }
        let owners = u32::try_from(by_owner.len()).unwrap_or(u32::MAX);
        let growth_interval = GROWTH_INTERVAL + GROWTH_INTERVAL_PER_OWNER.saturating_mul(owners);
        let is_due = |upstream: &&UpstreamName| {
            let holding = &self.holdings[*upstream];
            let since = holding
                .requested_at
                .map(|at| now.saturating_duration_since(at));
            let interval = if holding.refused > 0 {
                growth_interval.min(RENEWAL_INTERVAL)
            } else {
                RENEWAL_INTERVAL
            };
            holding.urgent || since.is_none_or(|since| since >= interval)
        };
        let mut requests = Vec::new();
        for (owner, upstreams) in by_owner {
            let too_soon = self
                .requested_at
                .get(owner)
                .is_some_and(|at| now.saturating_duration_since(*at) < MIN_REQUEST_INTERVAL);
            if too_soon || self.pending.contains_key(owner) || !upstreams.iter().any(is_due) {
                continue;
            }
            let demands = upstreams
                .iter()
                .map(|u| self.holdings[*u].demand(now, u))
                .collect();
            self.seq += 1;
            let request = LeaseRequest {
                from: self.own.clone(),
                incarnation: self.incarnation,
                seq: self.seq,
                demands,
            };
            requests.push((owner.clone(), request));
        }
        for (owner, request) in &requests {
            self.record_sent(now, owner, request);
        }
        self.requested_at
            .retain(|_, at| now.saturating_duration_since(*at) < LEASE_TERM);
        requests
    }

    /// Applies the grants of the response to request `seq`; a late or duplicate response changes
    /// nothing.
    pub fn apply_grants(&mut self, now: Instant, owner: &str, seq: u64, grants: &[Grant]) {
        let Some(pending) = self.pending.get(owner).copied().filter(|p| p.seq == seq) else {
            return;
        };
        self.pending.remove(owner);
        for grant in grants {
            self.apply_grant(now, pending.sent, grant);
        }
    }

    /// Records that a request got no response, so that the owner may be asked again.
    pub fn request_failed(&mut self, owner: &str, seq: u64) {
        if self.pending.get(owner).is_some_and(|p| p.seq == seq) {
            self.pending.remove(owner);
        }
    }

    fn apply_grant(&mut self, now: Instant, sent: Instant, grant: &Grant) {
        let Some(holding) = self.holdings.get_mut(&grant.upstream) else {
            return;
        };
        let Outcome::Lease {
            slots,
            cold_slots,
            engine,
        } = grant.outcome
        else {
            return;
        };
        if holding.requested_at != Some(sent) {
            return;
        }
        holding.lease = Some(Lease {
            slots,
            cold_slots,
            engine,
            expires: sent + LEASE_TERM,
        });
        if slots == 0 && holding.is_idle(now) {
            self.holdings.remove(&grant.upstream);
        }
    }

    fn record_sent(&mut self, now: Instant, owner: &DaemonName, request: &LeaseRequest) {
        let pending = PendingRequest {
            seq: request.seq,
            sent: now,
        };
        self.pending.insert(owner.clone(), pending);
        self.requested_at.insert(owner.clone(), now);
        for demand in &request.demands {
            if let Some(holding) = self.holdings.get_mut(&demand.upstream) {
                holding.requested_at = Some(now);
                holding.urgent = false;
                holding.peak = holding.in_use;
                holding.refused = 0;
                holding.answered = 0;
                holding.crashed = false;
            }
        }
    }

    fn holding(&mut self, now: Instant, upstream: &str) -> Option<&mut Holding> {
        if !self.holdings.contains_key(upstream) {
            if self.holdings.len() >= MAX_HOLDINGS {
                return None;
            }
            self.holdings.insert(upstream.into(), Holding::new(now));
        }
        self.holdings.get_mut(upstream)
    }
}
