//! State and clients shared by all tasks of a daemon.

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
    transport::{body_memory::BodyMemory, peers::PeerClient, table::TableClient},
};

/// Number of decisions kept in memory for `explain`.
const DECISION_LOG_CAPACITY: usize = 20_000;

/// Fleet members as last published by membership, including this daemon.
pub type MemberList = Arc<[Member]>;

/// State and clients shared by all tasks of a daemon.
pub struct Core {
    /// Settings of this daemon.
    pub settings: Settings,
    /// Monotonic and wall clock.
    pub clock: SharedClock,
    /// Identifies this start of the daemon.
    pub incarnation: Incarnation,
    /// Client for the table service.
    pub table: TableClient,
    /// Connections to peers.
    pub peers: PeerClient,
    /// Configuration in force. Only the configuration follower writes it.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// Fleet members. Only membership writes them.
    pub members: watch::Sender<MemberList>,
    /// Upstreams marked as leaving in the platform's instance list. Only membership writes them.
    pub leaving_upstreams: watch::Sender<Arc<[UpstreamName]>>,
    /// Whether a graceful shutdown has begun. Never reset.
    pub leaving: watch::Sender<bool>,
    /// Memory for the bodies of requests.
    pub request_bodies: Arc<BodyMemory>,
    decisions: Mutex<DecisionLog>,
}

impl Core {
    /// Creates the shared state, with no peers and an empty configuration.
    pub fn new(settings: Settings, clock: SharedClock, incarnation: Incarnation) -> Self {
        let decisions = DecisionLog::new(settings.name.clone(), DECISION_LOG_CAPACITY);
        let table = TableClient::new(settings.platform.table);
        let peers = PeerClient::new(settings.name.clone(), &settings.fleet_key);
        let own_member = Member {
            name: settings.name.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            callers: settings.callers,
            peers: settings.peers,
            state: MemberState::Alive,
            generation: 0,
        };
        let request_bytes = settings.budgets().request_bytes;
        let request_bodies = BodyMemory::new(request_bytes, clock.clone());
        Self {
            request_bodies: Arc::new(request_bodies),
            settings,
            clock,
            incarnation,
            table,
            peers,
            snapshot: watch::Sender::default(),
            members: watch::Sender::new(Arc::from([own_member])),
            leaving_upstreams: watch::Sender::new(Arc::from([])),
            leaving: watch::Sender::new(false),
            decisions: Mutex::new(decisions),
        }
    }

    /// Returns the daemon's name.
    pub fn name(&self) -> &CompactString {
        &self.settings.name
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns the upstreams that are leaving.
    pub fn leaving_upstreams(&self) -> Arc<[UpstreamName]> {
        self.leaving_upstreams.borrow().clone()
    }

    /// Returns the upstream if it accepts new requests.
    ///
    /// The upstream and its failure domain must be in service, and it must not be leaving.
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

    /// Returns all known fleet members, including this daemon.
    pub fn members(&self) -> MemberList {
        self.members.borrow().clone()
    }

    /// Returns the reachable daemons other than this one.
    pub fn reachable_peers(&self) -> Vec<Member> {
        self.members()
            .iter()
            .filter(|m| m.name != self.settings.name && m.reachable())
            .cloned()
            .collect()
    }

    /// Records a decision and writes its log line.
    pub fn record_decision(&self, request_id: &str, step: &str, detail: impl std::fmt::Display) {
        self.decisions()
            .record(self.clock.wall(), request_id, step, detail);
    }

    /// Locks and returns the decision log.
    pub fn decisions(&self) -> std::sync::MutexGuard<'_, DecisionLog> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
