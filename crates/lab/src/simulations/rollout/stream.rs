//! An owner's end of an attempt: collects numbered chunks into an answer with its spans.

use std::time::Duration;

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_core::request::answer::VersionSpan;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::ProcessId;

/// How often an attempt is polled.
pub(super) const POLL: Duration = Duration::from_millis(20);

/// An attempt that runs at an engine.
pub(super) struct AttemptStream {
    pub(super) engine: ProcessId,
    pub(super) next_poll: Timestamp,
    pub(super) tokens: Vec<u32>,
    spans: Vec<VersionSpan>,
    /// Off: the whole answer is said to be made by the version of its first chunk.
    versions_by_chunk: bool,
}

impl AttemptStream {
    pub(super) fn new(engine: ProcessId, now: Timestamp, versions_by_chunk: bool) -> Self {
        Self { engine, next_poll: now + POLL, tokens: Vec::new(), spans: Vec::new(), versions_by_chunk }
    }

    /// The number of the next token.
    pub(super) fn next_token(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Takes a chunk; one that came late or twice is known by its number. Tells whether it was taken.
    pub(super) fn take(&mut self, first_token: u32, tokens: &[u32], version: WeightVersion) -> bool {
        if first_token != self.next_token() {
            return false;
        }
        let token_count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.tokens.extend_from_slice(tokens);
        match self.spans.last_mut() {
            Some(last) if last.weight_version == version || !self.versions_by_chunk => {
                last.token_count += token_count;
            }
            _ if token_count > 0 => {
                self.spans.push(VersionSpan { weight_version: version, first_token, token_count });
            }
            _ => {}
        }
        true
    }

    /// The spans so far.
    pub(super) fn spans(&self) -> Vec<VersionSpan> {
        self.spans.clone()
    }
}
