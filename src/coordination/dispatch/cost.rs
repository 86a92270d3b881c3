//! Which upstream gets a request: the load patterns of uneven, lost, failing and cold upstreams.
//!
//! Each candidate has an expected cost in milliseconds: what waits there, what has to be read of
//! the prompt, what runs beside it, how often it fails, and how far away it is. The least wins.

use std::time::Duration;

/// Milliseconds that a request loses for each other one that runs on a model engine.
const ENGINE_CONCURRENCY_MS: f64 = 1.0;
/// Milliseconds that a request loses for each other one in a plain upstream's slots.
const PLAIN_CONCURRENCY_MS: f64 = 40.0;
/// Milliseconds that a certain failure costs.
const FAILURE_MS: f64 = 3_000.0;
/// Milliseconds that a cold upstream costs.
const COLD_MS: f64 = 150.0;
/// Milliseconds that a kilobyte to another failure domain costs.
const REMOTE_KB_MS: f64 = 0.4;
/// Milliseconds that are drawn at random, so that daemons with the same view spread out.
const JITTER_MS: f64 = 4.0;

/// What is known of one upstream for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// The time until what waits there has been read.
    pub backlog: Duration,
    /// The time to read what is not in its memory of the prompt.
    pub prefill_time: Duration,
    /// The requests that run there, of all daemons.
    pub running: u32,
    /// The part of recent attempts that failed.
    pub failure_rate: f64,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it stands in another failure domain.
    pub remote: bool,
    /// Whether it is a model engine.
    pub engine: bool,
}

/// The expected cost of a candidate for a body of `body_bytes`; `draw` is from 0 to 1.
pub fn cost(candidate: &Candidate, body_bytes: usize, draw: f64) -> f64 {
    let concurrency_ms = match candidate.engine {
        true => ENGINE_CONCURRENCY_MS,
        false => PLAIN_CONCURRENCY_MS,
    };
    let remote_kb = match candidate.remote {
        true => kilobytes(body_bytes) + 1.0,
        false => 0.0,
    };
    let cold = match candidate.cold {
        true => COLD_MS,
        false => 0.0,
    };
    millis(candidate.backlog)
        + millis(candidate.prefill_time)
        + concurrency_ms * f64::from(candidate.running)
        + FAILURE_MS * candidate.failure_rate
        + REMOTE_KB_MS * remote_kb
        + cold
        + JITTER_MS * draw
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "bodies are far smaller")]
fn kilobytes(bytes: usize) -> f64 {
    bytes as f64 / 1_024.0
}
