//! The rate-limited weight store.

/// Path prefix, followed by a version's name, that returns weights for `GET`; 429 above the rate
/// limit.
pub const PATH: &str = "/weights/";
