//! Message types of the interfaces of the platform and the upstreams, all JSON over HTTP.
//!
//! The daemon's clients and the stand-ins share these types, so that both sides always agree.

pub mod engine;
pub mod instances;
pub mod objects;
pub mod rating;
pub mod table;
pub mod weights;
