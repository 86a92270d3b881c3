//! Direct and indirect probes of one daemon per period, and pings of unreachable daemons.

use std::time::Instant;

use rand::seq::IteratorRandom;

use crate::coordination::membership::{
    Member, MemberState,
    prober::{DIRECT_TIMEOUT, PROBE_TIMEOUT, Probe},
    record::{Body, Record, Seed},
    swim::{PROBE_PERIOD, SEED_FANOUT, SEED_INTERVAL, SEED_INTERVAL_MEMBERS, Swim},
};

/// Number of daemons asked to probe a target that did not answer.
const INDIRECT_PROBES: usize = 3;

impl Swim {
    pub(super) fn begin_probe(&mut self, now: Instant) {
        let (member_list, own) = (&self.member_list, &self.own.member.name);
        let candidates = || {
            let records = member_list.iter().map(|e| &e.record);
            records
                .filter(|r| r.member.state != MemberState::Dead && r.member.name != *own)
                .collect()
        };
        let Some(target) = self.prober.next_target(&mut self.rng, candidates) else {
            return;
        };
        let seq = self.prober.next_seq();
        self.probe = Some(Probe {
            target: target.member.name.clone(),
            incarnation: target.member.incarnation,
            seq,
            sent: now,
            indirect: false,
        });
        self.send(target.member.peers, Some(&target), Body::Ping(seq));
    }

    pub(super) fn check_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let waited = now.saturating_duration_since(probe.sent);
        if waited >= PROBE_TIMEOUT {
            self.probe = None;
            self.probe_failed(now, &probe);
        } else if waited >= DIRECT_TIMEOUT && !probe.indirect {
            self.probe_indirectly(&probe);
        }
    }

    /// Completes the probe in flight if `seq` and `from` match it.
    pub(super) fn probe_answered(&mut self, now: Instant, seq: u32, from: &str) {
        let matches = |p: &Probe| p.seq == seq && p.target == from;
        if self.probe.as_ref().is_some_and(matches) {
            self.probe = None;
            self.outcomes.record(now, true);
        }
    }

    fn probe_indirectly(&mut self, probe: &Probe) {
        for helper in self.random_live(INDIRECT_PROBES, &probe.target) {
            let body = Body::PingReq {
                seq: probe.seq,
                target: probe.target.clone(),
            };
            self.send(helper.member.peers, Some(&helper), body);
        }
        if let Some(probe) = &mut self.probe {
            probe.indirect = true;
        }
    }

    fn probe_failed(&mut self, now: Instant, probe: &Probe) {
        self.outcomes.record(now, false);
        let Some(entry) = self.member_list.get(&probe.target) else {
            return;
        };
        let record = entry.record.clone();
        if record.member.incarnation != probe.incarnation {
            return;
        }
        match record.member.state {
            MemberState::Alive => self.declare(now, record, MemberState::Suspect),
            MemberState::Leaving => self.declare(now, record, MemberState::Dead),
            MemberState::Suspect | MemberState::Dead => {}
        }
        if let Some(suspicion) = self.suspicions.get_mut(&probe.target) {
            suspicion.witnessed = true;
        }
    }

    /// Sets the state of another daemon as concluded from probes.
    pub(super) fn declare(&mut self, now: Instant, mut record: Record, state: MemberState) {
        record.member.state = state;
        self.merge_record(now, &record);
    }

    /// Pings a few daemons that are dead or on the instance list but not known to be live.
    pub(super) fn ping_seeds(&mut self, now: Instant) {
        let live = self.live_others().count();
        let interval = if live == 0 {
            PROBE_PERIOD
        } else {
            let live = u32::try_from(live).unwrap_or(u32::MAX);
            SEED_INTERVAL * live.div_ceil(SEED_INTERVAL_MEMBERS)
        };
        self.next_seeds = now + interval;
        let (member_list, seeds) = (&self.member_list, &self.seeds);
        let is_live = |m: &Member| m.state != MemberState::Dead;
        let known = |s: &Seed| {
            member_list
                .get(&s.name)
                .is_some_and(|e| is_live(&e.record.member))
        };
        let dead = member_list.iter().map(|e| &e.record.member);
        let dead = dead.filter(|m| !is_live(m) && m.name != self.own.member.name);
        let addresses = seeds
            .iter()
            .filter(|s| !known(s))
            .map(|s| s.peers)
            .chain(dead.map(|m| m.peers));
        for to in addresses.choose_multiple(&mut self.rng, SEED_FANOUT) {
            let seq = self.prober.next_seq();
            let own = self.own.clone();
            let to_record = self.record_by_address(to);
            let records = to_record.into_iter().chain([own]).collect();
            self.send_records(to, Body::Ping(seq), records);
        }
    }

    fn record_by_address(&self, peers: std::net::SocketAddr) -> Option<Record> {
        self.member_list
            .iter()
            .map(|e| &e.record)
            .find(|r| r.member.peers == peers)
            .cloned()
    }
}
