//! The protocol layer: typed messages and their codecs.

pub mod peer;
pub mod problem;
