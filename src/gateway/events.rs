//! Splitting of a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// The largest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event, as the upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it bears one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// The bytes of a stream that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next whole event out.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find(&self.pending, EVENT_DELIMITER)? + EVENT_DELIMITER.len();
        let bytes = self.pending.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an event is larger than any that is waited for.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Takes what is left.
    pub fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
