//! The adapter to the users' platform: samples of what it reads and writes.

mod headers;
mod samples;
mod table;
