//! Leaving the jobs to another owner without losing what was taken.

use std::collections::BTreeMap;

use super::{Controller, ItemStage};
use crate::batch::job::OutputEvent;
use crate::batch::progress_offer::{ItemProgress, ProgressOffer};
use crate::batch::record::Record;
use crate::batch::score_plan::ItemKey;
use crate::identity::Epoch;
use crate::time::Timestamp;

impl Controller {
    /// Writes all progress down, so that the next owner goes on from there.
    pub fn flush_progress(&mut self, now: Timestamp) {
        let mut records = Vec::new();
        let keys: Vec<ItemKey> = self.items.keys().cloned().collect();
        for (batch, item) in keys {
            if self.needs_single_version(&batch) {
                continue;
            }
            let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { continue };
            if live.stage != ItemStage::Generating || live.is_anew || live.written == live.events.len() {
                continue;
            }
            let events = live.take_unwritten();
            records.push(Record::Progress { batch, item, events });
        }
        if !records.is_empty() {
            self.append(now, records);
        }
    }

    /// Whether all that was appended is decided.
    pub fn is_settled(&self) -> bool {
        self.appending.is_empty()
    }

    /// What this owner took under `epoch` and doesn't know to be kept.
    pub fn progress_offer(&self, epoch: Epoch) -> ProgressOffer {
        let mut taken: BTreeMap<ItemKey, Vec<OutputEvent>> = BTreeMap::new();
        for record in self.appending.iter().flatten() {
            match record {
                Record::Progress { batch, item, events }
                | Record::Completed { batch, item, events }
                | Record::Generated { batch, item, events, replaces: false } => {
                    taken.entry((batch.clone(), *item)).or_default().extend(events.iter().cloned());
                }
                _ => {}
            }
        }
        for ((batch, item), live) in &self.items {
            if live.stage == ItemStage::Generating && !live.is_anew {
                let unwritten = live.events[live.written..].iter().cloned();
                taken.entry((batch.clone(), *item)).or_default().extend(unwritten);
            }
        }
        let items = taken.into_iter().filter(|(_, events)| !events.is_empty());
        let items = items.filter_map(|((batch, item), events)| {
            let kept = self.ledger.job(&batch)?.items.get(item as usize)?.last_event();
            Some(ItemProgress { batch, item, after: kept, events })
        });
        ProgressOffer { epoch, items: items.collect() }
    }

    /// Takes over what the owner before offers. To be called before anything runs; `latest` is the epoch of
    /// the last owner that appended. Returns how many events were taken.
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
                // The giver knew more to be kept than was found: its events have a gap before them.
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
