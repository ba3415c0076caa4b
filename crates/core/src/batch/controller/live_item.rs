//! What the owner knows of an item beyond the ledger.

use super::RunId;
use crate::batch::job::OutputEvent;
use crate::quarantine::Fingerprint;
use crate::time::Timestamp;

/// How far an item that is not listed yet has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ItemStage {
    /// Its text is being made.
    #[default]
    Generating,
    /// Its whole text is on its way to the stores.
    Keeping,
    /// Its whole text is kept and being scored.
    Scoring,
    /// Its result is on its way to the stores.
    Listing,
}

/// What the owner knows of an item beyond the ledger.
#[derive(Default)]
pub(super) struct LiveItem {
    pub(super) run: Option<RunId>,
    /// Events that have come, those of the ledger included.
    pub(super) events: Vec<OutputEvent>,
    /// How many of them are on the stores or on their way there.
    pub(super) written: usize,
    /// It was begun anew: what the stores keep of it is no beginning of its events.
    pub(super) is_anew: bool,
    pub(super) written_at: Timestamp,
    pub(super) failures: u32,
    /// The replica that let the last run down.
    pub(super) avoid: Option<String>,
    pub(super) stage: ItemStage,
    pub(super) score_failures: u32,
    /// What all its runs have in common, once it was asked for.
    pub(super) fingerprint: Option<Fingerprint>,
    /// Replicas ended under it: it reaches no other.
    pub(super) is_held: bool,
}

impl LiveItem {
    /// The events that are not on their way to the stores yet; from now on they are.
    pub(super) fn take_unwritten(&mut self) -> Vec<OutputEvent> {
        let events = self.events[self.written..].to_vec();
        self.written = self.events.len();
        events
    }

    /// Begins the text anew.
    pub(super) fn restart(&mut self) {
        self.events.clear();
        self.written = 0;
        self.is_anew = true;
    }
}
