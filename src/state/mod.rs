//! The state layer: configuration objects, their validation and differences, indexed snapshots and
//! cached table rows.

pub mod check;
pub mod credentials;
pub mod diff;
pub mod document;
pub mod names;
pub mod objects;
pub mod record;
pub mod rows;
pub mod snapshot;
