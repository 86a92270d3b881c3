//! Fakes of a gateway's environment: the platform's table, upstreams and callers.

pub mod caller;
pub mod deployment;
pub mod raw_upstream;
mod stream_shape;
pub mod table;
pub mod upstream;
