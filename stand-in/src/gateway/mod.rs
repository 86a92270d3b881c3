//! Fakes of a gateway's environment: the platform's table, upstreams and callers.

mod behaviour;
pub mod caller;
pub mod deployment;
mod event_stream;
pub mod raw_upstream;
mod responses;
mod stream_shape;
pub mod table;
pub mod upstream;
