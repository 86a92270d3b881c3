//! One daemon: the assembly of all layers into running tasks.

pub mod core;
pub mod policy;
