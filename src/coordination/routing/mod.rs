//! Routing: which version and which upstream a request runs on, and why.

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
