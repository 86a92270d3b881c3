//! Response of `GET /v1/locate`.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{coordination::locate::locate, daemon::core::Core, state::objects::DomainName};

/// Query parameters of `GET /v1/locate`.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LocateQuery {
    /// Failure domain of the caller. Defaults to that of the responding daemon.
    #[serde(default)]
    pub failure_domain: Option<DomainName>,
}

/// Daemons that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateResponse {
    /// Addresses in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// How long a caller may reuse this response, in seconds.
    pub keep_seconds: u64,
    /// Prefix of idempotency keys whose home is the responding daemon.
    #[serde(default)]
    pub key_prefix: Option<CompactString>,
}

/// Selects daemons for callers. Successive responses start with different daemons to spread load.
#[derive(Debug, Default)]
pub struct Locator {
    rotation: AtomicU64,
}

impl Locator {
    /// Selects daemons for a caller; `key_prefix` makes this daemon the home of idempotency keys.
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
