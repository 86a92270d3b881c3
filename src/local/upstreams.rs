//! The upstreams' stand-ins and the configuration objects that name them.

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

/// What a stand-in upstream is.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service {
        /// Its name.
        service: ServiceName,
        /// The requests it bears at once.
        concurrency: u32,
        /// How it behaves.
        cfg: ServiceConfig,
    },
}

/// A stand-in upstream to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: UpstreamName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// What it is.
    pub kind: Kind,
}

/// A running upstream.
pub struct LocalUpstream {
    /// The stand-in.
    pub running: RoleHandle,
    /// The object that names it.
    pub object: Upstream,
}

/// All running upstreams by name.
pub type LocalUpstreams = BTreeMap<UpstreamName, LocalUpstream>;

/// Starts an upstream for each plan.
pub async fn spawn(plans: Vec<Plan>) -> Result<LocalUpstreams, LocalError> {
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

async fn start(kind: Kind) -> Result<(RoleHandle, Offer), LocalError> {
    match kind {
        Kind::Engine(cfg) => {
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
        Kind::Service {
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
