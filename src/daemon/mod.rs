//! Daemon process: starts and connects the tasks of all layers.

mod assembly;
pub mod billing;
pub mod callers;
pub mod chat;
pub mod claims;
pub mod components;
pub mod configuration;
pub mod core;
pub mod engines;
pub mod locate;
pub mod membership;
pub mod permits;
pub mod policy;
pub mod readiness;
pub mod service;

pub use assembly::{Daemon, StartError};
