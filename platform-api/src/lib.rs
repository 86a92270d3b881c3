//! Typed messages of the interfaces that the platform and the upstreams offer, all JSON over HTTP.
//!
//! The daemon's clients and the stand-ins share them, so that both sides agree by construction.

pub mod engine;
pub mod instances;
pub mod objects;
pub mod rating;
pub mod table;
pub mod weights;
