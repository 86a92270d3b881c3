//! Admission control: runs, queues or refuses each request on arrival.

mod hold_time;
mod limit;
mod precedence;
mod queue;

pub use limit::{Limit, engine_capacity, service_capacity};
pub(crate) use precedence::START_SOON;
pub use precedence::{Position, Traits};
pub use queue::{
    Admission, Admit, AdmitRequest, Arrival, QueueAction, RefusalCause, Refused, WaiterId,
};
