//! The protocol layer: typed messages and their codecs.

pub mod codec;
pub mod fleet_key;
pub mod gossip;
pub mod peer;
