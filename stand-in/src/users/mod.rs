//! The users' platform as the gateway meets it: its table and its upstreams.

pub mod table;
pub mod upstream;
