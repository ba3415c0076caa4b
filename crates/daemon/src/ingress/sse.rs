//! Server-sent events of replicas, cut into whole events as their bytes arrive.
//!
//! [`crate::http::events`] reads events too, those of the project's own engines and stores. The two differ in
//! what an event is, so they stay apart: here any of the three line endings ends one, its bytes are kept to
//! be passed on unchanged (also those of comments), and it carries a number and a version of weights. There
//! the peer is of the same release: one line ending, comments are dropped, and the data is parsed as JSON.

use bytes::{Buf, Bytes, BytesMut};
use lichenpulley_platform::headers;

/// The longest event of a replica, in bytes. Chosen, not measured: bounds the memory of a stream whose
/// replica sends no end of an event.
const REPLICA_EVENT_LIMIT_BYTES: usize = 4 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub raw: Bytes,
    /// Its number, where it has one.
    pub number: Option<u64>,
    /// Its data, lines separated by line feeds.
    pub data: String,
    /// The version of the weights from here on, where the event says that it changed.
    pub version: Option<u64>,
}

/// An event that is too long or not text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is too long or no text; break the stream off")]
pub struct BadEvent;

/// Cuts a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of an event is left.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event.
    ///
    /// # Errors
    /// When an event is too long or not text.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, BadEvent> {
        let Some(end) = self.find_end() else {
            return if self.buffer.len() > REPLICA_EVENT_LIMIT_BYTES { Err(BadEvent) } else { Ok(None) };
        };
        let raw = self.buffer.copy_to_bytes(end);
        self.searched = 0;
        parse(raw).map(Some)
    }

    /// The length of the first whole event.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let bytes = &self.buffer[start..];
        for position in 0..bytes.len() {
            let rest = &bytes[position..];
            for ending in [b"\n\n".as_slice(), b"\r\n\r\n", b"\r\r"] {
                if rest.starts_with(ending) {
                    return Some(start + position + ending.len());
                }
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn parse(raw: Bytes) -> Result<Event, BadEvent> {
    let text = std::str::from_utf8(&raw).map_err(|_| BadEvent)?;
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
