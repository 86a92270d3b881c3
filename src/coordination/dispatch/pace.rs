//! The pace of streams, from which a slow version is told even where it has less to do.
//!
//! Answers the load pattern of a slow version that has few requests beside a loaded old one.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The events after the first over which a pace is taken.
const SAMPLE_EVENTS: u32 = 3;
/// The buckets of a histogram.
const BUCKET_COUNT: usize = 20;
/// The pace of the first bucket.
const FIRST_BUCKET_PACE: Duration = Duration::from_millis(4);
/// The ratio of the paces of neighbouring buckets.
const BUCKET_FACTOR: f64 = std::f64::consts::SQRT_2;

/// The first events of one stream from one upstream, as they came.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceSampler {
    first: Option<Instant>,
    /// Events after the first.
    events: u32,
}

impl PaceSampler {
    /// Notes that an event came; returns the mean time between events once, when it is known.
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

/// How many streams had which pace, in buckets of a factor of 1.41.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceHistogram {
    streams: [u32; BUCKET_COUNT],
}

impl PaceHistogram {
    /// Notes the pace of a stream.
    pub fn record(&mut self, per_event: Duration) {
        self.streams[bucket(per_event)] += 1;
    }

    /// Adds another daemon's streams.
    pub fn add(&mut self, other: &Self) {
        for (sum, streams) in self.streams.iter_mut().zip(other.streams) {
            *sum += streams;
        }
    }

    /// The streams in all.
    pub fn total(&self) -> u32 {
        self.streams.iter().sum()
    }

    /// The pace that the fastest tenth of streams had, roughly.
    ///
    /// It says what upstreams can do, and little of how many requests they run at once.
    pub fn fastest(&self) -> Option<Duration> {
        let rank = self.total().div_ceil(10);
        let mut seen = 0;
        for (streams, bucket) in self.streams.iter().zip(0..) {
            seen += streams;
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
