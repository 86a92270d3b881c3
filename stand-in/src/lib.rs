//! Fakes of the platform's services and of upstreams, with fault injection, for the demo and tests.
//!
//! Each role serves the messages of `platform-api` as JSON over HTTP/1.1 on one address and accepts
//! [`control::Control`] messages on a second address, which is not affected by injected faults.

pub mod client;
mod connection;
pub mod control;
pub mod engine;
mod exchange;
pub mod fault;
pub mod gateway;
mod http;
pub mod instances;
mod lagging;
mod millis;
pub mod objects;
pub mod rating;
pub mod relay;
pub mod server;
pub mod service;
pub mod stats;
pub mod table;
pub mod weights;
