//! Startup and shutdown of a daemon.

use std::{io, sync::Arc, time::Duration};

use futures::FutureExt;
use rand::Rng;

use crate::{
    clock::SharedClock,
    daemon::{
        billing::Billing, callers, claims::Claims, components::Components,
        configuration::Configuration, core::Core, engines::EngineClients, locate::Locator,
        membership::Membership, permits::Permits, policy::Policy, service::Services,
    },
    settings::Settings,
    transport::{http_server::HttpServer, operators::OperatorServer, peers::PeerServer},
};

/// Maximum time for outstanding peer calls to finish during shutdown.
const PEER_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    components: Arc<Components>,
    callers: HttpServer,
    operators: OperatorServer,
    peers: PeerServer,
}

/// Error that prevented a daemon from starting.
#[derive(Debug, thiserror::Error)]
#[error("{step}: {source}")]
pub struct StartError {
    /// Startup step that failed.
    pub step: &'static str,
    /// Underlying I/O error.
    pub source: io::Error,
}

impl Daemon {
    /// Starts a daemon; returns once all of its addresses are bound.
    pub async fn spawn(settings: Settings, clock: SharedClock) -> Result<Self, StartError> {
        let incarnation = rand::rng().random_range(1..u64::MAX);
        let core = Arc::new(Core::new(settings, clock, incarnation));
        let membership = Membership::spawn(core.clone())
            .await
            .map_err(start_error("bind membership"))?;
        let configuration = Configuration::spawn(core.clone());
        let billing = Billing::spawn(core.clone());
        let claims = Claims::spawn(core.clone());
        let components = Arc::new(Components {
            engines: EngineClients::default(),
            locate: Locator::default(),
            permits: Permits::spawn(core.clone(), membership.clone()),
            services: Services::spawn(
                core.clone(),
                claims.clone(),
                billing.clone(),
                configuration.clone(),
            ),
            configuration,
            billing,
            claims,
            policy: Policy::spawn(core.clone()),
            membership,
            core: core.clone(),
        });
        let permits_for_available = components.permits.clone();
        let permits_for_total = components.permits.clone();
        components
            .policy
            .set_total_slots(Arc::new(move |upstream| permits_for_total.slots(upstream)));
        components
            .policy
            .set_available_slots(Arc::new(move |upstream| {
                permits_for_available.available(upstream)
            }));
        let peers = Self::bind_peers(&components)
            .await
            .map_err(start_error("bind peers"))?;
        let callers = callers::bind(components.clone())
            .await
            .map_err(start_error("bind callers"))?;
        let operators = Self::bind_operators(&components)
            .await
            .map_err(start_error("bind operators"))?;
        log::info!(
            "step=start daemon={} incarnation={incarnation:016x} failure_domain={}",
            core.name(),
            core.settings.failure_domain
        );
        Ok(Self {
            components,
            callers,
            operators,
            peers,
        })
    }

    /// Returns the daemon's components.
    pub fn components(&self) -> &Arc<Components> {
        &self.components
    }

    /// Shuts down gracefully, without interrupting a request or losing a bill.
    ///
    /// Waits for `keep_seconds` after announcing that it leaves, because callers may use a
    /// `locate` response for that long.
    pub async fn shutdown(self) {
        let core = self.components.core.clone();
        log::info!("step=shutdown phase=leave daemon={}", core.name());
        core.leaving.send_replace(true);
        self.components.membership.leave().await;
        tokio::time::sleep(Duration::from_secs(core.settings.keep_seconds)).await;
        log::info!("step=shutdown phase=finish daemon={}", core.name());
        self.callers.shutdown().await;
        self.components.claims.complete().await;
        self.components.billing.drain().await;
        self.components.permits.release_leases().await;
        log::info!("step=shutdown phase=close daemon={}", core.name());
        self.operators.shutdown().await;
        self.peers.shutdown(PEER_DRAIN_TIMEOUT).await;
        self.components.membership.depart().await;
    }

    async fn bind_operators(components: &Arc<Components>) -> io::Result<OperatorServer> {
        let address = components.core.settings.operators;
        OperatorServer::bind(
            address,
            components.core.clone(),
            components.configuration.clone(),
        )
        .await
    }

    async fn bind_peers(components: &Arc<Components>) -> io::Result<PeerServer> {
        let settings = &components.core.settings;
        let handler_components = components.clone();
        PeerServer::bind(
            settings.peers,
            &settings.fleet_key,
            Arc::new(move |req| handler_components.clone().handle_peer_request(req).boxed()),
        )
        .await
    }
}

fn start_error(step: &'static str) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError { step, source }
}
