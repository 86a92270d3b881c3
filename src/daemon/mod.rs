//! One daemon: the assembly of all layers into running tasks.

pub mod billing;
pub mod claims;
pub mod configuration;
pub mod core;
pub mod locate;
pub mod membership;
pub mod permits;
pub mod policy;
pub mod service;
