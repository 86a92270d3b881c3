//! What an owner has granted, and what it may still grant.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        membership::{DaemonName, Incarnation},
        ownership::Office,
        permits::{
            Agreement, Ask, Bears, EngineIncarnation, Grant, LEASE_TERM, LEASE_TERM_MARGIN,
            Outcome, Report, Want, division::due,
        },
    },
    state::objects::UpstreamName,
};

/// How often a cold or doubtful engine is asked for its load.
const COLD_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// How often a warm engine is asked for its load.
const WARM_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// How long the slots of a vanished asker are kept free unless the engine reports fewer requests.
const VANISHED_RETENTION: Duration = Duration::from_secs(120);
/// How long a lease must have lapsed before a load report, which lags, says anything of it.
const REPORT_LAG: Duration = Duration::from_secs(3);
/// The greatest number of askers of one upstream.
const MAX_ASKERS: usize = 1_024;
/// The number of past incarnations whose late reports are recognised.
const MAX_RETIRED: usize = 8;

/// Two numbers of slots: for the known engine incarnation and for any other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Slots {
    any: u32,
    cold: u32,
}

impl Slots {
    fn max(self, other: Self) -> Self {
        Self {
            any: self.any.max(other.any),
            cold: self.cold.max(other.cold),
        }
    }
}

/// What one asker holds or may hold.
#[derive(Clone, Debug)]
struct Asker {
    seq: u64,
    wanted: u32,
    in_use: u32,
    /// What was granted last, and until when.
    granted: Slots,
    granted_until: Instant,
    /// What it held when it asked last, which it keeps if the answer is lost.
    held: Slots,
    held_until: Instant,
}

impl Asker {
    /// The most that it may hold by leases.
    fn leased(&self, now: Instant) -> Slots {
        let mut most = Slots::default();
        if now < self.granted_until {
            most = most.max(self.granted);
        }
        if now < self.held_until {
            most = most.max(self.held);
        }
        most
    }

    fn lapsed(&self) -> Instant {
        self.granted_until.max(self.held_until)
    }
}

/// Slots whose holder has vanished; its requests may still run.
#[derive(Clone, Copy, Debug)]
struct Vanished {
    slots: u32,
    at: Instant,
}

/// The grants of one upstream.
#[derive(Debug)]
pub struct Ledger {
    bears: Bears,
    limit: u32,
    engine: Option<EngineIncarnation>,
    retired: VecDeque<EngineIncarnation>,
    doubtful: bool,
    cold: bool,
    askers: BTreeMap<(DaemonName, Incarnation), Asker>,
    vanished: Vec<Vanished>,
    next_probe: Instant,
    used: Instant,
}

impl Ledger {
    /// A ledger that has seen no report: an earlier owner's askers may have anything running.
    fn new(now: Instant, bears: Bears) -> Self {
        let inherited = Vanished {
            slots: bears.warm.max(bears.cold),
            at: now,
        };
        Self {
            bears,
            limit: bears.cold,
            engine: None,
            retired: VecDeque::new(),
            doubtful: true,
            cold: true,
            askers: BTreeMap::new(),
            vanished: vec![inherited],
            next_probe: now,
            used: now,
        }
    }

    /// The requests at once that the engine is trusted with now.
    fn capacity(&self) -> u32 {
        if self.doubtful || self.cold {
            self.bears.cold
        } else {
            self.limit.clamp(self.bears.cold, self.bears.warm)
        }
    }

    fn forget_lapsed(&mut self, now: Instant) {
        let vanished = &mut self.vanished;
        self.askers.retain(|_, asker| {
            let lapsed = now >= asker.lapsed();
            let slots = asker.granted.any.max(asker.held.any).max(asker.in_use);
            if lapsed && slots > 0 {
                vanished.push(Vanished {
                    slots,
                    at: asker.lapsed(),
                });
            }
            !lapsed
        });
        vanished.retain(|v| now.saturating_duration_since(v.at) < VANISHED_RETENTION);
    }

    fn grant(&mut self, now: Instant, office: Office, ask: &Ask, want: &Want) -> Outcome {
        self.used = now;
        self.note_engine(now, want);
        self.forget_lapsed(now);
        let key = (ask.from.clone(), ask.incarnation);
        if self.askers.get(&key).is_some_and(|a| a.seq >= ask.seq) {
            return Outcome::NotOwner;
        }
        self.askers.remove(&key);
        let held = Slots {
            any: want.held.slots,
            cold: want.held.cold_slots,
        };
        let remaining = Duration::from_millis(want.held.remaining_ms.into());
        let granted = self.divide(now, office, want, held);
        let asker = Asker {
            seq: ask.seq,
            wanted: want.wanted,
            in_use: want.in_use,
            granted,
            granted_until: now + LEASE_TERM + LEASE_TERM_MARGIN,
            held,
            held_until: now + remaining.min(LEASE_TERM) + LEASE_TERM_MARGIN,
        };
        let returned = want.wanted == 0 && granted.any == 0 && held.any == 0 && want.in_use == 0;
        if !returned && self.askers.len() < MAX_ASKERS {
            self.askers.insert(key, asker);
        } else if !returned {
            return Outcome::NotOwner;
        }
        Outcome::Lease {
            slots: granted.any,
            cold_slots: granted.cold,
            engine: self.engine,
        }
    }

    /// The slots for one asker, whose own entry has been taken out.
    fn divide(&self, now: Instant, office: Office, want: &Want, held: Slots) -> Slots {
        let wanted_by_all = self.askers.values().map(|a| a.wanted).sum::<u32>() + want.wanted;
        let vanished: u32 = if office.adopting {
            0
        } else {
            self.vanished.iter().map(|v| v.slots).sum()
        };
        let others = self.askers.values();
        let taken = others.clone().fold(Slots::default(), |sum, a| {
            let leased = a.leased(now);
            Slots {
                any: sum.any + leased.any.max(a.in_use),
                cold: sum.cold + leased.cold,
            }
        });
        let any_capacity = office.power.of(self.capacity());
        let cold_capacity = office.power.of(self.bears.cold);
        let free = any_capacity.saturating_sub(taken.any + vanished);
        let cold_free = cold_capacity.saturating_sub(taken.cold + vanished);
        let due = |capacity| {
            if want.idle && wanted_by_all > capacity {
                return 0;
            }
            due(capacity, want.wanted, wanted_by_all)
        };
        let mut granted = Slots {
            any: due(any_capacity).min(free),
            cold: due(cold_capacity).min(cold_free),
        };
        if office.adopting {
            granted.any = granted.any.min(held.any);
            granted.cold = granted.cold.min(held.cold);
        }
        granted.cold = granted.cold.min(granted.any);
        granted
    }

    /// Counts what a daemon holds that has agreed to this owner and has not asked it yet.
    fn adopt(
        &mut self,
        now: Instant,
        from: &DaemonName,
        start: Incarnation,
        agreement: &Agreement,
    ) {
        let held = Slots {
            any: agreement.held.slots,
            cold: agreement.held.cold_slots,
        };
        if (held.any == 0 && agreement.in_use == 0) || self.askers.len() >= MAX_ASKERS {
            return;
        }
        let remaining = Duration::from_millis(agreement.held.remaining_ms.into());
        let until = now + remaining.min(LEASE_TERM) + LEASE_TERM_MARGIN;
        let asker = self
            .askers
            .entry((from.clone(), start))
            .or_insert_with(|| Asker {
                seq: 0,
                wanted: held.any,
                in_use: agreement.in_use,
                granted: Slots::default(),
                granted_until: now,
                held,
                held_until: until,
            });
        asker.held = asker.held.max(held);
        asker.held_until = asker.held_until.max(until);
        asker.in_use = asker.in_use.max(agreement.in_use);
    }

    /// Takes in what the asker saw of the engine.
    fn note_engine(&mut self, now: Instant, want: &Want) {
        if want.crashed {
            self.doubt(now);
        }
        if let Some(seen) = want.seen
            && self.engine.is_some_and(|known| known != seen)
            && !self.retired.contains(&seen)
        {
            self.doubt(now);
        }
        let same = want.seen.is_some() && want.seen == self.engine;
        if same && !self.doubtful && !self.cold && !want.crashed {
            self.limit = (self.limit + want.answered).min(self.bears.warm);
        }
    }

    fn doubt(&mut self, now: Instant) {
        self.doubtful = true;
        self.next_probe = now;
    }

    fn report(&mut self, now: Instant, report: Report) {
        if self.retired.contains(&report.engine) {
            return;
        }
        if self.engine != Some(report.engine) {
            self.retired.extend(self.engine.replace(report.engine));
            if self.retired.len() > MAX_RETIRED {
                self.retired.pop_front();
            }
            self.limit = self.bears.cold;
        }
        if report.cold {
            self.limit = self.bears.cold;
        }
        self.cold = report.cold;
        self.doubtful = false;
        self.release_vanished(now, report.inside);
    }

    /// Frees the slots of vanished askers that the engine's report shows to be unused.
    ///
    /// What the others have running is not deducted: their figures are as old as their last asks.
    fn release_vanished(&mut self, now: Instant, inside: u32) {
        let mut unaccounted = inside;
        for vanished in &mut self.vanished {
            if now.saturating_duration_since(vanished.at) >= REPORT_LAG {
                vanished.slots = vanished.slots.min(unaccounted);
            }
            unaccounted = unaccounted.saturating_sub(vanished.slots);
        }
        self.vanished.retain(|v| v.slots > 0);
    }

    fn probe_interval(&self) -> Duration {
        if self.doubtful || self.cold || !self.vanished.is_empty() {
            COLD_PROBE_INTERVAL
        } else {
            WARM_PROBE_INTERVAL
        }
    }
}

/// The ledgers of all upstreams that this daemon owns or lately owned.
#[derive(Debug, Default)]
pub struct Ledgers {
    ledgers: BTreeMap<UpstreamName, Ledger>,
}

impl Ledgers {
    /// Answers one want; `office` is `None` if this daemon does not own the upstream.
    pub fn grant(
        &mut self,
        now: Instant,
        office: Option<Office>,
        bears: Option<Bears>,
        ask: &Ask,
        want: &Want,
    ) -> Grant {
        let upstream = want.upstream.clone();
        let (Some(office), Some(bears)) = (office, bears) else {
            let outcome = Outcome::NotOwner;
            return Grant { upstream, outcome };
        };
        let ledger = self
            .ledgers
            .entry(upstream.clone())
            .or_insert_with(|| Ledger::new(now, bears));
        ledger.bears = bears;
        let outcome = ledger.grant(now, office, ask, want);
        Grant { upstream, outcome }
    }

    /// Takes in what a daemon holds that has agreed to this daemon's ownership.
    pub fn adopt(
        &mut self,
        now: Instant,
        bears: Bears,
        from: &DaemonName,
        start: Incarnation,
        agreement: &Agreement,
    ) {
        let ledger = self
            .ledgers
            .entry(agreement.upstream.clone())
            .or_insert_with(|| Ledger::new(now, bears));
        ledger.adopt(now, from, start, agreement);
    }

    /// Forgets upstreams that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.ledgers.retain(|name, _| keep(name));
    }

    /// Takes in an engine's report.
    pub fn report(&mut self, now: Instant, upstream: &str, report: Report) {
        if let Some(ledger) = self.ledgers.get_mut(upstream) {
            ledger.report(now, report);
        }
    }

    /// The upstreams whose load is to be read now; ledgers without askers are dropped.
    pub fn probes_due(&mut self, now: Instant) -> Vec<UpstreamName> {
        for ledger in self.ledgers.values_mut() {
            ledger.forget_lapsed(now);
        }
        self.ledgers.retain(|_, l| {
            let idle = now.saturating_duration_since(l.used) > VANISHED_RETENTION;
            !(idle && l.askers.is_empty() && l.vanished.is_empty())
        });
        let mut due = Vec::new();
        for (name, ledger) in &mut self.ledgers {
            let needed = !ledger.askers.is_empty() || !ledger.vanished.is_empty();
            if needed && now >= ledger.next_probe {
                ledger.next_probe = now + ledger.probe_interval();
                due.push(name.clone());
            }
        }
        due
    }
}
