//! The answer of `GET /v1/locate`.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{coordination::locate::locate, daemon::core::Core, state::objects::DomainName};

/// What a caller may say of itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LocateQuery {
    /// Its failure domain; the answering daemon's if it is left out.
    #[serde(default)]
    pub failure_domain: Option<DomainName>,
}

/// The addresses to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateResponse {
    /// The addresses, the best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub keep_seconds: u64,
    /// The prefix of idempotency keys whose home is the daemon that answers.
    #[serde(default)]
    pub key_prefix: Option<CompactString>,
}

/// Answers callers; successive answers are spread over the daemons.
#[derive(Debug, Default)]
pub struct Locator {
    rotation: AtomicU64,
}

impl Locator {
    /// Answers one caller; `key_prefix` binds idempotency keys to this daemon.
    pub fn find_daemons(
        &self,
        core: &Core,
        query: &LocateQuery,
        key_prefix: Option<CompactString>,
    ) -> LocateResponse {
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        let members = core.members();
        let snapshot = core.snapshot();
        let failure_domain = query
            .failure_domain
            .as_ref()
            .unwrap_or(&core.settings.failure_domain);
        let daemons = locate(&members, &snapshot, failure_domain, rotation);
        LocateResponse {
            addresses: daemons.iter().map(|m| m.callers).collect(),
            keep_seconds: core.settings.keep_seconds,
            key_prefix,
        }
    }
}
