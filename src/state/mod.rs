//! The state layer: configuration objects, checked snapshots and tables of counts.

pub mod check;
pub mod credentials;
pub mod diff;
pub mod document;
pub mod names;
pub mod objects;
pub mod record;
pub mod rows;
pub mod snapshot;
