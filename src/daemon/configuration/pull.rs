//! Reads the current generation and missing records from peers and from the table.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use crate::{
    coordination::{
        configuration::{
            connectivity::PeerHead,
            event::{Event, PullResult, Source},
        },
        membership::DaemonName,
    },
    daemon::configuration::{Configuration, table},
    protocol::peer::{
        PeerRequest, PeerResponse,
        configuration::{Request, Response},
    },
    state::{diff::Change, objects::Objects, snapshot::Generation},
};

/// Timeout for reading the head from a peer.
const PEER_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for reading the head from the table, including one retry on a new connection.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for fetching missing records from a peer or the table.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

impl Configuration {
    pub(super) async fn poll_peer(self: Arc<Self>, peer: DaemonName) {
        let sent = self.core.clock.now();
        let head = self.read_peer_head(&peer).await;
        self.handle_event(Event::PeerHeadRead { peer, sent, head });
    }

    pub(super) async fn read_table_head(self: Arc<Self>) {
        let sent = self.core.clock.now();
        let read = timeout(READ_TIMEOUT, table::read_head(&self.core.table)).await;
        let generation = match read {
            Ok(Ok(generation)) => Some(generation),
            Ok(Err(e)) => {
                log::debug!("step=read_head error={e}");
                None
            }
            Err(_) => None,
        };
        self.handle_event(Event::TableHeadRead { sent, generation });
    }

    pub(super) async fn pull(self: Arc<Self>, from: Source, after: Generation) {
        let pulled = match &from {
            Source::Peer(peer) => self.pull_from_peer(peer, after).await,
            Source::Table => self.pull_from_table(after).await,
        };
        self.handle_event(Event::PullCompleted { from, pulled });
    }

    async fn read_peer_head(&self, peer: &str) -> Option<PeerHead> {
        match self.call(peer, Request::Head, PEER_HEAD_TIMEOUT).await? {
            Response::Head(head) => Some(head),
            _ => None,
        }
    }

    async fn pull_from_peer(&self, peer: &str, after: Generation) -> PullResult {
        match self
            .call(peer, Request::RecordsAfter(after), PULL_TIMEOUT)
            .await
        {
            Some(Response::Records(records)) => PullResult::Records(records),
            Some(Response::FullSet { generation, puts }) => full_set(generation, &puts),
            _ => PullResult::Failed,
        }
    }

    async fn pull_from_table(&self, after: Generation) -> PullResult {
        match timeout(PULL_TIMEOUT, self.read_after(after)).await {
            Ok(Ok(pulled)) => pulled,
            Ok(Err(e)) => {
                log::warn!("step=pull source=table after={after} error={e}");
                PullResult::Failed
            }
            Err(_) => PullResult::Failed,
        }
    }

    async fn read_after(&self, after: Generation) -> Result<PullResult, table::ReadError> {
        if after > 0 {
            let records = table::read_records(&self.core.table, after).await?;
            if records.first().is_some_and(|r| r.generation == after + 1) {
                return Ok(PullResult::Records(records));
            }
        }
        let (generation, objects) = table::read_objects(&self.core.table).await?;
        Ok(PullResult::Whole(generation, Box::new(objects)))
    }

    pub(super) async fn call(&self, peer: &str, req: Request, limit: Duration) -> Option<Response> {
        let member = self.member(peer)?;
        let req = PeerRequest::Configuration(req);
        match self.core.peers.call(&member, req, limit).await {
            Ok(PeerResponse::Configuration(res)) => Some(res),
            Ok(other) => {
                log::warn!("step=configuration peer={peer} unexpected={other:?}");
                None
            }
            Err(e) => {
                log::debug!("step=configuration peer={peer} error={e}");
                None
            }
        }
    }
}

fn full_set(generation: Generation, puts: &[Change]) -> PullResult {
    let mut objects = Objects::default();
    match objects.apply(puts) {
        Ok(()) => PullResult::Whole(generation, Box::new(objects)),
        Err(e) => {
            log::error!("step=pull generation={generation} unreadable={e}");
            PullResult::Failed
        }
    }
}
