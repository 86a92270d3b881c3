//! What daemons tell one another, put together and taken in.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::dispatch::{
    Dispatcher,
    followers::{self, Contender, Duty},
    peers::{Heartbeat, LoadReport, PeerId, Readiness, RolloutReport, TableState},
    place::UNSEEN_RESTART_TIME,
    queue::SentNotice,
    ticket::Ticket,
    trial::KnownRollout,
    window::{Circle, Seat},
};

/// How long other daemons are told that the table was lost.
const TABLE_LOSS_MEMORY: Duration = Duration::from_secs(4);

impl Dispatcher {
    /// What to tell the other daemons; of the sessions that stay with an old version, those learnt
    /// of within `bound_age`.
    pub fn heartbeat(
        &self,
        front: SocketAddr,
        readiness: Readiness,
        bound_age: Duration,
        now: Instant,
    ) -> Heartbeat {
        let loads = self
            .registry
            .all()
            .filter(|u| u.running > 0 || u.health.is_unreachable())
            .map(|u| LoadReport {
                upstream: u.hash,
                running: u.running,
                overdue: u.queue.overdue(now),
                unreachable: u.health.is_unreachable() && !u.health.usable(now),
            })
            .collect();
        let rollouts = self
            .rollouts
            .iter()
            .map(|(service, rollout)| RolloutReport {
                service: service.clone(),
                order: rollout.order,
                state: rollout.state,
                recorded: rollout.recorded,
                elapsed: now.saturating_duration_since(rollout.started),
                evidence: rollout.own().clone(),
                bound: rollout.bound(bound_age, now),
            })
            .collect();
        Heartbeat {
            from: self.me.clone(),
            front,
            readiness,
            domain: self.domain.clone(),
            table: self.table_state(now),
            orders_newest: self.orders.newest_change(),
            upstreams_newest: self.upstreams.newest_change(),
            loads,
            rollouts,
            crashes: self.poison.told(),
        }
    }

    /// Takes in another daemon's heartbeat; tells whether it is of a new incarnation.
    pub fn hear(&mut self, heartbeat: Heartbeat, address: SocketAddr, now: Instant) -> bool {
        if heartbeat.from.name == self.me.name {
            return false;
        }
        self.poison.merge(&heartbeat.from, &heartbeat.crashes);
        for report in &heartbeat.rollouts {
            self.merge_rollout(&heartbeat.from, report, now);
        }
        self.chill_unreachable(&heartbeat.loads, now);
        let new = self.peers.hear(heartbeat, address, now);
        self.sum_loads(now);
        new
    }

    /// What to tell the daemons that share an engine of a prompt that was sent to it.
    pub fn notice(&self, ticket: &Ticket) -> Option<SentNotice> {
        let upstream = self.registry.get(&ticket.upstream)?;
        (!ticket.reading.is_zero()).then_some(SentNotice {
            upstream: upstream.hash,
            reading: ticket.reading,
        })
    }

    /// Where the daemons are that share the engine of a ticket.
    pub fn notice_receivers(&self, ticket: &Ticket, now: Instant) -> Vec<SocketAddr> {
        let daemons = self.daemons(now);
        self.peers
            .living(now)
            .filter(|peer| {
                let seat = daemons.seat(name_hash(&peer.last.from.name));
                seat.uses(ticket.engine_index, ticket.engines)
            })
            .map(|peer| peer.address)
            .collect()
    }

    /// This daemon's place among all.
    pub(super) fn own_seat(&self, now: Instant) -> Seat {
        self.daemons(now).seat(name_hash(&self.me.name))
    }

    fn daemons(&self, now: Instant) -> Circle {
        let others = self.peers.sharers(now).map(|name| name_hash(name));
        Circle::of(others.chain([name_hash(&self.me.name)]))
    }

    /// Takes in that another daemon has sent a prompt to an engine.
    pub fn hear_notice(&mut self, notice: SentNotice, now: Instant) {
        if let Some(upstream) = self.registry.by_hash_mut(notice.upstream) {
            upstream.queue.add(notice.reading, now);
        }
    }

    /// Notes that the table did not answer this daemon.
    pub fn table_lost(&mut self, now: Instant) {
        self.table_lost = Some(now);
    }

    /// Notes that the table answers again.
    ///
    /// Entries that are missing then may come back only if others had lost the table as well: if
    /// it turned this daemon alone away, they have really been removed.
    pub fn table_back(&mut self, now: Instant) {
        let count = |state| {
            let living = self.peers.living(now);
            living.filter(|peer| peer.last.table == state).count()
        };
        if count(TableState::Lost) >= count(TableState::Answers) {
            self.registry.table_back(now);
        }
    }

    /// How this daemon learns of changes of the table.
    pub fn duty(&self, now: Instant) -> Duty {
        let me = Contender {
            name: &self.me.name,
            domain: &self.domain,
            lost: self.has_lost_table(now),
        };
        let others = self
            .peers
            .reliable(now)
            .filter(|peer| peer.last.readiness == Readiness::Ready)
            .map(|peer| Contender {
                name: &peer.last.from.name,
                domain: &peer.last.domain,
                lost: peer.last.table == TableState::Lost,
            });
        let contenders: Vec<Contender<'_>> = std::iter::once(me).chain(others).collect();
        followers::duty(&self.me.name, &contenders)
    }

    pub(super) fn table_state(&self, now: Instant) -> TableState {
        match self.duty(now) {
            _ if self.has_lost_table(now) => TableState::Lost,
            Duty::Listen => TableState::NotAsked,
            Duty::Poll | Duty::Retry => TableState::Answers,
        }
    }

    pub(super) fn has_lost_table(&self, now: Instant) -> bool {
        self.table_lost
            .is_some_and(|lost| now.saturating_duration_since(lost) < TABLE_LOSS_MEMORY)
    }

    pub(super) fn chill_unreachable(&mut self, loads: &[LoadReport], now: Instant) {
        let cold_times = self.cold_times();
        for load in loads.iter().filter(|load| load.unreachable) {
            let Some(upstream) = self.registry.by_hash_mut(load.upstream) else {
                continue;
            };
            self.breaks.retain(|broken| !broken.is_at(&upstream.id));
            if let Some(cold) = cold_times.get(&upstream.service) {
                upstream.chill(now + *cold + UNSEEN_RESTART_TIME);
            }
        }
    }

    pub(super) fn merge_rollout(&mut self, peer: &PeerId, report: &RolloutReport, now: Instant) {
        let known = KnownRollout {
            service: report.service.clone(),
            order: report.order,
            state: report.state,
            elapsed: report.elapsed,
        };
        self.learn_rollout(known, now);
        if let Some(recorded) = report.recorded {
            self.note_recorded(&report.service, report.order, recorded);
        }
        if let Some(rollout) = self.rollouts.get_mut(&report.service)
            && rollout.order == report.order
        {
            rollout.bind(report.bound.iter().copied(), now);
            rollout.merge(peer.clone(), report.evidence.clone());
        }
    }

    pub(super) fn sum_loads(&mut self, now: Instant) {
        self.peer_loads.clear();
        for peer in self.peers.living(now) {
            for load in &peer.last.loads {
                let sum = self.peer_loads.entry(load.upstream).or_default();
                sum.running += load.running;
                sum.overdue += load.overdue;
            }
        }
    }
}

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
