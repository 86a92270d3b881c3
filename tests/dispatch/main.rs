//! Decisions of the gateway, replayed in virtual time.

mod lapse;
mod support;
