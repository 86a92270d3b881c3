//! Tells all daemons the total load of busy engines.
//!
//! Load pattern: a request may go to the home of its prompt prefix, an engine that its daemon does not use
//! otherwise, so the daemon is not told of the other daemons' requests there. Two users of an engine
//! sum up what they know of it and report it in their heartbeats while the engine is busy.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::coordination::dispatch::{
    Dispatcher, PeerLoad, as_millis,
    peers::MIN_PERIOD,
    registry::Upstream,
    shared_loads::{User, is_crowded},
    subset::RingPosition,
};

/// Backlog from which an engine counts as busy.
const BUSY_BACKLOG: Duration = Duration::from_millis(40);
/// Number of daemons that report an engine's total load to all; the second one is for the case that
/// the first has crashed or its link has failed.
const REPORTERS: usize = 2;
/// Number of heartbeat periods for which a total load is used.
const TOTAL_RETENTION_PERIODS: u32 = 2;

/// The load of all daemons on a busy engine, as far as one of its users knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusyReport {
    /// Hash of the upstream's id.
    pub upstream: u64,
    /// Outstanding requests of all daemons.
    pub running: u32,
    /// Time in milliseconds until all prompts are processed.
    pub backlog_ms: u32,
}

/// A total load that another daemon reported.
#[derive(Clone, Copy, Debug)]
struct TotalLoad {
    /// Requests of all daemons but this one.
    others_running: u32,
    at: Instant,
}

/// The total loads that this daemon reports and was told of.
#[derive(Debug, Default)]
pub(super) struct BusyEngines {
    totals: HashMap<u64, TotalLoad>,
    /// Until when an engine that was busy is reported, so that all daemons hear of the end.
    busy_until: HashMap<u64, Instant>,
}

impl BusyEngines {
    /// Adds what is known of other daemons' requests from reports of the total load.
    pub(super) fn with_total(&self, upstream: u64, mut load: PeerLoad) -> PeerLoad {
        if let Some(total) = self.totals.get(&upstream) {
            load.running = load.running.max(total.others_running);
        }
        load
    }
}

impl Dispatcher {
    /// Returns the busy engines whose total load this daemon reports to all.
    pub(super) fn busy_reports(&mut self, now: Instant) -> Vec<BusyReport> {
        if !self.is_large_fleet() {
            return Vec::new();
        }
        let until = now + self.peers.heartbeat_period();
        let crowded = self
            .used_engines()
            .filter(|u| is_crowded(u, self.running(u)));
        let busy: Vec<u64> = crowded.map(|u| u.hash).collect();
        let busy_until = &mut self.busy.busy_until;
        busy_until.retain(|_, until| now < *until);
        for engine in busy {
            busy_until.insert(engine, until);
        }
        self.used_engines()
            .filter(|u| {
                let was_busy = self.busy.busy_until.contains_key(&u.hash);
                (was_busy || self.wait(u, now) >= BUSY_BACKLOG) && self.is_reporter_of(u)
            })
            .map(|u| BusyReport {
                upstream: u.hash,
                running: self.running(u),
                backlog_ms: as_millis(self.wait(u, now)),
            })
            .collect()
    }

    /// Records the total loads that another daemon reported.
    pub(super) fn record_busy_reports(&mut self, reports: &[BusyReport], now: Instant) {
        for report in reports {
            let is_used = self.own_subset.contains(&report.upstream);
            let Some(upstream) = self.registry.by_hash_mut(report.upstream) else {
                continue;
            };
            if is_used {
                continue;
            }
            let backlog = Duration::from_millis(report.backlog_ms.into());
            upstream.queue.record_report(backlog, now);
            let total = TotalLoad {
                others_running: report.running.saturating_sub(upstream.running),
                at: now,
            };
            self.busy.totals.insert(report.upstream, total);
        }
    }

    /// Drops the totals that have not been reported again in time.
    pub(super) fn expire_totals(&mut self, now: Instant) {
        let max_age = self.peers.heartbeat_period() * TOTAL_RETENTION_PERIODS + MIN_PERIOD;
        let is_fresh = |total: &TotalLoad| now.saturating_duration_since(total.at) < max_age;
        self.busy.totals.retain(|_, total| is_fresh(total));
    }

    /// Returns the engines in this daemon's subset.
    fn used_engines(&self) -> impl Iterator<Item = &Upstream> {
        let engines = self.own_subset.iter();
        engines.filter_map(|hash| self.registry.by_hash(*hash))
    }

    /// Returns whether this daemon is one of those that report an engine's total load.
    fn is_reporter_of(&self, upstream: &Upstream) -> bool {
        let Some((index, engines)) = self.ring_index(upstream) else {
            return false;
        };
        let own = self.own_position();
        // If all daemons use all engines, different ones report different engines.
        let order = |position: RingPosition| {
            let daemons = position.daemons.max(1);
            (position.rank + daemons - index % daemons) % daemons
        };
        let precedes =
            |user: &&User| user.position.uses(index, engines) && order(user.position) < order(own);
        let before = self.shared_loads.users.iter().filter(precedes);
        before.take(REPORTERS).count() < REPORTERS
    }
}
