//! What every part of a daemon shares: settings, clock, configuration in force, members and links.

use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use tokio::sync::watch;

use crate::{
    clock::SharedClock,
    coordination::{
        decisions::DecisionLog,
        membership::{Incarnation, Member, MemberState},
    },
    settings::Settings,
    state::{
        objects::{Upstream, UpstreamName},
        snapshot::Snapshot,
    },
    transport::{peers::PeerClient, table::TableClient},
};

/// The number of decisions a daemon remembers for `explain`.
const DECISION_CAPACITY: usize = 20_000;

/// The members of the fleet as last published by membership, this daemon included.
pub type MemberList = Arc<[Member]>;

/// The parts that all tasks of one daemon share.
pub struct Core {
    /// The daemon's settings.
    pub settings: Settings,
    /// The clock.
    pub clock: SharedClock,
    /// Which start of the daemon this is.
    pub incarnation: Incarnation,
    /// The client of the table service.
    pub table: TableClient,
    /// The links to peers.
    pub peers: PeerClient,
    /// The configuration in force; written by the configuration follower only.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// The fleet; written by membership only.
    pub members: watch::Sender<MemberList>,
    /// The upstreams that the platform's instance list says are leaving; written by membership only.
    pub leaving_upstreams: watch::Sender<Arc<[UpstreamName]>>,
    /// Set once when a graceful shutdown begins.
    pub leaving: watch::Sender<bool>,
    decisions: Mutex<DecisionLog>,
}

impl Core {
    /// The shared parts of a daemon that knows no peer and no configuration yet.
    pub fn new(settings: Settings, clock: SharedClock, incarnation: Incarnation) -> Self {
        let decisions = DecisionLog::new(settings.name.clone(), DECISION_CAPACITY);
        let table = TableClient::new(settings.platform.table);
        let peers = PeerClient::new(settings.name.clone(), &settings.fleet_key);
        let own = Member {
            name: settings.name.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            callers: settings.callers,
            peers: settings.peers,
            state: MemberState::Alive,
            generation: 0,
        };
        Self {
            settings,
            clock,
            incarnation,
            table,
            peers,
            snapshot: watch::Sender::default(),
            members: watch::Sender::new(Arc::from([own])),
            leaving_upstreams: watch::Sender::new(Arc::from([])),
            leaving: watch::Sender::new(false),
            decisions: Mutex::new(decisions),
        }
    }

    /// The daemon's name.
    pub fn name(&self) -> &CompactString {
        &self.settings.name
    }

    /// The configuration in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// The upstreams that are leaving.
    pub fn leaving_upstreams(&self) -> Arc<[UpstreamName]> {
        self.leaving_upstreams.borrow().clone()
    }

    /// The upstream if it takes new work: in service, its failure domain too, and not leaving.
    pub fn usable_upstream<'a>(
        &self,
        snapshot: &'a Snapshot,
        upstream: &str,
    ) -> Option<&'a Upstream> {
        if self
            .leaving_upstreams
            .borrow()
            .iter()
            .any(|u| u == upstream)
        {
            return None;
        }
        snapshot.in_service(upstream)
    }

    /// The fleet as believed now, this daemon included.
    pub fn members(&self) -> MemberList {
        self.members.borrow().clone()
    }

    /// The reachable daemons other than this one.
    pub fn other_members(&self) -> Vec<Member> {
        self.members()
            .iter()
            .filter(|m| m.name != self.settings.name && m.reachable())
            .cloned()
            .collect()
    }

    /// Records a decision and writes its log line.
    pub fn decide(&self, request_id: &str, step: &str, detail: impl std::fmt::Display) {
        self.decisions()
            .record(self.clock.wall(), request_id, step, detail);
    }

    /// The recorded decisions.
    pub fn decisions(&self) -> std::sync::MutexGuard<'_, DecisionLog> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
