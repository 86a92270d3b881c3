//! The coordination layer: decisions as structs that take `(now, event)` and return typed actions.
//!
//! Nothing here does I/O or reads a clock; time and randomness are passed in.

pub mod bills;
pub mod claims;
pub mod decisions;
pub mod membership;
