//! Routing: selects the version and the upstream of a request and records the reason.

mod candidates;
mod pools;
mod replicas;
mod request;
mod router;
mod subset;
mod times;

pub use replicas::{Outcome, ReplicaView, Reservation, Reserved, SoloRunId};
pub use request::{
    Choice, ChoiceId, NoRoute, NoRouteCause, Reason, Rejected, RejectionCause, RouteRequest,
    ServiceRequest,
};
pub use router::{Router, Views};
pub use subset::{SubsetSize, subset};
