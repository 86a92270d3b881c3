//! Asks other daemons for the changes of a followed table that they have reported.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use platform::RowVersion;
use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::{
    coordination::dispatch::peers::Peer,
    gateway::{
        fetch::{Fetched, fetch_from},
        followed_table::FollowedTable,
        shared::Shared,
    },
};

/// Interval between checks for newer peers and for a changed polling role.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a daemon that has a change is asked again after it was busy.
const BUSY_DELAY: Duration = Duration::from_millis(50);
/// How long a daemon knows of a change that no peer has time to send before it polls the table itself.
const MAX_BUSY_TIME: Duration = Duration::from_secs(1);
/// Number of consecutive failed queries to peers after which a daemon polls the table itself.
const MAX_FAILED_QUERIES: u32 = 2;
/// Minimum time for which peers have had a change that a pending poll has not brought before they are
/// asked for it; the poll of a healthy table ends within this time.
const MIN_POLL_DELAY: Duration = Duration::from_millis(150);

/// Changes of a followed table that other daemons have.
pub struct PeerChanges {
    shared: Arc<Shared>,
    followed: FollowedTable,
    /// Consecutive failed queries.
    failed_queries: u32,
    /// When a peer was first busy, if none has answered since.
    busy_since: Option<Instant>,
}

impl PeerChanges {
    /// Creates the state before the first query.
    pub fn new(shared: Arc<Shared>, followed: FollowedTable) -> Self {
        Self {
            shared,
            followed,
            failed_queries: 0,
            busy_since: None,
        }
    }

    /// Returns whether peers have sent their changes when they were asked.
    pub fn are_sent(&self) -> bool {
        let now = self.shared.now();
        let is_waiting = |since: Instant| now.saturating_duration_since(since) >= MAX_BUSY_TIME;
        self.failed_queries < MAX_FAILED_QUERIES && !self.busy_since.is_some_and(is_waiting)
    }

    /// Forgets queries that failed, as they do not matter once changes have arrived.
    pub fn forget_failures(&mut self) {
        self.failed_queries = 0;
        self.busy_since = None;
    }

    /// Fetches the changes that peers report, until it is dropped.
    pub async fn listen_forever(&mut self) -> ! {
        loop {
            self.listen().await;
        }
    }

    /// Queries a peer that has newer changes, or waits until a peer reports some.
    pub async fn listen(&mut self) {
        let reported = self.shared.newest_peer_version.subscribe();
        if self.newer_peer().is_some() {
            let spread = self.shared.dispatcher().peers.spread_over_fleet();
            tokio::time::sleep(spread.mul_f64(rand::random())).await;
        }
        if !self.fetch().await {
            await_report(reported).await;
        }
    }

    /// Fetches the changes that peers have and a pending poll does not bring, until it is dropped.
    ///
    /// Failure: the table or the link to it swallows a poll. The daemon would act on an old version until
    /// the poll times out.
    pub async fn fetch_overdue(&mut self) -> ! {
        loop {
            let reported = self.shared.newest_peer_version.subscribe();
            if self.newer_peer().is_none() {
                await_report(reported).await;
                continue;
            }
            tokio::time::sleep(MIN_POLL_DELAY).await;
            if self.newer_peer().is_none() {
                continue;
            }
            log::info!(
                "event=poll_overdue table={} ms={}",
                self.followed.table(),
                MIN_POLL_DELAY.as_millis()
            );
            if !self.fetch().await {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Fetches changes from a peer that has newer ones; returns whether any newer change arrived.
    pub async fn fetch(&mut self) -> bool {
        let Some((peer, after)) = self.newer_peer() else {
            return false;
        };
        match fetch_from(&self.shared, self.followed, peer, after).await {
            Fetched::Answered => {}
            Fetched::Busy => {
                self.busy_since.get_or_insert(self.shared.now());
                tokio::time::sleep(BUSY_DELAY.mul_f64(rand::random())).await;
                return false;
            }
            Fetched::Failed => {
                self.failed_queries += 1;
                return false;
            }
        }
        self.forget_failures();
        let newest = self
            .followed
            .cache(&self.shared.dispatcher())
            .newest_change();
        // If nothing newer arrived, an immediate repeat is not worthwhile.
        newest > after
    }

    /// Returns one of the peers with the newest changes, if these are newer than this daemon's.
    ///
    /// Load pattern: all daemons learn of a change at once, and at first few have it. A random choice
    /// and the spread over time keep them from querying the same one.
    pub fn newer_peer(&self) -> Option<(SocketAddr, RowVersion)> {
        let dispatcher = self.shared.dispatcher();
        let known = self.followed.cache(&dispatcher).newest_change();
        let version = |peer: &Peer| match self.followed {
            FollowedTable::Orders => peer.last_heartbeat.newest_order_version,
            FollowedTable::Upstreams => peer.last_heartbeat.newest_upstream_version,
        };
        let now = self.shared.now();
        let newest = dispatcher.peers.reporting(now).map(version).max()?;
        let sources = dispatcher.peers.reporting(now);
        let source = sources
            .filter(|peer| version(peer) == newest)
            .choose(&mut rand::rng())?;
        (newest > known).then_some((source.address, known))
    }
}

/// Waits until a peer reports a newer version than any before, or for the check interval.
async fn await_report(mut reported: watch::Receiver<RowVersion>) {
    // The caller checks for new changes whether the wait timed out or was notified.
    let _ = tokio::time::timeout(CHECK_INTERVAL, reported.changed()).await;
}
