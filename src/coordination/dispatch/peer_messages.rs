//! Builds and merges the messages between daemons.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform::TableEra;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::dispatch::{
    Dispatcher,
    assignment::Assignment,
    heartbeat::{Heartbeat, LoadReport, PeerId, Readiness, RolloutReport, TableState},
    load_reports::LoadCount,
    placement::UNDETECTED_RESTART_MARGIN,
    poison::StopSource,
    polling::{self, PollingCandidate, PollingRole, PollingTurn},
    prefill_queue::PrefillNotice,
    presumed_cold::{ColdPresumption, MIN_RESTART_TIME},
    rollout_decision::RolloutStatus,
    sticky_sessions::{Finder, MAX_PASSED_ON},
    subset::{HashRing, RingPosition},
};

/// How long other daemons are notified of lost connectivity to the table.
const TABLE_LOSS_RETENTION: Duration = Duration::from_secs(4);

impl Dispatcher {
    /// Builds a heartbeat. It lists the sticky sessions that were added within `max_session_age`.
    pub fn heartbeat(
        &mut self,
        caller_address: SocketAddr,
        readiness: Readiness,
        max_session_age: Duration,
        now: Instant,
    ) -> Heartbeat {
        let loads = self.load_reports(now);
        let busy = self.busy_reports(now);
        let max_passed_on = match self.is_large_fleet() {
            true => MAX_PASSED_ON,
            false => usize::MAX,
        };
        let rollouts = self
            .rollouts
            .iter()
            .map(|(service, rollout)| RolloutReport {
                service: service.clone(),
                order: rollout.order(),
                target: rollout.target.clone(),
                state: rollout.state,
                recorded: rollout.recorded,
                elapsed: now.saturating_duration_since(rollout.started),
                evidence: rollout.own_evidence().clone(),
                sticky_sessions: rollout.sticky_sessions().recent(
                    max_session_age,
                    max_passed_on,
                    now,
                ),
            })
            .collect();
        self.heartbeats_sent += 1;
        let liveness = self
            .peers
            .liveness_reports(&self.domain, &mut self.rng, now);
        Heartbeat {
            from: self.me.clone(),
            sequence: self.heartbeats_sent,
            liveness,
            caller_address,
            readiness,
            links: self.link_report(now),
            domain: self.domain.clone(),
            link_mbps: self.link_mbps,
            table: self.table_state(now),
            generation: self.generation(),
            table_era: self.table_era,
            newest_order_version: self.orders.newest_change(),
            newest_upstream_version: self.upstreams.newest_change(),
            awaits_upstreams: self.registry.awaits_entries(now),
            loads,
            busy,
            rollouts,
            suspects: self.poison.reports(now),
            leaving: self.leaving_reports(),
            limits: self.limit_reports(now),
            brittle: self.brittle_reports(now),
            overload: self.overload_reports(now),
        }
    }

    /// Builds a heartbeat that is sent at once because something has changed. In a large fleet it leaves out
    /// what periodic heartbeats repeat, as all daemons may have such news at the same time.
    pub fn urgent_heartbeat(
        &mut self,
        caller_address: SocketAddr,
        readiness: Readiness,
        max_session_age: Duration,
        now: Instant,
    ) -> Heartbeat {
        let mut heartbeat = self.heartbeat(caller_address, readiness, max_session_age, now);
        if self.is_large_fleet() {
            heartbeat.liveness.clear();
            heartbeat.busy.clear();
        }
        heartbeat
    }

    /// Merges another daemon's heartbeat; returns whether it is from a new incarnation.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        if heartbeat.from.name == self.me.name || self.peers.is_outdated(&heartbeat) {
            return false;
        }
        for report in &heartbeat.liveness {
            self.peers.merge_liveness(report, now);
        }
        self.poison.merge(&heartbeat.suspects, now);
        self.enter_era(heartbeat.table_era, now);
        let same_era = heartbeat.table_era == self.table_era;
        for report in &heartbeat.rollouts {
            self.merge_rollout(&heartbeat.from, report, now);
            if let Some(recorded) = report.recorded.filter(|_| same_era) {
                self.set_recorded_state(&report.service, report.order, recorded);
            }
        }
        self.mark_unreachable_cold(&heartbeat.loads, now);
        self.record_reported_backlogs(&heartbeat.loads, now);
        self.record_busy_reports(&heartbeat.busy, now);
        self.record_leaving(&heartbeat.leaving);
        self.merge_limits(&heartbeat.limits, now);
        self.merge_brittle(&heartbeat.brittle, now);
        if follows_table(&heartbeat) {
            let applied = heartbeat.newest_upstream_version;
            self.registry.confirm_removals(applied, now);
        }
        let name = heartbeat.from.name.clone();
        self.count_loads_of(&name, LoadCount::Subtract, now);
        let new = self.peers.receive_heartbeat(heartbeat, address, now);
        if new {
            self.update_daemon_ring(now);
        }
        self.count_loads_of(&name, LoadCount::Add, now);
        new
    }

    /// Returns the notification of a prompt, for the daemons that share its engine.
    pub fn notice(&self, assignment: &Assignment) -> Option<PrefillNotice> {
        let upstream = self.registry.get(&assignment.upstream)?;
        (!assignment.prefill_time.is_zero()).then_some(PrefillNotice {
            upstream: upstream.hash,
            prefill_time: assignment.prefill_time,
        })
    }

    /// Returns the addresses of the daemons that share the engine of an assignment.
    pub fn notice_receivers(&self, assignment: &Assignment, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .live(now)
            .filter(|peer| {
                let position = self.position_of(&peer.last_heartbeat.from.name);
                position.uses(assignment.engine_index, assignment.engines)
            })
            .map(|peer| peer.address)
            .collect()
    }

    /// Returns this daemon's position on the ring of all daemons.
    pub(super) fn own_position(&self) -> RingPosition {
        self.position_of(&self.me.name)
    }

    /// Returns a daemon's position on the ring of all daemons.
    pub(super) fn position_of(&self, name: &str) -> RingPosition {
        self.daemon_ring.position(name_hash(name))
    }

    /// Updates the ring of all daemons.
    pub(super) fn update_daemon_ring(&mut self, now: Instant) {
        let others = self.peers.limit_sharers(now).map(|name| name_hash(name));
        self.daemon_ring = HashRing::from_hashes(others.chain([name_hash(&self.me.name)]));
    }

    /// Updates the set of engines whose prompts this daemon is notified of.
    pub(super) fn update_own_subset(&mut self, now: Instant) {
        let position = self.own_position();
        let mut engines: HashMap<&str, Vec<u64>> = HashMap::new();
        for upstream in self.registry.all().filter(|u| u.is_listed(now)) {
            engines
                .entry(&upstream.service)
                .or_default()
                .push(upstream.hash);
        }
        self.own_subset = engines
            .into_values()
            .flat_map(|hashes| {
                let ring = HashRing::from_hashes(hashes.iter().copied());
                let used = move |hash: &u64| position.uses(ring.index(*hash), ring.count());
                hashes.into_iter().filter(used)
            })
            .collect();
    }

    /// Records that another daemon has sent a prompt to an engine.
    pub fn receive_notice(&mut self, notice: PrefillNotice, now: Instant) {
        if let Some(upstream) = self.registry.by_hash_mut(notice.upstream) {
            upstream.queue.add(notice.prefill_time, now);
        }
    }

    /// Records that the table did not answer this daemon.
    pub fn table_lost(&mut self, now: Instant) {
        self.table_lost = Some(now);
    }

    /// Records that the table answers again.
    ///
    /// Missing entries may return only if other daemons had also lost connectivity. If the table
    /// refused only this daemon, or a daemon that kept its connections has applied newer changes, the
    /// entries were really removed.
    pub fn table_restored(&mut self, now: Instant) {
        if self.was_followed_by_others(now) {
            return;
        }
        let count = |state| {
            let reporting = self.peers.reporting(now);
            reporting
                .filter(|peer| peer.last_heartbeat.table == state)
                .count()
        };
        if count(TableState::Lost) >= count(TableState::Reachable) {
            self.registry.table_restored(now);
        }
    }

    /// Returns whether another daemon follows the table and has applied changes that this one lacks.
    fn was_followed_by_others(&self, now: Instant) -> bool {
        let known = self.upstreams.newest_change();
        self.peers.reporting(now).any(|peer| {
            let peer = &peer.last_heartbeat;
            follows_table(peer) && peer.newest_upstream_version > known
        })
    }

    /// Returns the newest era of the table that this daemon knows.
    pub fn table_era(&self) -> TableEra {
        self.table_era
    }

    /// Records an era of the table; returns whether the table was restored from a copy.
    ///
    /// What the daemons and the upstreams wrote since the copy is gone: rollouts are recorded again,
    /// and entries that are missing may return.
    pub fn enter_era(&mut self, era: TableEra, now: Instant) -> bool {
        let known = self.table_era;
        if era <= known {
            return false;
        }
        self.table_era = era;
        if known == 0 {
            return false;
        }
        for rollout in self.rollouts.values_mut() {
            rollout.recorded = None;
        }
        self.registry.table_restored(now);
        true
    }

    /// Returns how this daemon learns of changes to the table.
    pub fn polling_role(&self, now: Instant) -> PollingRole {
        polling::polling_role(&self.me.name, &self.polling_candidates(now))
    }

    /// Returns this daemon's turn among those that poll.
    pub fn polling_turn(&self, now: Instant) -> PollingTurn {
        polling::polling_turn(&self.me.name, &self.polling_candidates(now))
    }

    fn polling_candidates(&self, now: Instant) -> Vec<PollingCandidate<'_>> {
        let me = PollingCandidate {
            name: &self.me.name,
            domain: &self.domain,
            link_mbps: self.link_mbps,
            lost: self.has_lost_table(now),
        };
        let others = self
            .peers
            .responsive(now)
            .filter(|peer| peer.last_heartbeat.can_poll())
            .map(|peer| PollingCandidate {
                name: &peer.last_heartbeat.from.name,
                domain: &peer.last_heartbeat.domain,
                link_mbps: peer.last_heartbeat.link_mbps,
                lost: peer.last_heartbeat.table == TableState::Lost,
            });
        std::iter::once(me).chain(others).collect()
    }

    pub(super) fn table_state(&self, now: Instant) -> TableState {
        match self.polling_role(now) {
            _ if self.has_lost_table(now) => TableState::Lost,
            PollingRole::Listen => TableState::NotPolled,
            PollingRole::Poll | PollingRole::Retry => TableState::Reachable,
        }
    }

    pub(super) fn has_lost_table(&self, now: Instant) -> bool {
        self.table_lost
            .is_some_and(|lost| now.saturating_duration_since(lost) < TABLE_LOSS_RETENTION)
    }

    pub(super) fn mark_unreachable_cold(&mut self, loads: &[LoadReport], now: Instant) {
        let cold_times = self.cold_times();
        for load in loads.iter().filter(|load| load.unreachable) {
            let Some(upstream) = self.registry.by_hash_mut(load.upstream) else {
                continue;
            };
            if upstream.was_reached_within(MIN_RESTART_TIME, now) {
                // The other daemon's link has failed.
                continue;
            }
            self.broken_connections
                .retain(|broken| !broken.is_at(&upstream.id));
            self.poison
                .upstream_stopped(&upstream.id, StopSource::Peer, now);
            if let Some(cold) = cold_times.get(&upstream.service) {
                let is_new = !upstream.is_cold(now);
                upstream.presume_cold(now, now + *cold + UNDETECTED_RESTART_MARGIN, now);
                if is_new {
                    let presumed = ColdPresumption::new(upstream, StopSource::Peer);
                    self.presumed_cold.push(presumed);
                }
            }
        }
    }

    pub(super) fn merge_rollout(&mut self, peer: &PeerId, report: &RolloutReport, now: Instant) {
        let known = RolloutStatus {
            service: report.service.clone(),
            order: report.order,
            target: Some(report.target.clone()),
            state: report.state,
            elapsed: report.elapsed,
        };
        self.merge_rollout_status(known, now);
        if let Some(rollout) = self.rollouts.get_mut(&report.service)
            && rollout.has_order(report.order)
        {
            let sessions = report.sticky_sessions.iter().copied();
            rollout.add_sticky_sessions(sessions, Finder::Peer, now);
            rollout.merge(peer.clone(), report.evidence.clone());
        }
    }
}

/// Returns whether a daemon follows the table and has applied all removals that it knows.
fn follows_table(heartbeat: &Heartbeat) -> bool {
    heartbeat.table == TableState::Reachable && !heartbeat.awaits_upstreams
}

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
