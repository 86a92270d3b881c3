//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use platform::stream::EVENT_FIELDS;

/// The blank line that terminates an event.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// Maximum size in bytes of an event, and of what may precede the next new one.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event as the upstream sent it, with any unnumbered ones before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` field.
    pub id: u64,
    /// The event's bytes including the terminating blank line.
    pub bytes: Bytes,
}

/// Buffers the bytes of a stream until they form complete events.
///
/// Events without a number are kept until a numbered one follows or the stream ends. Bytes that are no
/// part of an answer, such as the text of an error, may hold blank lines, too, but not only lines of events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Length of the unnumbered events at the start of `pending`.
    unnumbered: usize,
    /// Length of the part of `pending` that holds no delimiter after the unnumbered events.
    searched: usize,
    is_malformed: bool,
}

impl EventBuffer {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next numbered event.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(end) = self.find_delimiter() {
            let event = &self.pending[self.unnumbered..end];
            if !event.split(|b| *b == b'\n').all(is_event_line) {
                self.is_malformed = true;
                return None;
            }
            let id = event_id(event);
            self.searched = end;
            self.unnumbered = end;
            if let Some(id) = id {
                let bytes = self.pending.split_to(end).freeze();
                self.searched = 0;
                self.unnumbered = 0;
                return Some(Event { id, bytes });
            }
        }
        None
    }

    /// Whether the buffer ends with a part of an event, and not only with blank lines.
    pub fn is_inside_event(&self) -> bool {
        self.pending[self.unnumbered..]
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Whether bytes that are no event follow the last numbered one.
    pub fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// Number of bytes after the last numbered event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether more than [`MAX_EVENT_BYTES`] follow the last numbered event.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns all remaining bytes.
    pub fn take_remaining(&mut self) -> Bytes {
        self.searched = 0;
        self.unnumbered = 0;
        self.pending.split().freeze()
    }

    /// Returns the end of the next event.
    fn find_delimiter(&mut self) -> Option<usize> {
        let found = find(&self.pending[self.searched..], EVENT_DELIMITER);
        let overlap = EVENT_DELIMITER.len() - 1;
        match found {
            Some(at) => Some(self.searched + at + EVENT_DELIMITER.len()),
            None => {
                let searched = self.pending.len().saturating_sub(overlap);
                self.searched = self.searched.max(searched);
                None
            }
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Whether a line is blank, a comment or a field of an event.
fn is_event_line(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    name.is_empty() || EVENT_FIELDS.contains(&name)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
