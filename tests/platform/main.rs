//! Tests of the `platform` crate.

mod headers;
mod samples;
mod table;
