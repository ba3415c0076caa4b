//! Records on their way to the log, and what follows once they are kept.
//!
//! Invariant: appends are decided in the order in which they were given; a record changes the ledger only
//! then.

use super::{Action, Controller};
use crate::batch::record::Record;
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::time::Timestamp;

impl Controller {
    /// The oldest append is decided: what it says is shown from now on.
    pub fn appended(&mut self, now: Timestamp) {
        let Some(records) = self.appending.pop_front() else { return };
        for record in records {
            self.apply(now, record);
        }
        self.work_and_load(now);
    }

    /// Applies a record that is decided, and does what follows from it.
    fn apply(&mut self, now: Timestamp, record: Record) {
        enum Follows {
            Nothing,
            Acceptance(BatchId),
            Scoring(BatchId, u32),
            Listing(BatchId, u32),
            Order(String),
            End(BatchId),
        }
        let follows = match &record {
            Record::Accepted(job) => Follows::Acceptance(job.id.clone()),
            Record::Generated { batch, item, .. } => Follows::Scoring(batch.clone(), *item),
            Record::Completed { batch, item, .. } | Record::Scored { batch, item, .. } => {
                Follows::Listing(batch.clone(), *item)
            }
            Record::Ordered { replica, .. } => Follows::Order(replica.clone()),
            Record::Listed { batch, result } => Follows::Listing(batch.clone(), result.item),
            Record::Ended(batch) => Follows::End(batch.clone()),
            _ => Follows::Nothing,
        };
        self.ledger.apply(record);
        match follows {
            Follows::Nothing => {}
            Follows::Acceptance(batch) => self.accepted(&batch),
            Follows::Scoring(batch, item) => self.begin_scoring(now, &batch, item),
            Follows::Listing(batch, item) => self.note_listed(&batch, item),
            Follows::Order(replica) => {
                self.actions.extend(self.ordering.remove(&replica).map(Action::Load));
                self.call_duty(&replica);
            }
            Follows::End(batch) => {
                self.decide(Decision::new(Component::Rollout, "end_kept", "decided", &batch));
            }
        }
    }

    /// Tells when an item made its group whole.
    fn note_listed(&mut self, batch: &BatchId, item: u32) {
        let Some(whole) = self.tallies.get_mut(batch).and_then(|tally| tally.listed(item)) else { return };
        let desired = self.ledger.job(batch).and_then(|job| job.job.desired_groups).unwrap_or(0);
        let last = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "group_whole", "all_listed", last);
        let decision = decision.with("batch", batch).with("group", whole.name).with("whole", whole.whole);
        self.decide(decision.with("desired", desired).with("groups", whole.groups));
    }

    pub(super) fn append(&mut self, now: Timestamp, records: Vec<Record>) {
        self.last_append_at = now;
        self.appending.push_back(records.clone());
        self.actions.push_back(Action::Append(records));
    }
}
