//! Admission: who may run now, who waits and who is refused at once.

mod hold_time;
mod limit;
mod queue;

pub use limit::{Limit, engine_capacity, service_capacity};
pub use queue::{
    Admission, Admit, AdmitRequest, Arrival, QueueAction, RefusalCause, Refused, WaiterId,
};
