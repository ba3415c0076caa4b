//! Decodes server-sent events (WHATWG HTML, section 9.2) from pieces of a body.
//!
//! Owns the part of an event that has not come whole. Does no reading of its own.

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Its name; empty where the stream gives none.
    pub name: String,
    /// Its data, lines joined by a line feed.
    pub data: String,
}

/// Turns bytes, however they are cut, into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    unread: Vec<u8>,
    name: String,
    data: Vec<String>,
}

impl EventDecoder {
    /// Takes bytes and gives the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<ServerSentEvent> {
        self.unread.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(line) = self.next_line() {
            events.extend(self.take_line(&line));
        }
        events
    }

    fn next_line(&mut self) -> Option<String> {
        let end = self.unread.iter().position(|&byte| byte == b'\n')?;
        let line: Vec<u8> = self.unread.drain(..=end).collect();
        let text = String::from_utf8_lossy(&line);
        Some(text.trim_end_matches(['\r', '\n']).to_owned())
    }

    fn take_line(&mut self, line: &str) -> Option<ServerSentEvent> {
        if line.is_empty() {
            return self.finish_event();
        }
        // A line that starts with a colon is a comment: its field name is empty.
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
