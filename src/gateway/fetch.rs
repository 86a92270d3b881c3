//! Fetches and applies changes of the tables that other daemons have.

use std::net::SocketAddr;

use platform::RowVersion;

use crate::gateway::{
    followed_table::FollowedTable,
    shared::Shared,
    table_link::{self, FetchError},
};

/// How a peer reacted to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// It sent its changes, which have been applied.
    Answered,
    /// It serves other daemons and may be asked again.
    Busy,
    /// It did not answer in time, or not as expected.
    Failed,
}

/// Fetches and applies a peer's changes after a version.
pub async fn fetch_from(
    shared: &Shared,
    followed: FollowedTable,
    peer: SocketAddr,
    after: RowVersion,
) -> Fetched {
    let asked_at = shared.now();
    let reply = match table_link::fetch_changes(peer, followed, after).await {
        Ok(reply) => reply,
        Err(e @ FetchError::Busy(_)) => {
            log::debug!("event=changes_untold table={} {e}", followed.table());
            return Fetched::Busy;
        }
        Err(e @ FetchError::Failed { .. }) => {
            log::warn!("event=changes_untold table={} {e}", followed.table());
            return Fetched::Failed;
        }
    };
    log::info!(
        "event=changes_told table={} peer={peer} after={after} version={} rows={} whole={} bytes={} ms={}",
        followed.table(),
        reply.changes.version,
        reply.changes.rows.len(),
        reply.changes.full,
        reply.changes.value_bytes(),
        (shared.now() - asked_at).as_millis()
    );
    if let Some(remaining) = reply.grace_remaining {
        let until = shared.now() + remaining;
        shared.dispatcher().registry.set_grace_until(until);
    }
    followed.apply_changes(shared, &reply.changes);
    Fetched::Answered
}

/// Fetches the orders of a peer whose configuration is newer than this daemon's and than the `vain`
/// generation. A daemon that starts after the table was restored would otherwise use the older
/// configuration of the copy.
///
/// Returns the newest generation for which a peer did not have a row.
pub async fn fetch_newer_generation(shared: &Shared, vain: u64) -> u64 {
    let own = shared.dispatcher().generation();
    let newest = shared
        .dispatcher()
        .peers
        .reporting(shared.now())
        .map(|peer| (peer.last_heartbeat.generation, peer.address))
        .max_by_key(|(generation, _)| *generation);
    let Some((generation, peer)) = newest else {
        return vain;
    };
    // Without a configuration of its own, a daemon reads the table first.
    if own == 0 || generation <= own.max(vain) {
        return vain;
    }
    let fetched = fetch_from(shared, FollowedTable::Orders, peer, RowVersion::default()).await;
    match fetched == Fetched::Answered && shared.dispatcher().generation() < generation {
        true => generation,
        false => vain,
    }
}
