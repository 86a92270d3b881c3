//! The pace of streams (mean time between events), which shows that a version is slow.
//!
//! The comparison also has to work where a slow version has few requests and the old version is
//! loaded.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of events after the first that are averaged.
const SAMPLE_EVENTS: u32 = 3;
/// The buckets of a histogram.
const BUCKET_COUNT: usize = 20;
/// Pace of the first bucket, in time per event.
const FIRST_BUCKET_PACE: Duration = Duration::from_millis(4);
/// Ratio between the paces of adjacent buckets.
const BUCKET_FACTOR: f64 = std::f64::consts::SQRT_2;

/// Measures the pace of one stream over its first events.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceSampler {
    first: Option<Instant>,
    /// Number of events after the first.
    events: u32,
}

impl PaceSampler {
    /// Records an event; returns the mean time between events once, after enough events.
    pub fn record(&mut self, now: Instant) -> Option<Duration> {
        let Some(first) = self.first else {
            self.first = Some(now);
            return None;
        };
        self.events += 1;
        let known = self.events == SAMPLE_EVENTS;
        known.then(|| now.saturating_duration_since(first) / SAMPLE_EVENTS)
    }
}

/// Number of streams by pace, in buckets that grow by a factor of 1.41.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceHistogram {
    streams: [u32; BUCKET_COUNT],
}

impl PaceHistogram {
    /// Adds a stream of the given pace.
    pub fn record(&mut self, per_event: Duration) {
        self.streams[bucket(per_event)] += 1;
    }

    /// Adds the streams of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (sum, streams) in self.streams.iter_mut().zip(other.streams) {
            *sum = sum.saturating_add(streams);
        }
    }

    /// Returns the number of streams.
    pub fn total(&self) -> u32 {
        self.streams.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Returns the approximate 10th percentile of the time per event, that is, the pace of the
    /// fastest streams.
    ///
    /// It reflects what the upstreams are capable of and depends little on their concurrency.
    pub fn fastest(&self) -> Option<Duration> {
        let rank = self.total().div_ceil(10);
        let mut seen = 0;
        for (streams, bucket) in self.streams.iter().zip(0..) {
            seen = streams.saturating_add(seen);
            if seen >= rank && seen > 0 {
                return Some(FIRST_BUCKET_PACE.mul_f64(f64::powi(BUCKET_FACTOR, bucket)));
            }
        }
        None
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm is clamped to the buckets"
)]
fn bucket(per_event: Duration) -> usize {
    let ratio = per_event.as_secs_f64() / FIRST_BUCKET_PACE.as_secs_f64();
    let bucket = ratio.max(1.0).log(BUCKET_FACTOR).round();
    (bucket as usize).min(BUCKET_COUNT - 1)
}
