//! Solo runs: reserves an upstream on this daemon and its peers while a suspect runs there alone.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;

use crate::{
    coordination::{
        membership::Member,
        routing::{Choice, Reservation, Reserved, SoloRunId},
    },
    daemon::policy::Policy,
    protocol::peer::{
        PeerRequest, PeerResponse,
        policy::{Request, Response},
    },
};

/// Maximum duration of a reservation, so that the reservation of a crashed daemon expires.
const RESERVATION_TTL: Duration = Duration::from_secs(30);

/// Maximum wait for requests of all daemons that still run on the upstream.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the reservation is requested again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a call to a peer. A peer that does not respond is ignored.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Combined status of a reservation on all queried daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationStatus {
    Free,
    Running,
    Contended,
}

impl Policy {
    /// Reserves the chosen upstream for a suspect; returns `false` if another must be chosen.
    ///
    /// If the choice is solo, call this between `choose` and `started`. The reservation ends when
    /// the run has finished.
    pub async fn isolate(self: &Arc<Self>, choice: &Choice, deadline: Instant) -> bool {
        let clock = &self.core.clock;
        let drain_deadline = deadline.min(clock.now() + DRAIN_TIMEOUT);
        loop {
            let now = clock.now();
            let reserved = match self.reserve_on_fleet(now, choice).await {
                ReservationStatus::Free => true,
                ReservationStatus::Running if clock.now() < drain_deadline => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                ReservationStatus::Running | ReservationStatus::Contended => false,
            };
            if !reserved {
                self.release_reservation(choice);
            }
            return reserved;
        }
    }

    /// Releases an upstream that was reserved for a suspect but not used.
    pub fn release_reservation(&self, choice: &Choice) {
        self.lock().release_reservation(choice);
        self.outbox_ready.notify_one();
    }

    async fn reserve_on_fleet(&self, now: Instant, choice: &Choice) -> ReservationStatus {
        let until = now + RESERVATION_TTL;
        let holder = self.lock().solo_run_id(choice);
        let reservation = Reservation { holder, until };
        match self.reserve(now, &choice.upstream, reservation) {
            Reserved::Granted { running: 0 } => {}
            Reserved::Granted { .. } => return ReservationStatus::Running,
            Reserved::Contended => return ReservationStatus::Contended,
        }
        let peers = self.gossip_targets();
        let requests = peers
            .iter()
            .map(|peer| self.reserve_on_peer(peer, choice, holder));
        let statuses = join_all(requests).await;
        if statuses.contains(&ReservationStatus::Contended) {
            return ReservationStatus::Contended;
        }
        if statuses.contains(&ReservationStatus::Running) {
            return ReservationStatus::Running;
        }
        ReservationStatus::Free
    }

    async fn reserve_on_peer(
        &self,
        peer: &Member,
        choice: &Choice,
        holder: SoloRunId,
    ) -> ReservationStatus {
        let req = PeerRequest::Policy(Request::Reserve {
            upstream: choice.upstream.clone(),
            holder,
            duration_ms: RESERVATION_TTL.as_millis() as u32,
        });
        match self.core.peers.call(peer, req, CALL_TIMEOUT).await {
            Ok(PeerResponse::Policy(Response::Reserved { running })) if running > 0 => {
                ReservationStatus::Running
            }
            Ok(PeerResponse::Policy(Response::Contended)) => ReservationStatus::Contended,
            _ => ReservationStatus::Free,
        }
    }

    fn reserve(&self, now: Instant, upstream: &str, reservation: Reservation) -> Reserved {
        self.lock().router.reserve(now, upstream, reservation)
    }

    /// Handles a reservation request from a peer.
    pub(super) fn handle_reserve(
        &self,
        upstream: &str,
        holder: SoloRunId,
        millis: u32,
    ) -> Response {
        let now = self.core.clock.now();
        let ttl = Duration::from_millis(u64::from(millis)).min(RESERVATION_TTL);
        let reservation = Reservation {
            holder,
            until: now + ttl,
        };
        match self.reserve(now, upstream, reservation) {
            Reserved::Granted { running } => Response::Reserved { running },
            Reserved::Contended => Response::Contended,
        }
    }
}
