//! In-memory state of an open item, in addition to its state in the ledger.

use super::RunId;
use crate::batch::job::OutputEvent;
use crate::quarantine::Fingerprint;
use crate::time::Timestamp;

/// Processing stage of an item that is not listed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ItemStage {
    /// Its text is being generated, or waits to be.
    #[default]
    Generating,
    /// Its complete text is being written to the log.
    Persisting,
    /// Its complete text is committed and being scored.
    Scoring,
    /// Its result is being written to the log.
    Listing,
}

/// In-memory state of an open item, in addition to its state in the ledger.
#[derive(Default)]
pub(super) struct LiveItem {
    pub(super) run: Option<RunId>,
    /// All events received, including those in the ledger.
    pub(super) events: Vec<OutputEvent>,
    /// Number of `events` that were appended to the log, committed or not.
    pub(super) written: usize,
    /// Whether the text was restarted after events had been appended, so that these are not a prefix of
    /// `events`.
    pub(super) is_restarted: bool,
    pub(super) written_at: Timestamp,
    pub(super) failures: u32,
    /// The replica to avoid, because the last run there ended early or was slow.
    pub(super) avoid: Option<String>,
    pub(super) stage: ItemStage,
    pub(super) score_failures: u32,
    /// Fingerprint of the request, computed on first use.
    pub(super) fingerprint: Option<Fingerprint>,
    /// Whether the request is quarantined, because replicas crashed while they ran it.
    pub(super) is_quarantined: bool,
}

impl LiveItem {
    /// Returns the events that were not appended yet and counts them as appended.
    pub(super) fn take_unwritten(&mut self) -> Vec<OutputEvent> {
        let events = self.events[self.written..].to_vec();
        self.written = self.events.len();
        events
    }

    /// Returns whether there are events that were not appended yet and continue those that were.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.is_restarted && self.written < self.events.len()
    }

    /// Discards all events, so that the text starts from the beginning.
    pub(super) fn restart(&mut self) {
        self.events.clear();
        self.is_restarted |= self.written > 0;
        self.written = 0;
    }
}
