//! Solo runs: an upstream is kept free of all daemons' requests while a suspect runs there.

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

/// How long an upstream is reserved; a daemon that dies leaves it reserved no longer.
const LENGTH: Duration = Duration::from_secs(30);

/// The longest wait for the requests of other daemons that still run there.
const PATIENCE: Duration = Duration::from_secs(5);

/// The pause before peers are asked again.
const PAUSE: Duration = Duration::from_millis(20);

/// The longest wait for a peer's answer; a peer that does not answer is passed over.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// What the daemons say of an upstream together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Poll {
    Free,
    Running,
    Contended,
}

impl Policy {
    /// Keeps the chosen upstream free for a suspect; `false` if another must be chosen.
    ///
    /// Call it between `choose` and `started` when the choice is solo. The upstream is free for
    /// others again when the run has finished.
    pub async fn isolate(self: &Arc<Self>, choice: &Choice, deadline: Instant) -> bool {
        let clock = &self.core.clock;
        let give_up = deadline.min(clock.now() + PATIENCE);
        loop {
            let now = clock.now();
            let isolated = match self.poll(now, choice).await {
                Poll::Free => true,
                Poll::Running if clock.now() < give_up => {
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
                Poll::Running | Poll::Contended => false,
            };
            if !isolated {
                self.release(choice);
            }
            return isolated;
        }
    }

    /// Gives up an upstream that was kept free for a suspect and not used.
    pub fn release(&self, choice: &Choice) {
        self.lock().release(choice);
        self.news.notify_one();
    }

    async fn poll(&self, now: Instant, choice: &Choice) -> Poll {
        let until = now + LENGTH;
        let holder = self.lock().holder(choice);
        let own = Reservation { holder, until };
        match self.reserve(now, &choice.upstream, own) {
            Reserved::Granted { running: 0 } => {}
            Reserved::Granted { .. } => return Poll::Running,
            Reserved::Contended => return Poll::Contended,
        }
        let peers = self.some_peers();
        let asked = peers.iter().map(|peer| self.ask(peer, choice, holder));
        let answers = join_all(asked).await;
        if answers.contains(&Poll::Contended) {
            return Poll::Contended;
        }
        if answers.contains(&Poll::Running) {
            return Poll::Running;
        }
        Poll::Free
    }

    async fn ask(&self, peer: &Member, choice: &Choice, holder: SoloRunId) -> Poll {
        let req = PeerRequest::Policy(Request::Reserve {
            upstream: choice.upstream.clone(),
            holder,
            duration_ms: LENGTH.as_millis() as u32,
        });
        match self.core.peers.call(peer, req, CALL_TIMEOUT).await {
            Ok(PeerResponse::Policy(Response::Reserved { running })) if running > 0 => {
                Poll::Running
            }
            Ok(PeerResponse::Policy(Response::Contended)) => Poll::Contended,
            _ => Poll::Free,
        }
    }

    fn reserve(&self, now: Instant, upstream: &str, by: Reservation) -> Reserved {
        self.lock().router.reserve(now, upstream, by)
    }

    /// Answers a peer's reservation.
    pub(super) fn reserve_for(&self, upstream: &str, holder: SoloRunId, millis: u32) -> Response {
        let now = self.core.clock.now();
        let length = Duration::from_millis(u64::from(millis)).min(LENGTH);
        let by = Reservation {
            holder,
            until: now + length,
        };
        match self.reserve(now, upstream, by) {
            Reserved::Granted { running } => Response::Reserved { running },
            Reserved::Contended => Response::Contended,
        }
    }
}
