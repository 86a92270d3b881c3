//! Protocol layer: typed messages and their codecs.

pub mod codec;
pub mod fleet_key;
pub mod gossip;
pub mod home_key;
pub mod mac;
pub mod operators;
pub mod peer;
pub mod problem;
pub mod session;
