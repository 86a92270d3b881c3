//! The parts of one daemon, as its listeners use them.

use std::sync::Arc;

use rand::Rng;

use crate::{
    coordination::decisions::RequestId,
    daemon::{
        billing::Billing, claims::Claims, configuration::Configuration, core::Core,
        engines::Engines, locate::Locate, membership::Membership, permits::Permits, policy::Policy,
        readiness, service::Services,
    },
    protocol::{
        peer::{PeerRequest, PeerResponse, decisions},
        problem::Refusal,
    },
};

/// The running parts.
pub struct Parts {
    /// What all parts share.
    pub core: Arc<Core>,
    /// The clients of model engines.
    pub engines: Engines,
    /// The answers to callers that ask which daemons to use.
    pub locate: Locate,
    /// The follower and publisher of the configuration.
    pub configuration: Arc<Configuration>,
    /// The view of the fleet.
    pub membership: Arc<Membership>,
    /// The leases on upstreams' concurrency.
    pub permits: Arc<Permits>,
    /// The keeper of bills.
    pub billing: Arc<Billing>,
    /// The claims on idempotency keys.
    pub claims: Arc<Claims>,
    /// The path of calls of plain services.
    pub services: Arc<Services>,
    /// Admission, routing and what is learned from ratings.
    pub policy: Arc<Policy>,
}

impl Parts {
    /// A fresh request id that no other daemon or incarnation gives out.
    pub fn next_request_id(&self) -> RequestId {
        let id: u64 = rand::rng().random();
        format!("{}-{id:016x}", self.core.name()).into()
    }

    /// Whether new work may be taken; the refusal says why not.
    pub fn check_ready(&self) -> Result<(), Refusal> {
        readiness::check(&self.configuration, &self.billing)
    }

    /// Answers a call from a peer.
    pub async fn answer(self: Arc<Self>, req: PeerRequest) -> PeerResponse {
        match req {
            PeerRequest::Ping => PeerResponse::Pong,
            PeerRequest::Configuration(req) => {
                PeerResponse::Configuration(self.configuration.answer(req).await)
            }
            PeerRequest::Claims(req) => PeerResponse::Claims(self.services.answer(req).await),
            PeerRequest::Bills(req) => PeerResponse::Bills(self.billing.answer(req).await),
            PeerRequest::Permits(req) => PeerResponse::Permits(self.permits.answer(req).await),
            PeerRequest::Policy(req) => PeerResponse::Policy(self.policy.answer(req).await),
            PeerRequest::Decisions(decisions::Request::ForRequest(id)) => {
                let found = self.core.decisions().for_request(&id);
                PeerResponse::Decisions(decisions::Response::Decisions(found))
            }
        }
    }
}
