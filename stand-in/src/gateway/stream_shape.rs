//! Number, size and pace of the events that a fake of an upstream sends.

use std::time::Duration;

use super::upstream::EVENTS_PER_STREAM;

/// Interval between the events of a short stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// The events of a stream.
pub(super) struct StreamShape {
    /// Number of events.
    pub(super) events: u64,
    /// Number of bytes added to each event.
    pub(super) filler_bytes: usize,
    /// Time between events.
    pub(super) interval: Duration,
}

impl StreamShape {
    /// Reads it from a path: `/ask/32x1024` asks for 32 events of 1,024 bytes each, as fast as they are
    /// read. Other paths get a short stream.
    pub(super) fn of(path: &str) -> Self {
        let named = path
            .rsplit('/')
            .next()
            .and_then(|name| name.split_once('x'));
        let parsed = named.and_then(|(n, bytes)| Some((n.parse().ok()?, bytes.parse().ok()?)));
        match parsed {
            Some((events, filler_bytes)) => Self {
                events,
                filler_bytes,
                interval: Duration::ZERO,
            },
            None => Self {
                events: EVENTS_PER_STREAM,
                filler_bytes: 0,
                interval: EVENT_INTERVAL,
            },
        }
    }
}
