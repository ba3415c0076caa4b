//! Appends records to the log and acts on them once they are committed.
//!
//! Invariant: appends are committed in the order in which they were made, and a record changes the ledger
//! only then.

use super::jobs::held_bytes;
use super::{Action, Controller};
use crate::batch::job::ItemResult;
use crate::batch::ledger::ItemState;
use crate::batch::record::Record;
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::time::Timestamp;

impl Controller {
    /// Handles the commit of the oldest pending append and applies its records.
    pub fn appended(&mut self, now: Timestamp) {
        let Some(records) = self.pending_appends.pop_front() else { return };
        for record in records {
            self.apply(now, record);
        }
        self.mark_items_due(now);
    }

    /// Handles the refusal of the oldest pending append, for which the stores have no room, and returns the jobs that
    /// are refused with it.
    pub fn append_refused(&mut self) -> Vec<BatchId> {
        let mut refused = Vec::new();
        for record in self.pending_appends.pop_front().into_iter().flatten() {
            let Record::Accepted(job) = record else { continue };
            self.held_bytes = self.held_bytes.saturating_sub(job.held_bytes());
            self.pending_jobs.remove(&job.id);
            self.ending_jobs.remove(&job.id);
            self.dispatch.refused_jobs += 1;
            let decision = Decision::new(Component::Rollout, "batch_refused", "disk_full", &job.id);
            self.record_decision(decision.with("held_bytes", self.held_bytes));
            refused.push(job.id);
        }
        refused
    }

    /// Applies a committed record and does what it makes possible.
    fn apply(&mut self, now: Timestamp, record: Record) {
        enum FollowUp {
            Nothing,
            Acceptance(BatchId),
            Scoring(BatchId, u32),
            Listing(BatchId, u32),
            Order(String),
            End(BatchId),
        }
        let follow_up = match &record {
            Record::Accepted(job) => FollowUp::Acceptance(job.id.clone()),
            Record::Generated { batch, item, .. } => FollowUp::Scoring(batch.clone(), *item),
            Record::Completed { batch, item, .. } | Record::Scored { batch, item, .. } => {
                FollowUp::Listing(batch.clone(), *item)
            }
            Record::Ordered { replica, .. } => FollowUp::Order(replica.clone()),
            Record::Listed { batch, result } => FollowUp::Listing(batch.clone(), result.item),
            Record::Ended(batch) => FollowUp::End(batch.clone()),
            _ => FollowUp::Nothing,
        };
        self.apply_and_count(record);
        match follow_up {
            FollowUp::Nothing => {}
            FollowUp::Acceptance(batch) => self.accepted(now, &batch),
            FollowUp::Scoring(batch, item) => self.begin_scoring(now, &batch, item),
            FollowUp::Listing(batch, item) => {
                self.observe_scoring(now, &batch, item);
                self.update_group(&batch, item);
            }
            FollowUp::Order(replica) => {
                self.actions.extend(self.pending_loads.remove(&replica).map(Action::Load));
                self.call_duty(&replica);
            }
            FollowUp::End(batch) => {
                self.record_decision(Decision::new(Component::Rollout, "end_kept", "decided", &batch));
            }
        }
    }

    /// Applies a record to the ledger and counts the bytes that the ledger holds more or less after it.
    fn apply_and_count(&mut self, record: Record) {
        if let Record::Dropped(batch) = &record {
            let dropped_bytes = self.ledger.job(batch).map_or(0, held_bytes);
            self.held_bytes = self.held_bytes.saturating_sub(dropped_bytes);
        }
        let subject = record.item();
        let (bytes_before, results_before) = self.text_bytes(subject.as_ref());
        self.ledger.apply(record);
        let (bytes_after, results_after) = self.text_bytes(subject.as_ref());
        let job = subject.as_ref().and_then(|(batch, _)| self.ledger.job(batch));
        let listed = job.and_then(|job| job.results.last()).filter(|_| results_after > results_before);
        let added = bytes_after + listed.map_or(0, ItemResult::held_bytes);
        self.held_bytes = (self.held_bytes + added).saturating_sub(bytes_before);
    }

    /// Returns the bytes of an item's committed events and the number of results of its job.
    fn text_bytes(&self, subject: Option<&(BatchId, u32)>) -> (usize, usize) {
        let Some((batch, item)) = subject else { return (0, 0) };
        let Some(job) = self.ledger.job(batch) else { return (0, 0) };
        let bytes = job.items.get(*item as usize).map_or(0, ItemState::event_bytes);
        (bytes, job.results.len())
    }

    /// Counts a listed item in its group and records a decision if the group is now complete.
    fn update_group(&mut self, batch: &BatchId, item: u32) {
        let Some(group) = self.tallies.get_mut(batch).and_then(|tally| tally.listed(item)) else { return };
        let desired = self.ledger.job(batch).and_then(|job| job.job.desired_groups).unwrap_or(0);
        let last = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "group_whole", "all_listed", last);
        let decision =
            decision.with("batch", batch).with("group", group.name).with("whole", group.complete_groups);
        self.record_decision(decision.with("desired", desired).with("groups", group.groups));
    }

    pub(super) fn append(&mut self, now: Timestamp, records: Vec<Record>) {
        self.last_append_at = now;
        self.pending_appends.push_back(records.clone());
        self.actions.push_back(Action::Append(records));
    }
}
