//! Incremental decoder for server-sent events (WHATWG HTML, section 9.2).
//!
//! Buffers the incomplete part of an event between two calls; the caller reads the body.

/// A decoded event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Event name; empty if the stream doesn't set one.
    pub name: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Decodes events from chunks of bytes with arbitrary boundaries.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
    name: String,
    data: Vec<String>,
}

impl EventDecoder {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<ServerSentEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(line) = self.next_line() {
            events.extend(self.process_line(&line));
        }
        events
    }

    fn next_line(&mut self) -> Option<String> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        let text = String::from_utf8_lossy(&line);
        Some(text.trim_end_matches(['\r', '\n']).to_owned())
    }

    fn process_line(&mut self, line: &str) -> Option<ServerSentEvent> {
        if line.is_empty() {
            return self.finish_event();
        }
        // A line that starts with a colon is a comment; its field name is empty, so it is ignored below.
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.name),
            "data" => self.data.push(value.to_owned()),
            _ => {}
        }
        None
    }

    fn finish_event(&mut self) -> Option<ServerSentEvent> {
        let name = std::mem::take(&mut self.name);
        let data = std::mem::take(&mut self.data);
        if data.is_empty() {
            return None;
        }
        Some(ServerSentEvent { name, data: data.join("\n") })
    }
}
