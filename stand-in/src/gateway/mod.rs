//! The users' platform as the gateway meets it: its table and its upstreams.

pub mod caller;
pub mod deployment;
pub mod table;
pub mod upstream;
