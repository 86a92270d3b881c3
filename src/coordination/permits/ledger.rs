//! The owner's side: the leases granted and the capacity left to grant.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        membership::{DaemonName, Incarnation},
        ownership::GrantAuthority,
        permits::{
            Agreement, ConcurrencyLimits, Demand, EngineIncarnation, EngineReport, Grant,
            LEASE_TERM, LEASE_TERM_MARGIN, LeaseRequest, Outcome, division::fair_share,
        },
    },
    state::objects::UpstreamName,
};

/// How often the load of an engine is read while it is cold or unverified, or while orphaned slots
/// are kept.
const COLD_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// How often the load of a warm engine is read.
const WARM_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// How long the slots of an expired holder are withheld unless the engine reports fewer requests.
const ORPHANED_SLOTS_RETENTION: Duration = Duration::from_secs(120);
/// How long after the expiry of a lease a load report counts as evidence of its requests, since
/// reports lag.
const REPORT_LAG: Duration = Duration::from_secs(3);
/// Maximum number of lease holders of one upstream.
const MAX_HOLDERS: usize = 1_024;
/// Number of past engine incarnations whose late reports are recognised and ignored.
const MAX_RETIRED_ENGINES: usize = 8;

/// Slots valid for the known engine incarnation (`current`) and for any other (`cold`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Slots {
    current: u32,
    cold: u32,
}

impl Slots {
    fn max(self, other: Self) -> Self {
        Self {
            current: self.current.max(other.current),
            cold: self.cold.max(other.cold),
        }
    }
}

/// The slots that one daemon holds or may hold.
#[derive(Clone, Debug)]
struct Holder {
    seq: u64,
    wanted: u32,
    in_use: u32,
    /// The latest grant and its expiry.
    granted: Slots,
    granted_until: Instant,
    /// The lease reported by its latest request, which it keeps if the response is lost.
    held: Slots,
    held_until: Instant,
}

impl Holder {
    /// Returns the maximum number of slots that it may hold by leases.
    fn leased(&self, now: Instant) -> Slots {
        let mut max_leased = Slots::default();
        if now < self.granted_until {
            max_leased = max_leased.max(self.granted);
        }
        if now < self.held_until {
            max_leased = max_leased.max(self.held);
        }
        max_leased
    }

    fn expires_at(&self) -> Instant {
        self.granted_until.max(self.held_until)
    }
}

/// Slots of a holder whose leases have expired; its requests may still be running.
#[derive(Clone, Copy, Debug)]
struct OrphanedSlots {
    slots: u32,
    at: Instant,
}

/// The leases granted for one upstream.
#[derive(Debug)]
pub struct Ledger {
    limits: ConcurrencyLimits,
    warmup_limit: u32,
    engine: Option<EngineIncarnation>,
    retired_engines: VecDeque<EngineIncarnation>,
    unverified: bool,
    cold: bool,
    holders: BTreeMap<(DaemonName, Incarnation), Holder>,
    orphaned: Vec<OrphanedSlots>,
    next_probe: Instant,
    last_used: Instant,
}

impl Ledger {
    /// Creates a ledger without an engine report. Requests admitted by an earlier owner may fill
    /// the engine, so its whole capacity counts as orphaned.
    fn new(now: Instant, limits: ConcurrencyLimits) -> Self {
        let inherited = OrphanedSlots {
            slots: limits.warm.max(limits.cold),
            at: now,
        };
        Self {
            limits,
            warmup_limit: limits.cold,
            engine: None,
            retired_engines: VecDeque::new(),
            unverified: true,
            cold: true,
            holders: BTreeMap::new(),
            orphaned: vec![inherited],
            next_probe: now,
            last_used: now,
        }
    }

    /// Returns how many requests the engine may run concurrently now.
    fn capacity(&self) -> u32 {
        if self.unverified || self.cold {
            self.limits.cold
        } else {
            self.warmup_limit.clamp(self.limits.cold, self.limits.warm)
        }
    }

    fn expire_leases(&mut self, now: Instant) {
        let orphaned = &mut self.orphaned;
        self.holders.retain(|_, holder| {
            let expired = now >= holder.expires_at();
            let slots = holder
                .granted
                .current
                .max(holder.held.current)
                .max(holder.in_use);
            if expired && slots > 0 {
                orphaned.push(OrphanedSlots {
                    slots,
                    at: holder.expires_at(),
                });
            }
            !expired
        });
        orphaned.retain(|o| now.saturating_duration_since(o.at) < ORPHANED_SLOTS_RETENTION);
    }

    fn grant(
        &mut self,
        now: Instant,
        authority: GrantAuthority,
        request: &LeaseRequest,
        demand: &Demand,
    ) -> Outcome {
        self.last_used = now;
        self.observe_engine(now, demand);
        self.expire_leases(now);
        let key = (request.from.clone(), request.incarnation);
        if self.holders.get(&key).is_some_and(|h| h.seq >= request.seq) {
            return Outcome::NotOwner;
        }
        self.holders.remove(&key);
        let held = Slots {
            current: demand.held.slots,
            cold: demand.held.cold_slots,
        };
        let remaining = Duration::from_millis(demand.held.remaining_ms.into());
        let granted = self.divide(now, authority, demand, held);
        let holder = Holder {
            seq: request.seq,
            wanted: demand.wanted,
            in_use: demand.in_use,
            granted,
            granted_until: now + LEASE_TERM + LEASE_TERM_MARGIN,
            held,
            held_until: now + remaining.min(LEASE_TERM) + LEASE_TERM_MARGIN,
        };
        let released =
            demand.wanted == 0 && granted.current == 0 && held.current == 0 && demand.in_use == 0;
        if !released && self.holders.len() < MAX_HOLDERS {
            self.holders.insert(key, holder);
        } else if !released {
            return Outcome::NotOwner;
        }
        Outcome::Lease {
            slots: granted.current,
            cold_slots: granted.cold,
            engine: self.engine,
        }
    }

    /// Computes the slots for one daemon, whose own entry must have been removed from `holders`.
    fn divide(
        &self,
        now: Instant,
        authority: GrantAuthority,
        demand: &Demand,
        held: Slots,
    ) -> Slots {
        let total_wanted = self.holders.values().map(|h| h.wanted).sum::<u32>() + demand.wanted;
        let orphaned: u32 = if authority.adopting {
            0
        } else {
            self.orphaned.iter().map(|o| o.slots).sum()
        };
        let others = self.holders.values();
        let reserved = others.clone().fold(Slots::default(), |sum, h| {
            let leased = h.leased(now);
            Slots {
                current: sum.current + leased.current.max(h.in_use),
                cold: sum.cold + leased.cold,
            }
        });
        let current_capacity = authority.share.apply_to(self.capacity());
        let cold_capacity = authority.share.apply_to(self.limits.cold);
        let free = current_capacity.saturating_sub(reserved.current + orphaned);
        let cold_free = cold_capacity.saturating_sub(reserved.cold + orphaned);
        let fair_share = |capacity| {
            if demand.idle && total_wanted > capacity {
                return 0;
            }
            fair_share(capacity, demand.wanted, total_wanted)
        };
        let mut granted = Slots {
            current: fair_share(current_capacity).min(free),
            cold: fair_share(cold_capacity).min(cold_free),
        };
        if authority.adopting {
            granted.current = granted.current.min(held.current);
            granted.cold = granted.cold.min(held.cold);
        }
        granted.cold = granted.cold.min(granted.current);
        granted
    }

    /// Records the lease of a daemon that has agreed to this owner and has not yet sent it a
    /// request.
    fn adopt(
        &mut self,
        now: Instant,
        from: &DaemonName,
        from_incarnation: Incarnation,
        agreement: &Agreement,
    ) {
        let held = Slots {
            current: agreement.held.slots,
            cold: agreement.held.cold_slots,
        };
        if (held.current == 0 && agreement.in_use == 0) || self.holders.len() >= MAX_HOLDERS {
            return;
        }
        let remaining = Duration::from_millis(agreement.held.remaining_ms.into());
        let until = now + remaining.min(LEASE_TERM) + LEASE_TERM_MARGIN;
        let holder = self
            .holders
            .entry((from.clone(), from_incarnation))
            .or_insert_with(|| Holder {
                seq: 0,
                wanted: held.current,
                in_use: agreement.in_use,
                granted: Slots::default(),
                granted_until: now,
                held,
                held_until: until,
            });
        holder.held = holder.held.max(held);
        holder.held_until = holder.held_until.max(until);
        holder.in_use = holder.in_use.max(agreement.in_use);
    }

    /// Applies what the requesting daemon observed of the engine.
    fn observe_engine(&mut self, now: Instant, demand: &Demand) {
        if demand.crashed {
            self.mark_unverified(now);
        }
        if let Some(seen_engine) = demand.seen_engine
            && self.engine.is_some_and(|known| known != seen_engine)
            && !self.retired_engines.contains(&seen_engine)
        {
            self.mark_unverified(now);
        }
        let same = demand.seen_engine.is_some() && demand.seen_engine == self.engine;
        if same && !self.unverified && !self.cold && !demand.crashed {
            self.warmup_limit = (self.warmup_limit + demand.answered).min(self.limits.warm);
        }
    }

    fn mark_unverified(&mut self, now: Instant) {
        self.unverified = true;
        self.next_probe = now;
    }

    fn report(&mut self, now: Instant, report: EngineReport) {
        if self.retired_engines.contains(&report.engine) {
            return;
        }
        if self.engine != Some(report.engine) {
            self.retired_engines
                .extend(self.engine.replace(report.engine));
            if self.retired_engines.len() > MAX_RETIRED_ENGINES {
                self.retired_engines.pop_front();
            }
            self.warmup_limit = self.limits.cold;
        }
        if report.cold {
            self.warmup_limit = self.limits.cold;
        }
        self.cold = report.cold;
        self.unverified = false;
        self.release_orphaned(now, report.outstanding);
    }

    /// Frees the orphaned slots that the engine's report shows to be unused.
    ///
    /// The requests of current holders are not deducted, because their counts are as old as their
    /// latest lease requests.
    fn release_orphaned(&mut self, now: Instant, outstanding: u32) {
        let mut unaccounted = outstanding;
        for orphaned in &mut self.orphaned {
            if now.saturating_duration_since(orphaned.at) >= REPORT_LAG {
                orphaned.slots = orphaned.slots.min(unaccounted);
            }
            unaccounted = unaccounted.saturating_sub(orphaned.slots);
        }
        self.orphaned.retain(|o| o.slots > 0);
    }

    fn probe_interval(&self) -> Duration {
        if self.unverified || self.cold || !self.orphaned.is_empty() {
            COLD_PROBE_INTERVAL
        } else {
            WARM_PROBE_INTERVAL
        }
    }
}

/// The ledgers of all upstreams that this daemon owns or recently owned.
#[derive(Debug, Default)]
pub struct Ledgers {
    ledgers: BTreeMap<UpstreamName, Ledger>,
}

impl Ledgers {
    /// Grants slots for one demand; `authority` is `None` if this daemon does not own the upstream.
    pub fn grant(
        &mut self,
        now: Instant,
        authority: Option<GrantAuthority>,
        limits: Option<ConcurrencyLimits>,
        request: &LeaseRequest,
        demand: &Demand,
    ) -> Grant {
        let upstream = demand.upstream.clone();
        let (Some(authority), Some(limits)) = (authority, limits) else {
            let outcome = Outcome::NotOwner;
            return Grant { upstream, outcome };
        };
        let ledger = self
            .ledgers
            .entry(upstream.clone())
            .or_insert_with(|| Ledger::new(now, limits));
        ledger.limits = limits;
        let outcome = ledger.grant(now, authority, request, demand);
        Grant { upstream, outcome }
    }

    /// Records the lease of a daemon that has agreed to this daemon's ownership.
    pub fn adopt(
        &mut self,
        now: Instant,
        limits: ConcurrencyLimits,
        from: &DaemonName,
        from_incarnation: Incarnation,
        agreement: &Agreement,
    ) {
        let ledger = self
            .ledgers
            .entry(agreement.upstream.clone())
            .or_insert_with(|| Ledger::new(now, limits));
        ledger.adopt(now, from, from_incarnation, agreement);
    }

    /// Drops the ledgers of upstreams that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.ledgers.retain(|name, _| keep(name));
    }

    /// Applies a load report of an engine.
    pub fn report(&mut self, now: Instant, upstream: &str, report: EngineReport) {
        if let Some(ledger) = self.ledgers.get_mut(upstream) {
            ledger.report(now, report);
        }
    }

    /// Returns the upstreams whose load is to be read now, and drops unused ledgers.
    pub fn probes_due(&mut self, now: Instant) -> Vec<UpstreamName> {
        for ledger in self.ledgers.values_mut() {
            ledger.expire_leases(now);
        }
        self.ledgers.retain(|_, l| {
            let idle = now.saturating_duration_since(l.last_used) > ORPHANED_SLOTS_RETENTION;
            !(idle && l.holders.is_empty() && l.orphaned.is_empty())
        });
        let mut due = Vec::new();
        for (name, ledger) in &mut self.ledgers {
            let needed = !ledger.holders.is_empty() || !ledger.orphaned.is_empty();
            if needed && now >= ledger.next_probe {
                ledger.next_probe = now + ledger.probe_interval();
                due.push(name.clone());
            }
        }
        due
    }
}
