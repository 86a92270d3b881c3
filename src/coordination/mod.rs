//! The coordination layer: state machines that take `(now, event)` and return typed actions.
//!
//! Nothing here performs I/O or reads a clock; time and randomness are passed in.

pub mod admission;
pub mod bills;
pub mod body_budget;
pub mod cascade;
pub mod claims;
pub mod configuration;
pub mod connection_table;
pub mod decisions;
pub mod dispatch;
pub mod execution;
pub mod hash;
pub mod health;
pub mod locate;
pub mod membership;
pub mod ownership;
pub mod permits;
pub mod poison;
pub mod quality;
pub mod retry;
pub mod rollout;
pub mod routing;
