//! The rate-limited weight store.

/// Path prefix of weights, followed by the version's name and read with `GET`; 429 when over the rate.
pub const PATH: &str = "/weights/";
