//! The protocol layer: typed messages and their codecs.

pub mod codec;
pub mod peer;
