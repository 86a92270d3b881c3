//! Loads on upstreams that heartbeats carry, and their sums over all daemons.

use std::time::{Duration, Instant};

use crate::coordination::dispatch::{
    Dispatcher, as_millis, heartbeat::LoadReport, registry::Upstream,
};

impl Dispatcher {
    /// Returns the loads for a heartbeat: in a large fleet only those that concern all daemons.
    pub(super) fn load_reports(&self, now: Instant) -> Vec<LoadReport> {
        let is_large = self.is_large_fleet();
        let reports = self.registry.all().filter_map(|u| match is_large {
            true => self.loss_report(u, now),
            false => self.load_report(u, now),
        });
        reports.collect()
    }

    /// Returns what to report on an upstream, if anything.
    fn load_report(&self, upstream: &Upstream, now: Instant) -> Option<LoadReport> {
        let backlog_ms = self.backlog_ms(upstream, now);
        let is_unreachable = self.is_known_unreachable(upstream);
        (upstream.running > 0 || is_unreachable || backlog_ms > 0).then(|| LoadReport {
            upstream: upstream.hash,
            running: upstream.running,
            overdue_ms: as_millis(upstream.queue.overdue(now)),
            backlog_ms,
            unreachable: is_unreachable && !upstream.health.is_usable(now),
        })
    }

    /// Returns what to report to a large fleet on an upstream: only that it could not be connected to.
    fn loss_report(&self, upstream: &Upstream, now: Instant) -> Option<LoadReport> {
        let is_lost = self.is_known_unreachable(upstream) && !upstream.health.is_usable(now);
        is_lost.then_some(LoadReport {
            upstream: upstream.hash,
            running: 0,
            overdue_ms: 0,
            backlog_ms: 0,
            unreachable: true,
        })
    }

    fn is_known_unreachable(&self, upstream: &Upstream) -> bool {
        upstream.health.is_unreachable() && !self.reachability.is_unverified(&upstream.id)
    }

    /// Returns the backlog to report: only daemons that are notified of an engine's prompts know it.
    fn backlog_ms(&self, upstream: &Upstream, now: Instant) -> u32 {
        match self.own_subset.contains(&upstream.hash) {
            true => as_millis(upstream.queue.known_wait(now)),
            false => 0,
        }
    }

    /// Records the backlogs of engines whose prompts this daemon is not notified of.
    pub(super) fn record_reported_backlogs(&mut self, loads: &[LoadReport], now: Instant) {
        for load in loads.iter().filter(|load| load.backlog_ms > 0) {
            if self.own_subset.contains(&load.upstream) {
                continue;
            }
            if let Some(upstream) = self.registry.by_hash_mut(load.upstream) {
                let backlog = Duration::from_millis(load.backlog_ms.into());
                upstream.queue.record_report(backlog, now);
            }
        }
    }

    /// Updates the sums for one daemon. The next tick corrects them if the daemon went silent since
    /// the last one.
    pub(super) fn count_loads_of(&mut self, name: &str, count: LoadCount, now: Instant) {
        let Some(peer) = self.peers.reporting_peer(name, now) else {
            return;
        };
        for load in &peer.last_heartbeat.loads {
            let sum = self.peer_loads.entry(load.upstream).or_default();
            match count {
                LoadCount::Add => sum.add(load.into()),
                LoadCount::Subtract => sum.subtract(load.into()),
            }
        }
    }

    pub(super) fn sum_peer_loads(&mut self, now: Instant) {
        self.peer_loads.clear();
        for peer in self.peers.reporting(now) {
            for load in &peer.last_heartbeat.loads {
                let sum = self.peer_loads.entry(load.upstream).or_default();
                sum.add(load.into());
            }
        }
    }
}

/// How a daemon's loads change the sums.
#[derive(Clone, Copy, Debug)]
pub(super) enum LoadCount {
    Add,
    Subtract,
}
