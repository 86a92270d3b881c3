//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// The blank line that terminates an event.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event as the upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` field, if present.
    pub id: Option<u64>,
    /// The event's bytes including the terminating blank line.
    pub bytes: Bytes,
}

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find(&self.pending, EVENT_DELIMITER)? + EVENT_DELIMITER.len();
        let bytes = self.pending.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether the buffer holds a part of an event, and not only blank lines between events.
    pub fn is_inside_event(&self) -> bool {
        self.pending
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns all remaining bytes.
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
