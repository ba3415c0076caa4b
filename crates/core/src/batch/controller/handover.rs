//! Hands the jobs over to the next owner without losing events that were received.

use std::collections::BTreeMap;

use super::{Controller, ItemStage};
use crate::batch::job::OutputEvent;
use crate::batch::progress_offer::{ItemProgress, ProgressOffer};
use crate::batch::record::Record;
use crate::batch::score_plan::ItemKey;
use crate::identity::Epoch;
use crate::time::Timestamp;

impl Controller {
    /// Appends all progress, so that the next owner resumes there.
    pub fn flush_progress(&mut self, now: Timestamp) {
        let mut records = Vec::new();
        let keys: Vec<ItemKey> = self.items.keys().cloned().collect();
        for (batch, item) in keys {
            if self.needs_single_version(&batch) {
                continue;
            }
            let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { continue };
            if live.stage != ItemStage::Generating || !live.has_unwritten() {
                continue;
            }
            let events = live.take_unwritten();
            records.push(Record::Progress { batch, item, events });
        }
        if !records.is_empty() {
            self.append(now, records);
        }
    }

    /// Returns whether all appends are committed.
    pub fn is_settled(&self) -> bool {
        self.pending_appends.is_empty()
    }

    /// Returns the events that this owner received under `epoch` and that are not known to be committed.
    pub fn progress_offer(&self, epoch: Epoch) -> ProgressOffer {
        let mut pending_events: BTreeMap<ItemKey, Vec<OutputEvent>> = BTreeMap::new();
        for record in self.pending_appends.iter().flatten() {
            match record {
                Record::Progress { batch, item, events }
                | Record::Completed { batch, item, events }
                | Record::Generated { batch, item, events, replaces: false } => {
                    pending_events.entry((batch.clone(), *item)).or_default().extend(events.iter().cloned());
                }
                _ => {}
            }
        }
        for ((batch, item), live) in &self.items {
            if live.stage == ItemStage::Generating && !live.is_restarted {
                let unwritten = live.events[live.written..].iter().cloned();
                pending_events.entry((batch.clone(), *item)).or_default().extend(unwritten);
            }
        }
        let items = pending_events.into_iter().filter(|(_, events)| !events.is_empty());
        let items = items.filter_map(|((batch, item), events)| {
            let last_committed = self.ledger.job(&batch)?.items.get(item as usize)?.last_event();
            Some(ItemProgress { batch, item, after: last_committed, events })
        });
        ProgressOffer { epoch, items: items.collect() }
    }

    /// Adopts the events that the previous owner offers. Must be called before any item is started. `latest`
    /// is the epoch of the last owner that appended; an offer of any other epoch is ignored. Returns the
    /// number of adopted events.
    pub fn adopt(&mut self, offer: ProgressOffer, latest: Epoch) -> usize {
        if offer.epoch != latest {
            return 0;
        }
        offer.items.into_iter().map(|progress| self.adopt_item(progress)).sum()
    }

    fn adopt_item(&mut self, progress: ItemProgress) -> usize {
        let ItemProgress { batch, item, after, events } = progress;
        let mut adopted = 0;
        for event in events {
            let is_allowed = self.is_version_allowed(&batch, item, event.version);
            let live = self.items.get_mut(&(batch.clone(), item));
            let Some(live) = live.filter(|live| is_allowed && live.stage == ItemStage::Generating) else {
                break;
            };
            let last = live.events.last().map(|last| last.number);
            let expected = match (last, after) {
                (Some(last), _) => last + 1,
                (None, None) => event.number,
                // The previous owner knew of committed events that were not recovered, so there is a gap
                // before its events.
                (None, Some(_)) => break,
            };
            if event.number > expected {
                break;
            }
            if event.number == expected {
                live.events.push(event);
                adopted += 1;
            }
        }
        adopted
    }
}
