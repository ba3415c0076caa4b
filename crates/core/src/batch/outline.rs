//! Records without the texts of their events.
//!
//! Texts make up most of a log, and an owner can act without them: it only needs to know which events exist.
//! So a takeover that has to read the log reads its outline first and fills in the texts while it is already
//! working. Until then, the results of a job with missing texts are not shown.

use std::collections::HashMap;

use speedy::{Readable, Writable};

use super::job::{ItemResult, OutputEvent};
use super::ledger::{ItemState, JobState, Ledger};
use super::record::Record;
use crate::identity::BatchId;
use crate::replication::entry::{IndexedEntry, Payload};

/// An event without its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct EventOutline {
    /// Number of the event.
    pub number: u64,
    /// The model version that generated it.
    pub version: u64,
}

/// The kind of record that an outline replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum OutlineKind {
    /// [`Record::Progress`].
    Progress,
    /// [`Record::Completed`].
    Completed,
    /// [`Record::Generated`].
    Generated {
        /// Whether the text was restarted.
        replaces: bool,
    },
}

impl OutlineKind {
    /// Restores the record with empty texts.
    pub(super) fn restore(self, batch: BatchId, item: u32, events: &[EventOutline]) -> Record {
        let event = |event: &EventOutline| OutputEvent {
            number: event.number,
            version: event.version,
            data: String::new(),
        };
        let events = events.iter().map(event).collect();
        match self {
            Self::Progress => Record::Progress { batch, item, events },
            Self::Completed => Record::Completed { batch, item, events },
            Self::Generated { replaces } => Record::Generated { batch, item, events, replaces },
        }
    }
}

/// Replaces the records in the entries by their outlines. Other entries stay unchanged.
pub fn outline_entries(entries: &mut [IndexedEntry]) {
    for IndexedEntry { entry, .. } in entries {
        let Payload::Record { bytes, .. } = &mut entry.payload else { continue };
        // Records that cannot be decoded stay unchanged; the reader of the log reports the error.
        let outlined = Record::decode(bytes).ok().and_then(outline).and_then(|record| record.encode().ok());
        if let Some(outlined) = outlined {
            *bytes = outlined;
        }
    }
}

/// Returns the outline of a record, or `None` if it contains no event texts.
fn outline(record: Record) -> Option<Record> {
    let (batch, item, events, kind) = match record {
        Record::Progress { batch, item, events } => (batch, item, events, OutlineKind::Progress),
        Record::Completed { batch, item, events } => (batch, item, events, OutlineKind::Completed),
        Record::Generated { batch, item, events, replaces } => {
            (batch, item, events, OutlineKind::Generated { replaces })
        }
        _ => return None,
    };
    if events.is_empty() {
        return None;
    }
    let event = |event: &OutputEvent| EventOutline { number: event.number, version: event.version };
    Some(Record::Outlined { batch, item, events: events.iter().map(event).collect(), kind })
}

impl Ledger {
    /// Returns whether event texts of a job are missing, so that its results cannot be shown yet.
    pub fn lacks_texts(&self, batch: &BatchId) -> bool {
        self.outlined.contains(batch)
    }

    /// Returns whether event texts of any job are missing.
    pub fn is_outline(&self) -> bool {
        !self.outlined.is_empty()
    }

    /// Fills in missing texts from a ledger of the same log that has them.
    pub fn fill_texts(&mut self, mut whole: Self) {
        for batch in std::mem::take(&mut self.outlined) {
            let Some(job) = self.jobs.get_mut(&batch) else { continue };
            match whole.jobs.remove(&batch) {
                Some(source) => fill_job(job, source),
                None => {
                    self.outlined.insert(batch);
                }
            }
        }
    }
}

fn fill_job(job: &mut JobState, source: JobState) {
    let mut listed: HashMap<u32, String> =
        source.results.into_iter().map(|result| (result.item, result.text)).collect();
    let results: HashMap<u32, usize> =
        job.results.iter().enumerate().map(|(position, result)| (result.item, position)).collect();
    for ((state, source), item) in job.items.iter_mut().zip(source.items).zip(0..) {
        if !std::mem::take(&mut state.is_outlined) {
            continue;
        }
        let known = listed.remove(&item);
        if known.is_none() {
            fill_events(state, source);
        }
        let result = results.get(&item).and_then(|position| job.results.get_mut(*position));
        let Some(result) = result.filter(|_| state.is_listed) else { continue };
        let events = std::mem::take(&mut state.events);
        if result.is_complete {
            result.text = known.unwrap_or_else(|| ItemResult::complete(item, &events, None).text);
        }
    }
}

fn fill_events(state: &mut ItemState, source: ItemState) {
    let mut texts: HashMap<u64, String> =
        source.events.into_iter().map(|event| (event.number, event.data)).collect();
    for event in state.events.iter_mut().filter(|event| event.data.is_empty()) {
        if let Some(text) = texts.remove(&event.number) {
            event.data = text;
        }
    }
}
