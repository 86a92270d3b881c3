//! The cost function for selecting an upstream.
//!
//! It avoids uneven load, failing or cold upstreams and remote failure domains. The expected cost
//! is in milliseconds: it adds up the upstream's backlog, the prefill time of the uncached part of
//! the prompt, the time for which that prefill stalls running streams, the concurrent requests, the
//! failure rate and the distance. The upstream with the lowest cost is selected.

use std::time::Duration;

/// Milliseconds added by each concurrent request on a model engine.
const ENGINE_CONCURRENCY_MS: f64 = 1.0;
/// Prefill time that delays running streams by less than callers notice.
const ACCEPTED_STALL: Duration = Duration::from_millis(100);
/// Weight of a longer stall of each running stream, relative to the request's own wait. Few of the
/// stalled streams exceed the pause that callers accept.
const STALL_WEIGHT: f64 = 0.5;
/// Milliseconds added on a model engine whose slots are all in use, where a request waits for a slot.
const ENGINE_FULL_MS: f64 = 250.0;
/// Fraction of the slots in use above which this is added in part. Counts of other daemons' requests
/// are old, so an engine may be full although it does not seem to be.
const CROWDED_FRACTION: f64 = 0.5;
/// Milliseconds added by each concurrent request on a plain upstream.
const PLAIN_CONCURRENCY_MS: f64 = 40.0;
/// Milliseconds added at a failure rate of 1; scaled by the actual rate.
const FAILURE_MS: f64 = 3_000.0;
/// Milliseconds added for a cold upstream.
const COLD_MS: f64 = 150.0;
/// Milliseconds added per kilobyte sent to another failure domain.
const REMOTE_KB_MS: f64 = 0.4;
/// Maximum random jitter in milliseconds, which spreads out daemons that have the same view.
const JITTER_MS: f64 = 4.0;

/// Properties of one upstream for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Time until the upstream has processed its outstanding prompts.
    pub backlog: Duration,
    /// Prefill time for the part of the prompt that is not cached.
    pub prefill_time: Duration,
    /// Requests of all daemons that run on the upstream.
    pub running: u32,
    /// Its concurrency limit.
    pub slots: u32,
    /// Fraction of recent attempts that failed.
    pub failure_rate: f64,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it is in another failure domain.
    pub remote: bool,
    /// Whether it is a model engine.
    pub engine: bool,
}

/// Returns the expected cost of a candidate for a body of `body_bytes`; `draw` is random, from 0 to
/// 1.
pub fn cost(candidate: &Candidate, body_bytes: usize, draw: f64) -> f64 {
    let concurrency_ms = match candidate.engine {
        true => ENGINE_CONCURRENCY_MS,
        false => PLAIN_CONCURRENCY_MS,
    };
    let crowding_ms = match candidate.engine {
        true => ENGINE_FULL_MS * crowding(candidate).powi(2),
        false => 0.0,
    };
    let stall_ms = match candidate.engine {
        true => {
            let stall = candidate.prefill_time.saturating_sub(ACCEPTED_STALL);
            STALL_WEIGHT * millis(stall) * f64::from(candidate.running)
        }
        false => 0.0,
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
        + stall_ms
        + millis(candidate.prefill_time)
        + concurrency_ms * f64::from(candidate.running)
        + crowding_ms
        + FAILURE_MS * candidate.failure_rate
        + REMOTE_KB_MS * remote_kb
        + cold
        + JITTER_MS * draw
}

/// Returns how crowded the slots are, from 0 up to half of them to 1 if all are in use.
fn crowding(candidate: &Candidate) -> f64 {
    let used = f64::from(candidate.running) / f64::from(candidate.slots.max(1));
    ((used - CROWDED_FRACTION) / (1.0 - CROWDED_FRACTION)).max(0.0)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "bodies are far smaller than 2^52 bytes"
)]
fn kilobytes(bytes: usize) -> f64 {
    bytes as f64 / 1_024.0
}
