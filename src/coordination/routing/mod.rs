//! Routing: which version and which upstream a request runs on, and why.

mod candidates;
mod pools;
mod replicas;
mod request;
mod router;
mod subset;
mod times;

pub use replicas::{Holder, Outcome, ReplicaView, Reservation, Reserved};
pub use request::{
    Choice, ChoiceId, NoRoute, NoRouteWhy, Reason, Rejected, RouteRequest, ServiceRequest, Why,
};
pub use router::{Router, Views};
pub use subset::{SubsetSize, subset};
