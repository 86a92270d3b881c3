//! Starts and stops one daemon.

use std::{io, sync::Arc, time::Duration};

use futures::FutureExt;
use rand::Rng;

use crate::{
    clock::SharedClock,
    daemon::{
        billing::Billing, callers, claims::Claims, configuration::Configuration, core::Core,
        engines::Engines, locate::Locate, membership::Membership, parts::Parts, permits::Permits,
        policy::Policy, service::Services,
    },
    settings::Settings,
    transport::{http_server::HttpServer, operators::OperatorServer, peers::PeerServer},
};

/// How long calls from peers may take to finish when a daemon stops.
const PEER_SHUTDOWN: Duration = Duration::from_secs(2);

/// A running daemon.
pub struct Daemon {
    parts: Arc<Parts>,
    callers: HttpServer,
    operators: OperatorServer,
    peers: PeerServer,
}

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
#[error("{step}: {source}")]
pub struct StartError {
    /// What was being started.
    pub step: &'static str,
    /// What went wrong.
    pub source: io::Error,
}

impl Daemon {
    /// Starts a daemon; returns once all of its addresses are bound.
    pub async fn spawn(settings: Settings, clock: SharedClock) -> Result<Self, StartError> {
        let incarnation = rand::rng().random_range(1..u64::MAX);
        let core = Arc::new(Core::new(settings, clock, incarnation));
        let membership = Membership::spawn(core.clone())
            .await
            .map_err(failed("bind membership"))?;
        let configuration = Configuration::spawn(core.clone());
        let billing = Billing::spawn(core.clone());
        let claims = Claims::spawn(core.clone());
        let parts = Arc::new(Parts {
            engines: Engines::default(),
            locate: Locate::default(),
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
        let available = parts.permits.clone();
        let slots = parts.permits.clone();
        parts
            .policy
            .set_slots(Arc::new(move |upstream| slots.slots(upstream)));
        parts
            .policy
            .set_available(Arc::new(move |upstream| available.available(upstream)));
        let peers = Self::bind_peers(&parts)
            .await
            .map_err(failed("bind peers"))?;
        let callers = callers::bind(parts.clone())
            .await
            .map_err(failed("bind callers"))?;
        let operators = Self::bind_operators(&parts)
            .await
            .map_err(failed("bind operators"))?;
        log::info!(
            "step=start daemon={} incarnation={incarnation:016x} failure_domain={}",
            core.name(),
            core.settings.failure_domain
        );
        Ok(Self {
            parts,
            callers,
            operators,
            peers,
        })
    }

    /// The daemon's parts.
    pub fn parts(&self) -> &Arc<Parts> {
        &self.parts
    }

    /// Leaves the fleet without cutting a request or losing a bill.
    pub async fn shutdown(self) {
        let core = self.parts.core.clone();
        log::info!("step=shutdown phase=leave daemon={}", core.name());
        core.leaving.send_replace(true);
        self.parts.membership.leave().await;
        tokio::time::sleep(Duration::from_secs(core.settings.keep_seconds)).await;
        log::info!("step=shutdown phase=finish daemon={}", core.name());
        self.callers.shutdown().await;
        self.parts.claims.complete().await;
        self.parts.billing.drain().await;
        self.parts.permits.release().await;
        log::info!("step=shutdown phase=close daemon={}", core.name());
        self.operators.shutdown().await;
        self.peers.shutdown(PEER_SHUTDOWN).await;
        self.parts.membership.depart().await;
    }

    async fn bind_operators(parts: &Arc<Parts>) -> io::Result<OperatorServer> {
        let address = parts.core.settings.operators;
        OperatorServer::bind(address, parts.core.clone(), parts.configuration.clone()).await
    }

    async fn bind_peers(parts: &Arc<Parts>) -> io::Result<PeerServer> {
        let settings = &parts.core.settings;
        let answering = parts.clone();
        PeerServer::bind(
            settings.peers,
            &settings.fleet_key,
            Arc::new(move |req| answering.clone().answer(req).boxed()),
        )
        .await
    }
}

fn failed(step: &'static str) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError { step, source }
}
