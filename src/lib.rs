//! A model-aware router for versions and cascades: identical daemons between callers and upstreams.
//!
//! A layer calls only layers to its right: `transport` (sockets, HTTP, peer links) → `protocol`
//! (typed messages and codecs) → `coordination` (decisions, free of I/O) → `state`
//! (objects, snapshots, counts). `daemon` assembles them into one process.

pub mod budgets;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod coordination;
pub mod daemon;
pub mod demo;
pub mod gateway;
pub mod isolate;
pub mod local;
pub mod measure;
pub mod metrics;
pub mod protocol;
pub mod settings;
pub mod state;
pub mod supervise;
pub mod transport;
