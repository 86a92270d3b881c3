//! Background tasks of the policy: updates and counts sent to peers, verdicts saved in the table.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use rand::seq::IndexedRandom;

use crate::{
    coordination::{
        hash::hash_pair,
        membership::Member,
        poison::MAX_UPDATES,
        rollout::{Ratings, Verdict},
    },
    daemon::policy::{
        Policy, TICK_INTERVAL,
        pools::PoolName,
        state::{Outbox, ReleasedReservation},
    },
    protocol::peer::{
        PeerRequest, PeerResponse,
        policy::{Hops, Request, Response},
    },
    state::objects::Offer,
    supervise::Supervisor,
};

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of peers that receive each message of counts.
const COUNTS_FANOUT: usize = 3;

/// Number of peers to which an update is forwarded in a large fleet.
const UPDATE_FANOUT: usize = 4;

/// Maximum number of peers at which updates are sent to all of them directly.
const MAX_DIRECT_PEERS: usize = 12;

/// Number of times that an update is forwarded.
const MAX_UPDATE_HOPS: Hops = 6;

/// Number of peers that receive the ratings of a version and evaluate them.
const RATING_OWNERS: usize = 8;

/// Maximum number of ratings in one message.
const MAX_RATINGS_PER_MESSAGE: usize = 64;

/// Interval between messages of counts; increases by this much for every ten peers.
const COUNTS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between messages of counts.
const MAX_COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before a failed call to the table is retried.
const TABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Starts the background tasks. They end when the last handle of the policy is dropped.
pub(super) fn spawn(policy: &Arc<Policy>) {
    let tasks = Supervisor::new(&policy.core.clock);
    tasks.spawn("exchange_ratings", Arc::downgrade(policy), run);
    tasks.spawn("save_verdicts", Arc::downgrade(policy), save_verdicts);
}

async fn run(policy: Weak<Policy>) {
    let mut counts_sent_at: Option<Instant> = None;
    loop {
        let Some(policy) = policy.upgrade() else {
            return;
        };
        // The work below runs after a notification as well as after the timeout.
        let _ = tokio::time::timeout(TICK_INTERVAL, policy.outbox_ready.notified()).await;
        policy.tick();
        policy.send_outbox();
        let now = policy.core.clock.now();
        let peers = policy.core.reachable_peers();
        let interval = (COUNTS_INTERVAL * (peers.len() / 10 + 1) as u32).min(MAX_COUNTS_INTERVAL);
        if counts_sent_at.is_none_or(|at| now.saturating_duration_since(at) >= interval) {
            counts_sent_at = Some(now);
            policy.send_counts(&peers);
        }
    }
}

async fn save_verdicts(policy: Weak<Policy>) {
    let mut unsaved: Vec<Verdict> = Vec::new();
    loop {
        tokio::time::sleep(TABLE_RETRY_DELAY / 4).await;
        let Some(policy) = policy.upgrade() else {
            return;
        };
        let loaded = policy.lock().trials.verdicts_loaded();
        if !loaded && policy.load_verdicts().await.is_err() {
            tokio::time::sleep(TABLE_RETRY_DELAY).await;
            continue;
        }
        unsaved.extend(policy.take_unsaved_verdicts());
        while let Some(verdict) = unsaved.first() {
            if policy.save_verdict(verdict).await.is_err() {
                tokio::time::sleep(TABLE_RETRY_DELAY).await;
                break;
            }
            unsaved.remove(0);
        }
    }
}

impl Policy {
    /// Handles a request from a peer.
    pub async fn handle_request(self: &Arc<Self>, req: Request) -> Response {
        let now = self.core.clock.now();
        match req {
            Request::RatingCounts(deltas) => self.lock().quality.merge(&deltas),
            Request::Ratings(ratings) => self.apply_ratings(now, &ratings),
            Request::Verdict { verdict, hops } => {
                if self.lock().trials.apply_verdict(now, &verdict) {
                    self.log_verdict(&verdict);
                    self.forward(Request::Verdict { verdict, hops }, hops);
                }
            }
            Request::Suspects { mut updates, hops } => {
                updates.truncate(MAX_UPDATES);
                let mut state = self.lock();
                updates.retain(|suspect_update| state.poison.update(now, suspect_update));
                drop(state);
                if !updates.is_empty() {
                    self.forward(Request::Suspects { updates, hops }, hops);
                }
            }
            Request::Reserve {
                upstream,
                holder,
                duration_ms,
            } => return self.handle_reserve(&upstream, holder, duration_ms),
            Request::Release { upstream, holder } => {
                self.lock().router.release(&upstream, holder);
            }
        }
        Response::Accepted
    }

    fn apply_ratings(&self, now: Instant, ratings: &[Ratings]) {
        let snapshot = self.core.snapshot();
        for ratings in ratings.iter().take(MAX_RATINGS_PER_MESSAGE) {
            let verdict = self.lock().apply_ratings(now, &snapshot.objects, ratings);
            if let Some(verdict) = verdict {
                self.log_verdict(&verdict);
                self.outbox_ready.notify_one();
            }
        }
    }

    /// Applies configuration changes, updates capacity limits and dispatches the admission queues.
    fn tick(self: &Arc<Self>) {
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let slots = self.total_slots.get().map(|slots| {
            let upstreams = snapshot.objects.upstreams.iter();
            let engines = upstreams.filter(|(_, u)| matches!(u.offer, Offer::Engine { .. }));
            engines.map(|(name, _)| slots(name)).sum()
        });
        let pools = {
            let mut state = self.lock();
            state.refresh(now, &self.core, &snapshot);
            if let (Some(slots), Some(pool)) = (slots, state.pools.get(&PoolName::Engines)) {
                pool.limit.set_slots(slots);
            }
            state.quality.tick(now);
            state.pools.names()
        };
        for pool in pools {
            self.dispatch(&pool);
        }
    }

    fn send_outbox(self: &Arc<Self>) {
        let Outbox {
            suspects,
            ratings,
            verdicts,
            released,
        } = std::mem::take(&mut self.lock().outbox);
        for verdict in verdicts {
            self.lock().unsaved_verdicts.push(verdict.clone());
            let hops = MAX_UPDATE_HOPS;
            self.forward(Request::Verdict { verdict, hops }, hops + 1);
        }
        for updates in suspects.chunks(MAX_UPDATES) {
            let updates = updates.to_vec();
            let hops = MAX_UPDATE_HOPS;
            self.forward(Request::Suspects { updates, hops }, hops + 1);
        }
        for ReleasedReservation { upstream, holder } in released {
            self.send(
                self.gossip_targets(),
                &Request::Release { upstream, holder },
            );
        }
        self.send_ratings(ratings);
    }

    /// Sends the ratings of each version to the peers that evaluate it.
    fn send_ratings(self: &Arc<Self>, mut ratings: Vec<Ratings>) {
        if ratings.is_empty() {
            return;
        }
        ratings.sort_by(|a, b| a.subject.version.cmp(&b.subject.version));
        let peers = self.core.reachable_peers();
        for version_ratings in ratings.chunk_by(|a, b| a.subject.version == b.subject.version) {
            let version = &version_ratings[0].subject.version;
            let mut owners = peers.clone();
            owners.sort_by_key(|m| hash_pair(version, &m.name));
            owners.truncate(RATING_OWNERS);
            for ratings in version_ratings.chunks(MAX_RATINGS_PER_MESSAGE) {
                self.send(owners.clone(), &Request::Ratings(ratings.to_vec()));
            }
        }
    }

    fn send_counts(self: &Arc<Self>, peers: &[Member]) {
        if peers.is_empty() {
            return;
        }
        let deltas = self.lock().quality.take_deltas();
        if deltas.is_empty() {
            return;
        }
        let targets = peers.choose_multiple(&mut rand::rng(), COUNTS_FANOUT);
        self.send(targets.cloned().collect(), &Request::RatingCounts(deltas));
    }

    fn forward(self: &Arc<Self>, req: Request, hops: Hops) {
        let Some(remaining) = hops.checked_sub(1) else {
            return;
        };
        let req = match req {
            Request::Verdict { verdict, .. } => Request::Verdict {
                verdict,
                hops: remaining,
            },
            Request::Suspects { updates, .. } => Request::Suspects {
                updates,
                hops: remaining,
            },
            other => other,
        };
        self.send(self.gossip_targets(), &req);
    }

    /// Returns all peers of a small fleet, or a few random peers of a large one.
    pub(super) fn gossip_targets(&self) -> Vec<Member> {
        let peers = self.core.reachable_peers();
        if peers.len() <= MAX_DIRECT_PEERS {
            return peers;
        }
        let targets = peers.choose_multiple(&mut rand::rng(), UPDATE_FANOUT);
        targets.cloned().collect()
    }

    fn send(self: &Arc<Self>, peers: Vec<Member>, req: &Request) {
        for peer in peers {
            let policy = self.clone();
            let req = PeerRequest::Policy(req.clone());
            tokio::spawn(async move {
                match policy.core.peers.call(&peer, req, CALL_TIMEOUT).await {
                    Ok(PeerResponse::Policy(_)) => {}
                    Ok(other) => log::debug!("step=policy peer={} answer={other:?}", peer.name),
                    Err(e) => log::debug!("step=policy peer={} error={e}", peer.name),
                }
            });
        }
    }

    fn take_unsaved_verdicts(&self) -> Vec<Verdict> {
        std::mem::take(&mut self.lock().unsaved_verdicts)
    }
}
