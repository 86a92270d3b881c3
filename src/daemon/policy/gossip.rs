//! The policy's background work: notices and counts for peers, verdicts for the table.

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
        Policy, TICK,
        pools::PoolName,
        state::{Outbox, Released},
    },
    protocol::peer::{
        PeerRequest, PeerResponse,
        policy::{Hops, Request, Response},
    },
    state::objects::Offer,
};

/// The longest wait for a peer's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The peers that are told counts each time.
const COUNT_PEERS: usize = 3;

/// The peers to whom a notice is passed on, in a large fleet.
const NOTICE_PEERS: usize = 4;

/// The fleet size up to which a notice goes to all peers directly.
const DIRECT_PEERS: usize = 12;

/// How often a notice is passed on.
const NOTICE_HOPS: Hops = 6;

/// The daemons that weigh the ratings of one version.
const WEIGHING_PEERS: usize = 8;

/// The greatest number of ratings in one message.
const MAX_RATINGS: usize = 64;

/// The pause between two messages of counts, for each ten daemons.
const COUNT_PAUSE: Duration = Duration::from_secs(1);

/// The longest such pause.
const MAX_COUNT_PAUSE: Duration = Duration::from_secs(5);

/// The pause between two tries to reach the table.
const TABLE_PAUSE: Duration = Duration::from_secs(1);

/// Starts the background work; it ends with the last handle of the policy.
pub(super) fn spawn(policy: &Arc<Policy>) {
    tokio::spawn(run(Arc::downgrade(policy)));
    tokio::spawn(keep_verdicts(Arc::downgrade(policy)));
}

async fn run(policy: Weak<Policy>) {
    let mut counted: Option<Instant> = None;
    loop {
        let Some(policy) = policy.upgrade() else {
            return;
        };
        // Whether by news or by time, there is work to look for.
        let _ = tokio::time::timeout(TICK, policy.news.notified()).await;
        policy.tick();
        policy.tell_news();
        let now = policy.core.clock.now();
        let peers = policy.core.other_members();
        let pause = (COUNT_PAUSE * (peers.len() / 10 + 1) as u32).min(MAX_COUNT_PAUSE);
        if counted.is_none_or(|at| now.saturating_duration_since(at) >= pause) {
            counted = Some(now);
            policy.tell_counts(&peers);
        }
    }
}

async fn keep_verdicts(policy: Weak<Policy>) {
    let mut unkept: Vec<Verdict> = Vec::new();
    loop {
        tokio::time::sleep(TABLE_PAUSE / 4).await;
        let Some(policy) = policy.upgrade() else {
            return;
        };
        let known = policy.lock().trials.verdicts_loaded();
        if !known && policy.read_verdicts().await.is_err() {
            tokio::time::sleep(TABLE_PAUSE).await;
            continue;
        }
        unkept.extend(policy.take_unkept());
        while let Some(verdict) = unkept.first() {
            if policy.keep_verdict(verdict).await.is_err() {
                tokio::time::sleep(TABLE_PAUSE).await;
                break;
            }
            unkept.remove(0);
        }
    }
}

impl Policy {
    /// Answers a peer.
    pub async fn answer(self: &Arc<Self>, req: Request) -> Response {
        let now = self.core.clock.now();
        match req {
            Request::RatingCounts(deltas) => self.lock().quality.merge(&deltas),
            Request::Ratings(ratings) => self.weigh(now, &ratings),
            Request::Verdict { verdict, hops } => {
                if self.lock().trials.apply_verdict(now, &verdict) {
                    self.judged(&verdict);
                    self.pass_on(Request::Verdict { verdict, hops }, hops);
                }
            }
            Request::Suspects { mut updates, hops } => {
                updates.truncate(MAX_UPDATES);
                let mut state = self.lock();
                updates.retain(|suspect_update| state.poison.update(now, suspect_update));
                drop(state);
                if !updates.is_empty() {
                    self.pass_on(Request::Suspects { updates, hops }, hops);
                }
            }
            Request::Reserve {
                upstream,
                holder,
                duration_ms,
            } => return self.reserve_for(&upstream, holder, duration_ms),
            Request::Release { upstream, holder } => {
                self.lock().router.release(&upstream, holder);
            }
        }
        Response::Accepted
    }

    fn weigh(&self, now: Instant, ratings: &[Ratings]) {
        let snapshot = self.core.snapshot();
        for ratings in ratings.iter().take(MAX_RATINGS) {
            let verdict = self.lock().weigh(now, &snapshot.objects, ratings);
            if let Some(verdict) = verdict {
                self.judged(&verdict);
                self.news.notify_one();
            }
        }
    }

    /// Follows the configuration and refuses waiting requests that have become hopeless.
    fn tick(self: &Arc<Self>) {
        let now = self.core.clock.now();
        let snapshot = self.core.snapshot();
        let slots = self.slots.get().map(|slots| {
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

    fn tell_news(self: &Arc<Self>) {
        let Outbox {
            suspects,
            ratings,
            verdicts,
            released,
        } = std::mem::take(&mut self.lock().outbox);
        for verdict in verdicts {
            self.lock().unkept.push(verdict.clone());
            let hops = NOTICE_HOPS;
            self.pass_on(Request::Verdict { verdict, hops }, hops + 1);
        }
        for updates in suspects.chunks(MAX_UPDATES) {
            let updates = updates.to_vec();
            let hops = NOTICE_HOPS;
            self.pass_on(Request::Suspects { updates, hops }, hops + 1);
        }
        for Released { upstream, holder } in released {
            self.send(self.some_peers(), &Request::Release { upstream, holder });
        }
        self.tell_ratings(ratings);
    }

    /// Tells the daemons that weigh a version of its ratings.
    fn tell_ratings(self: &Arc<Self>, mut ratings: Vec<Ratings>) {
        if ratings.is_empty() {
            return;
        }
        ratings.sort_by(|a, b| a.subject.version.cmp(&b.subject.version));
        let peers = self.core.other_members();
        for notes in ratings.chunk_by(|a, b| a.subject.version == b.subject.version) {
            let version = &notes[0].subject.version;
            let mut weighing = peers.clone();
            weighing.sort_by_key(|m| hash_pair(version, &m.name));
            weighing.truncate(WEIGHING_PEERS);
            for notes in notes.chunks(MAX_RATINGS) {
                self.send(weighing.clone(), &Request::Ratings(notes.to_vec()));
            }
        }
    }

    fn tell_counts(self: &Arc<Self>, peers: &[Member]) {
        if peers.is_empty() {
            return;
        }
        let deltas = self.lock().quality.take_deltas();
        if deltas.is_empty() {
            return;
        }
        let chosen = peers.choose_multiple(&mut rand::rng(), COUNT_PEERS);
        self.send(chosen.cloned().collect(), &Request::RatingCounts(deltas));
    }

    fn pass_on(self: &Arc<Self>, req: Request, hops: Hops) {
        let Some(left) = hops.checked_sub(1) else {
            return;
        };
        let req = match req {
            Request::Verdict { verdict, .. } => Request::Verdict {
                verdict,
                hops: left,
            },
            Request::Suspects { updates, .. } => Request::Suspects {
                updates,
                hops: left,
            },
            other => other,
        };
        self.send(self.some_peers(), &req);
    }

    /// All peers of a small fleet, a few at random of a large one.
    pub(super) fn some_peers(&self) -> Vec<Member> {
        let peers = self.core.other_members();
        if peers.len() <= DIRECT_PEERS {
            return peers;
        }
        let chosen = peers.choose_multiple(&mut rand::rng(), NOTICE_PEERS);
        chosen.cloned().collect()
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

    fn take_unkept(&self) -> Vec<Verdict> {
        std::mem::take(&mut self.lock().unkept)
    }
}
