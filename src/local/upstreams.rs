//! Stand-ins for upstreams, with their configuration objects.

use std::collections::BTreeMap;

use compact_str::CompactString;
use stand_in::{
    engine::{Engine, EngineConfig},
    server::RoleHandle,
    service::{Service, ServiceConfig},
};

use crate::{
    local::{LocalError, platform::ANY_PORT},
    state::objects::{DomainName, Offer, ServiceName, ServiceState, Upstream, UpstreamName},
};

/// The kind of a stand-in upstream.
#[derive(Clone, Debug)]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
        /// Maximum number of concurrent requests.
        concurrency: u32,
        /// Behavior of the stand-in.
        cfg: ServiceConfig,
    },
}

/// Specification of a stand-in upstream to start.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The failure domain of the upstream.
    pub failure_domain: DomainName,
    /// The kind of the upstream.
    pub kind: UpstreamKind,
}

/// A running upstream.
pub struct LocalUpstream {
    /// The stand-in.
    pub running: RoleHandle,
    /// Its configuration object.
    pub object: Upstream,
}

/// Running upstreams by name.
pub type LocalUpstreams = BTreeMap<UpstreamName, LocalUpstream>;

/// Starts an upstream for each plan.
pub async fn spawn(plans: Vec<UpstreamPlan>) -> Result<LocalUpstreams, LocalError> {
    let mut upstreams = LocalUpstreams::new();
    for plan in plans {
        let (running, offer) = start(plan.kind).await?;
        let object = Upstream {
            address: running.address,
            failure_domain: plan.failure_domain,
            state: ServiceState::In,
            offer,
        };
        upstreams.insert(plan.name, LocalUpstream { running, object });
    }
    Ok(upstreams)
}

async fn start(kind: UpstreamKind) -> Result<(RoleHandle, Offer), LocalError> {
    match kind {
        UpstreamKind::Engine(cfg) => {
            let versions: Vec<CompactString> =
                cfg.versions.iter().map(|v| v.name.clone()).collect();
            let offer = Offer::Engine {
                versions,
                warm: cfg.slots,
                cold: cfg.cold.concurrency_limit,
                fenced: cfg.honours_fence,
            };
            Ok((Engine::spawn(cfg, ANY_PORT).await?, offer))
        }
        UpstreamKind::Service {
            service,
            concurrency,
            cfg,
        } => {
            let offer = Offer::Service {
                service,
                concurrency,
            };
            Ok((Service::spawn(cfg, ANY_PORT).await?, offer))
        }
    }
}
