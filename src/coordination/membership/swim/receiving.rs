//! Handling of received datagrams.

use std::{net::SocketAddr, time::Instant};

use crate::coordination::membership::{
    MemberState,
    record::{Body, Message, Outgoing, Record},
    swim::{
        RECORD_BUDGET_BYTES, START_WINDOW, SYNC_INTERVAL, SYNC_INTERVAL_PER_MEMBER, Swim,
        suspicion::Suspicion,
    },
};

impl Swim {
    /// Handles a datagram from another daemon and returns the datagrams to send.
    pub fn handle_message(
        &mut self,
        now: Instant,
        src: SocketAddr,
        message: &Message,
    ) -> Vec<Outgoing> {
        self.detect_pause(now);
        for record in &message.records {
            self.merge_record(now, record);
        }
        if message.from == self.own.member.name {
            return self.flush();
        }
        self.last_contact = Some(now);
        let sender = self.update_sender(message);
        self.respond(now, src, sender.as_ref(), message);
        let may_sync = matches!(message.body, Body::Ping(_) | Body::Ack(_));
        if may_sync && message.digest != self.member_list.digest() && now >= self.next_sync {
            self.request_sync(now, src);
        }
        self.flush()
    }

    /// Updates the sender's configuration generation and returns its record if the incarnation
    /// matches.
    fn update_sender(&mut self, message: &Message) -> Option<Record> {
        let record = &self.member_list.get(&message.from)?.record;
        if record.member.incarnation != message.incarnation {
            return None;
        }
        let mut record = record.clone();
        record.member.generation = message.generation;
        self.changed |= self.member_list.update_generation(&record.member);
        Some(record)
    }

    fn respond(
        &mut self,
        now: Instant,
        src: SocketAddr,
        sender: Option<&Record>,
        message: &Message,
    ) {
        match &message.body {
            Body::Ping(seq) => self.send(src, sender, Body::Ack(*seq)),
            Body::Ack(seq) => {
                self.handle_ack(now, *seq, message);
                self.notify_if_dead(src, sender);
            }
            Body::PingReq { seq, target } => {
                let Some(entry) = self.member_list.get(target) else {
                    return;
                };
                let record = entry.record.clone();
                let requester = message.from.clone();
                if let Some(seq) = self.prober.relay(now, requester, *seq, target.clone()) {
                    self.send(record.member.peers, Some(&record), Body::Ping(seq));
                }
            }
            Body::IndirectAck { seq, target } => self.probe_answered(now, *seq, target),
            Body::SyncRequest => self.send_all(src),
            Body::Gossip => self.notify_if_dead(src, sender),
        }
    }

    fn handle_ack(&mut self, now: Instant, seq: u32, message: &Message) {
        if let Some(relay) = self.prober.complete_relay(seq, &message.from) {
            let Some(requester) = self.member_list.get(&relay.requester) else {
                return;
            };
            let requester = requester.record.clone();
            let body = Body::IndirectAck {
                seq: relay.requester_seq,
                target: relay.target,
            };
            self.send(requester.member.peers, Some(&requester), body);
        } else {
            self.probe_answered(now, seq, &message.from);
        }
    }

    /// Notifies a sender that is considered dead, so that it can refute this.
    fn notify_if_dead(&mut self, src: SocketAddr, sender: Option<&Record>) {
        if let Some(record) = sender
            && record.member.state == MemberState::Dead
        {
            self.send(src, Some(record), Body::Gossip);
        }
    }

    fn request_sync(&mut self, now: Instant, src: SocketAddr) {
        let members = u32::try_from(self.member_list.len()).unwrap_or(u32::MAX);
        self.next_sync = now + SYNC_INTERVAL + SYNC_INTERVAL_PER_MEMBER * members;
        self.send(src, None, Body::SyncRequest);
    }

    /// Sends all records, split over as many datagrams as needed.
    fn send_all(&mut self, to: SocketAddr) {
        let all: Vec<Record> = self.member_list.iter().map(|e| e.record.clone()).collect();
        let mut records = Vec::new();
        let mut budget = RECORD_BUDGET_BYTES;
        for record in all {
            let len = record.encoded_bound();
            if len > budget {
                self.send_records(to, Body::Gossip, std::mem::take(&mut records));
                budget = RECORD_BUDGET_BYTES;
            }
            budget = budget.saturating_sub(len);
            records.push(record);
        }
        self.send_records(to, Body::Gossip, records);
    }

    /// Merges a record, and gossips it if it is new.
    pub(super) fn merge_record(&mut self, now: Instant, record: &Record) {
        if record.member.name == self.own.member.name {
            self.handle_own_record(now, record);
            return;
        }
        let name = &record.member.name;
        let before = self.member_list.get(name).map(|e| e.record.member.state);
        if !self.member_list.merge(now, record) {
            return;
        }
        self.changed = true;
        self.gossip_queue.add(name);
        let state = record.member.state;
        self.urgent |= before.is_some_and(|before| before != state);
        if state == MemberState::Suspect {
            let suspicions = &mut self.suspicions;
            suspicions
                .entry(name.clone())
                .or_insert_with(|| Suspicion::new(now));
        } else {
            self.suspicions.remove(name);
        }
        match state {
            MemberState::Alive | MemberState::Suspect => {
                self.departed.remove(name);
            }
            MemberState::Leaving => {
                self.departed.insert(name.clone());
            }
            MemberState::Dead => {}
        }
        if before.is_none_or(|s| s == MemberState::Dead) && state != MemberState::Dead {
            self.prober.insert(&mut self.rng, name);
        }
    }

    /// Refutes an incorrect state of this daemon.
    fn handle_own_record(&mut self, now: Instant, record: &Record) {
        if record.member.incarnation != self.own.member.incarnation {
            self.handle_other_incarnation(now, record);
            return;
        }
        let state_differs = record.member.state != self.own.member.state;
        if !state_differs || !record.supersedes(&self.own) {
            return;
        }
        if record.member.state == MemberState::Dead {
            self.stable_since = now;
        }
        self.own.revision = record.revision + 1;
        self.announce(now);
    }

    /// Resolves a record of another start of this name: a newly started daemon moves its start
    /// timestamp past it, an older process yields to the later start.
    fn handle_other_incarnation(&mut self, now: Instant, record: &Record) {
        if !record.supersedes(&self.own) {
            return;
        }
        if now.saturating_duration_since(self.started) > START_WINDOW {
            self.superseded = true;
            return;
        }
        self.own.started_ms = record.started_ms + 1;
        self.announce(now);
    }
}
