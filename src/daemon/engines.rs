//! Clients for model engines, with the last observed incarnation of each engine.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::{
    coordination::routing::Outcome,
    state::{objects::UpstreamName, snapshot::Snapshot},
    transport::engine::{
        EngineClient, EngineIncarnation,
        error::{EngineError, FailureCause},
    },
};

/// Client for one engine and the last observed incarnation.
#[derive(Debug)]
struct EngineEntry {
    client: EngineClient,
    incarnation: Option<EngineIncarnation>,
}

/// Engine clients by upstream.
#[derive(Debug, Default)]
pub struct EngineClients {
    entries: Mutex<HashMap<UpstreamName, EngineEntry>>,
}

impl EngineClients {
    /// Returns the client for an upstream; creates one if the configured address has changed.
    pub fn client(&self, upstream: &UpstreamName, address: SocketAddr) -> EngineClient {
        let mut entries = self.lock();
        if let Some(entry) = entries.get(upstream)
            && entry.client.peer() == address
        {
            return entry.client.clone();
        }
        let client = EngineClient::new(address);
        let entry = EngineEntry {
            client: client.clone(),
            incarnation: None,
        };
        entries.insert(upstream.clone(), entry);
        client
    }

    /// Drops clients for upstreams that are not in `snapshot`.
    pub fn retain(&self, snapshot: &Snapshot) {
        let upstreams = &snapshot.objects.upstreams;
        self.lock().retain(|name, _| upstreams.contains_key(name));
    }

    /// Records the incarnation that sent a response.
    pub fn observe_incarnation(&self, upstream: &str, incarnation: EngineIncarnation) {
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.incarnation = Some(incarnation);
        }
    }

    /// Classifies a failed attempt.
    ///
    /// If the connection broke, queries the engine on a new connection to find out whether it
    /// crashed.
    pub async fn classify_failure(
        &self,
        upstream: &str,
        client: &EngineClient,
        e: &EngineError,
    ) -> Outcome {
        match e.failure_cause() {
            FailureCause::Busy => Outcome::Refused,
            FailureCause::Connection => Outcome::Silent,
            FailureCause::Slow => Outcome::Cancelled,
            FailureCause::Engine => Outcome::Unreachable,
            FailureCause::Crash => self.classify_broken_connection(upstream, client).await,
        }
    }

    async fn classify_broken_connection(&self, upstream: &str, client: &EngineClient) -> Outcome {
        client.drop_idle();
        let previous = self.lock().get(upstream).and_then(|e| e.incarnation);
        match client.load().await {
            Err(_) => Outcome::Crashed,
            Ok(load) => {
                self.observe_incarnation(upstream, load.incarnation);
                match previous {
                    Some(previous) if previous == load.incarnation => Outcome::Failed,
                    _ => Outcome::Crashed,
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamName, EngineEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
