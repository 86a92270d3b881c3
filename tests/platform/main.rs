//! Tests of the `platform` crate.

mod headers;
mod net;
mod samples;
mod table;
