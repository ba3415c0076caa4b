//! Uses the texts and scores of earlier jobs for items of open jobs.
//!
//! `batch::reuse` decides what each item uses. The rule is applied when a job is accepted and, for all open
//! jobs, after the routes have changed or missing texts were filled in. It only applies to items without
//! events, so repeating it changes nothing. What is reused is written to the log of the new job, which does
//! not depend on the earlier one after that.

use super::{Controller, ItemStage};
use crate::batch::group_tally::GroupTally;
use crate::batch::ledger::JobState;
use crate::batch::record::Record;
use crate::batch::reuse::{self, Reuse, VersionRule};
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::time::Timestamp;

/// Numbers of items that used the text of an earlier job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReuseCounts {
    /// Items listed at once.
    pub scored: u64,
    /// Items whose complete text went to scoring.
    pub complete: u64,
    /// Items whose incomplete text is continued.
    pub partial: u64,
}

impl ReuseCounts {
    fn count(&mut self, reuse: &Reuse) {
        match reuse {
            Reuse::Listed(_) => self.scored += 1,
            Reuse::Generated(_) => self.complete += 1,
            Reuse::Partial(_) => self.partial += 1,
        }
    }

    fn add(&mut self, other: Self) {
        self.scored += other.scored;
        self.complete += other.complete;
        self.partial += other.partial;
    }

    /// Returns the kind that saved the most work, or `None` if nothing was reused.
    const fn reason(self) -> Option<&'static str> {
        match self {
            Self { scored: 1.., .. } => Some("scored"),
            Self { complete: 1.., .. } => Some("complete"),
            Self { partial: 1.., .. } => Some("partial"),
            _ => None,
        }
    }
}

impl Controller {
    /// Returns how many items used earlier texts since the last call.
    pub fn take_reuse_counts(&mut self) -> ReuseCounts {
        std::mem::take(&mut self.reuse_counts)
    }

    /// Counts the groups of a job. Groups with items that were submitted before are required.
    pub(super) fn tally(&self, state: &JobState) -> GroupTally {
        let mut tally = GroupTally::of(state);
        for (item, position) in state.job.items.iter().zip(0..) {
            let Some(group) = tally.group(position).filter(|group| !tally.is_required(*group)) else {
                continue;
            };
            if reuse::earlier_items(&self.ledger, state, item).next().is_some() {
                tally.mark_required(group);
            }
        }
        tally
    }

    /// Applies the rule to all open jobs, if something has changed that it depends on.
    pub(super) fn reuse_if_due(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.is_reuse_due) {
            let open: Vec<BatchId> = self.tallies.keys().cloned().collect();
            open.iter().for_each(|batch| self.reuse_earlier(now, batch));
        }
    }

    /// Applies the rule to the items of a job. Without its route it is unknown which versions a text may have;
    /// the rule is then applied once the route is known.
    pub(super) fn reuse_earlier(&mut self, now: Timestamp, batch: &BatchId) {
        let Some(needs_single_version) = self.route(batch).map(|route| route.needs_single_version) else {
            return;
        };
        let Some(job) = self.ledger.job(batch) else { return };
        let rule = VersionRule { min_version: job.job.min_version, needs_single_version };
        let mut reused = Vec::new();
        for (item, position) in job.job.items.iter().zip(0..) {
            let mut earlier = reuse::earlier_items(&self.ledger, job, item).peekable();
            if earlier.peek().is_none() || !self.has_no_events(job, position) {
                continue;
            }
            reused.extend(reuse::choose(position, item, earlier, rule).map(|reuse| (position, reuse)));
        }
        let mut counts = ReuseCounts::default();
        for (item, reuse) in reused {
            counts.count(&reuse);
            self.reuse(now, batch, item, reuse);
        }
        let Some(reason) = counts.reason() else { return };
        self.reuse_counts.add(counts);
        let decision = Decision::new(Component::Rollout, "item_reused", reason, batch);
        let decision = decision.with("scored", counts.scored).with("complete", counts.complete);
        self.record_decision(decision.with("partial", counts.partial));
    }

    /// Returns whether an item is open and no event of it was received or written.
    fn has_no_events(&self, job: &JobState, item: u32) -> bool {
        let is_committed = |item: usize| job.items.get(item).is_none_or(|state| !state.events.is_empty());
        let live = self.items.get(&(job.job.id.clone(), item));
        job.is_open(item)
            && !is_committed(item as usize)
            && live.is_some_and(|live| {
                live.stage == ItemStage::Generating && live.events.is_empty() && !live.is_restarted
            })
    }

    /// Each item is a separate append, because the writer of the log limits the size of a write but does not
    /// divide an append.
    fn reuse(&mut self, now: Timestamp, batch: &BatchId, item: u32, reuse: Reuse) {
        let key = (batch.clone(), item);
        if let Some(run) = self.items.get(&key).and_then(|live| live.run) {
            self.stop(now, run);
        }
        let Some(live) = self.items.get_mut(&key) else { return };
        let batch = batch.clone();
        let record = match reuse {
            Reuse::Listed(result) => {
                live.stage = ItemStage::Listing;
                Record::Listed { batch, result }
            }
            // With `replaces`, a handover does not offer these events to the next owner as the beginning of a
            // text: they may stand for others whose numbers are not known.
            Reuse::Generated(events) => {
                live.stage = ItemStage::Persisting;
                Record::Generated { batch, item, events, replaces: true }
            }
            Reuse::Partial(events) => {
                live.events.clone_from(&events);
                live.written = events.len();
                live.written_at = now;
                Record::Progress { batch, item, events }
            }
        };
        self.append(now, vec![record]);
    }

    /// Appends the events of a job's open items that were received but not written, so that a later job can
    /// continue them. All items of a complete group are listed and have none.
    pub(super) fn flush_open_items(&mut self, now: Timestamp, batch: &BatchId) {
        let mut items: Vec<u32> =
            self.items.keys().filter(|(owner, _)| owner == batch).map(|(_, item)| *item).collect();
        items.sort_unstable();
        for item in items {
            let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { continue };
            if live.stage == ItemStage::Generating && live.has_unwritten() {
                let events = live.take_unwritten();
                self.append(now, vec![Record::Progress { batch: batch.clone(), item, events }]);
            }
        }
    }
}
