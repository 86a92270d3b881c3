//! Fakes of a gateway's environment: the platform's table, upstreams and callers.

mod behaviour;
pub mod caller;
pub mod deployment;
mod event_stream;
pub mod raw_upstream;
mod responses;
pub mod retry_audit;
mod stream_shape;
pub mod table;
pub mod upstream;
