//! One monitored connection to each engine in use.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use platform_api::engine::Load;
use tokio::{
    sync::{Mutex as AsyncMutex, watch},
    time::{Duration, Instant},
};

use crate::{state::objects::UpstreamName, transport::engine_link::EngineLink};

/// Delay before an engine is contacted again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// State of the connection to one engine.
#[derive(Debug, Default)]
struct Entry {
    link: Arc<AsyncMutex<Option<EngineLink>>>,
    ended: Option<watch::Receiver<bool>>,
    close_count: u64,
    last_failure: Option<Instant>,
}

/// Connections by upstream.
#[derive(Debug, Default)]
pub(super) struct EngineLinks {
    entries: Mutex<BTreeMap<UpstreamName, Entry>>,
}

impl EngineLinks {
    /// Reads an engine's load over the open connection, or over a new one.
    ///
    /// Returns `None` if another call is in progress, if one has just failed, or if the connection
    /// was closed during the call.
    pub(super) async fn load(&self, upstream: &str, addr: SocketAddr) -> io::Result<Option<Load>> {
        let (link, close_count) = {
            let mut entries = self.entries();
            let entry = entries.entry(upstream.into()).or_default();
            if entry
                .last_failure
                .is_some_and(|at| at.elapsed() < RETRY_INTERVAL)
            {
                return Ok(None);
            }
            (entry.link.clone(), entry.close_count)
        };
        let Ok(mut open) = link.try_lock() else {
            return Ok(None);
        };
        let response = request_load(open.take(), addr).await;
        let mut entries = self.entries();
        if let Some(entry) = entries.get_mut(upstream) {
            entry.last_failure = response.is_err().then(Instant::now);
        }
        let (current, load) = response?;
        let ended = current.ended();
        *open = Some(current);
        let Some(entry) = entries
            .get_mut(upstream)
            .filter(|e| e.close_count == close_count)
        else {
            *open = None;
            return Ok(None);
        };
        entry.ended = Some(ended);
        Ok(Some(load))
    }

    /// Closes the connection to an engine, so that the next load is read over a new one.
    pub(super) fn close(&self, upstream: &str) {
        if let Some(entry) = self.entries().get_mut(upstream) {
            entry.close();
        }
    }

    /// Whether the connection to an engine has ended and has not been reopened.
    pub(super) fn has_ended(&self, upstream: &str) -> bool {
        let entries = self.entries();
        let ended = entries.get(upstream).and_then(|e| e.ended.as_ref());
        ended.is_some_and(|ended| *ended.borrow())
    }

    /// Returns the engines whose connections have ended since the last call.
    pub(super) fn ended(&self) -> Vec<UpstreamName> {
        let mut names = Vec::new();
        for (name, entry) in self.entries().iter_mut() {
            if entry.ended.as_ref().is_some_and(|ended| *ended.borrow()) {
                entry.close();
                names.push(name.clone());
            }
        }
        names
    }

    /// Closes the connections to all other engines.
    pub(super) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.entries().retain(|name, _| keep(name));
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn close(&mut self) {
        self.close_count += 1;
        self.ended = None;
        self.link = Arc::default();
    }
}

async fn request_load(
    open: Option<EngineLink>,
    addr: SocketAddr,
) -> io::Result<(EngineLink, Load)> {
    let mut link = match open {
        Some(link) if !*link.ended().borrow() => link,
        _ => EngineLink::open(addr).await?,
    };
    let load = link.load().await?;
    Ok((link, load))
}
