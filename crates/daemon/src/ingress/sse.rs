//! Incremental parser for server-sent events of replicas.
//!
//! It accepts all three line endings, keeps the raw bytes (including comments) so that events can be
//! forwarded unchanged, and reads the event number and weight version. [`crate::http::events`] parses the
//! events of the project's own engines and stores, which use one line ending and JSON data.

use bytes::{Buf, Bytes, BytesMut};
use lichenpulley_platform::headers;

/// Maximum size of an event, in bytes. Bounds the memory used by an unterminated event, of which each stream and run of
/// a node may have one.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The raw bytes, including the blank line at the end.
    pub raw: Bytes,
    /// The event number from the `id` field, if present.
    pub number: Option<u64>,
    /// The `data` lines, joined by line feeds.
    pub data: String,
    /// The weight version from this event on, if the event states one.
    pub version: Option<u64>,
}

/// An event that is too long or not valid UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event is too long or not valid UTF-8; close the stream")]
pub struct InvalidEvent;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were already searched for the end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds an incomplete event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// Returns an error if the event is too long or not valid UTF-8.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, InvalidEvent> {
        let Some(end) = self.find_end() else {
            return if self.buffer.len() > MAX_EVENT_BYTES { Err(InvalidEvent) } else { Ok(None) };
        };
        let raw = self.buffer.copy_to_bytes(end);
        self.searched_bytes = 0;
        parse(raw).map(Some)
    }

    /// Returns the length of the first complete event.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched_bytes.saturating_sub(3);
        let bytes = &self.buffer[start..];
        for position in 0..bytes.len() {
            let rest = &bytes[position..];
            for ending in [b"\n\n".as_slice(), b"\r\n\r\n", b"\r\r"] {
                if rest.starts_with(ending) {
                    return Some(start + position + ending.len());
                }
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

fn parse(raw: Bytes) -> Result<Event, InvalidEvent> {
    let text = std::str::from_utf8(&raw).map_err(|_| InvalidEvent)?;
    let mut number = None;
    let mut version = None;
    let mut data: Vec<&str> = Vec::new();
    for line in text.lines() {
        let Some((name, value)) = line.split_once(':') else { continue };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => number = value.trim().parse().ok(),
            "data" => data.push(value),
            headers::WEIGHT_VERSION => version = value.trim().parse().ok(),
            _ => {}
        }
    }
    let data = data.join("\n");
    Ok(Event { raw, number, data, version })
}
