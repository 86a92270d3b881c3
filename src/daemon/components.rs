//! Components of a daemon, as used by its listeners.

use std::sync::Arc;

use rand::Rng;

use crate::{
    coordination::decisions::RequestId,
    daemon::{
        billing::Billing, claims::Claims, configuration::Configuration, core::Core,
        engines::EngineClients, locate::Locator, membership::Membership, permits::Permits,
        policy::Policy, readiness, service::Services,
    },
    protocol::{
        peer::{PeerRequest, PeerResponse, decisions},
        problem::Refusal,
    },
};

/// Running components of a daemon.
pub struct Components {
    /// State shared by all components.
    pub core: Arc<Core>,
    /// Clients for model engines.
    pub engines: EngineClients,
    /// Selects the daemons that a caller should use.
    pub locate: Locator,
    /// Follows and publishes the configuration.
    pub configuration: Arc<Configuration>,
    /// Tracks the members of the fleet.
    pub membership: Arc<Membership>,
    /// Leases on the concurrency of upstreams.
    pub permits: Arc<Permits>,
    /// Stores bills durably.
    pub billing: Arc<Billing>,
    /// Claims on idempotency keys.
    pub claims: Arc<Claims>,
    /// Handles calls to plain services.
    pub services: Arc<Services>,
    /// Admission, routing and quality estimates.
    pub policy: Arc<Policy>,
}

impl Components {
    /// Generates a request id from the daemon's name and a random number, unique across the fleet.
    pub fn generate_request_id(&self) -> RequestId {
        let id: u64 = rand::rng().random();
        format!("{}-{id:016x}", self.core.name()).into()
    }

    /// Returns a refusal if this daemon can't accept new requests.
    pub fn check_ready(&self) -> Result<(), Refusal> {
        readiness::check(&self.configuration, &self.billing)
    }

    /// Handles a request from a peer.
    pub async fn handle_peer_request(self: Arc<Self>, req: PeerRequest) -> PeerResponse {
        match req {
            PeerRequest::Ping => PeerResponse::Pong,
            PeerRequest::Configuration(req) => {
                PeerResponse::Configuration(self.configuration.answer(req).await)
            }
            PeerRequest::Claims(req) => PeerResponse::Claims(self.services.answer(req).await),
            PeerRequest::Bills(req) => PeerResponse::Bills(self.billing.answer(req).await),
            PeerRequest::Permits(req) => PeerResponse::Permits(self.permits.answer(req).await),
            PeerRequest::Policy(req) => PeerResponse::Policy(self.policy.handle_request(req).await),
            PeerRequest::Decisions(decisions::Request::ForRequest(id)) => {
                let decisions_found = self.core.decisions().for_request(&id);
                PeerResponse::Decisions(decisions::Response::Decisions(decisions_found))
            }
        }
    }
}
