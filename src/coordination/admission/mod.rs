//! Admission: who may run now, who waits and who is refused at once.

mod limit;
mod queue;
mod rates;

pub use limit::{Limit, engine_capacity, service_capacity};
pub use queue::{Admission, Admit, AdmitRequest, Arrival, Grant, Refused, RefusedWhy, WaiterId};
