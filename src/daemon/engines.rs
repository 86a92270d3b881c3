//! The clients of the model engines that this daemon uses, and the incarnations last seen.

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

/// One engine's client and what was last seen of it.
#[derive(Debug)]
struct Entry {
    client: EngineClient,
    incarnation: Option<EngineIncarnation>,
}

/// All clients by upstream.
#[derive(Debug, Default)]
pub struct Engines {
    entries: Mutex<HashMap<UpstreamName, Entry>>,
}

impl Engines {
    /// The client of an upstream at the address that the configuration gives now.
    pub fn client(&self, upstream: &UpstreamName, address: SocketAddr) -> EngineClient {
        let mut entries = self.lock();
        if let Some(entry) = entries.get(upstream)
            && entry.client.peer() == address
        {
            return entry.client.clone();
        }
        let client = EngineClient::new(address);
        let entry = Entry {
            client: client.clone(),
            incarnation: None,
        };
        entries.insert(upstream.clone(), entry);
        client
    }

    /// Drops the clients of upstreams that `snapshot` no longer names.
    pub fn retain(&self, snapshot: &Snapshot) {
        let upstreams = &snapshot.objects.upstreams;
        self.lock().retain(|name, _| upstreams.contains_key(name));
    }

    /// Takes note of the incarnation that answered.
    pub fn saw(&self, upstream: &str, incarnation: EngineIncarnation) {
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.incarnation = Some(incarnation);
        }
    }

    /// What a failed attempt tells of the upstream; asks over a fresh connection where in doubt.
    pub async fn diagnose(
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
            FailureCause::Crash => self.diagnose_break(upstream, client).await,
        }
    }

    async fn diagnose_break(&self, upstream: &str, client: &EngineClient) -> Outcome {
        client.drop_idle();
        let before = self.lock().get(upstream).and_then(|e| e.incarnation);
        match client.load().await {
            Err(_) => Outcome::Crashed,
            Ok(load) => {
                self.saw(upstream, load.incarnation);
                match before {
                    Some(before) if before == load.incarnation => Outcome::Failed,
                    _ => Outcome::Crashed,
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamName, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
