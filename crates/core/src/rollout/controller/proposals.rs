//! Records on their way into the log, and the answers that rest on them.

use super::super::delivery::{PullRefusal, PullResponse};
use super::super::ledger::LedgerError;
use super::super::record::JobRecord;
use super::JobController;
use super::event::Action;

/// An answer that waits for its records to be kept.
pub(super) struct HeldAnswer {
    /// The answer rests on records up to this number.
    pub(super) after_record: u64,
    pub(super) ticket: u64,
    pub(super) answer: Result<PullResponse, PullRefusal>,
}

impl JobController {
    pub(super) fn propose(&mut self, record: JobRecord) -> Result<(), LedgerError> {
        self.ledger.apply(&record)?;
        self.proposed.push(record);
        self.proposed_count += 1;
        Ok(())
    }

    /// Proposes a record that was made from the ledger as it stands.
    pub(super) fn propose_fitting(&mut self, record: JobRecord) {
        if let Err(error) = self.propose(record) {
            log::error!(target: "rollout", "A record did not fit the ledger it was made from: {error}.");
        }
    }

    pub(super) fn append_proposed(&mut self) {
        if self.appending_count.is_some() || self.proposed.is_empty() {
            return;
        }
        self.appending_count = Some(self.proposed_count);
        let records = std::mem::take(&mut self.proposed);
        self.actions.push_back(Action::Append(records));
        self.compact_closed_steps();
    }

    /// The snapshot stands for exactly the records that have been given to the driver so far.
    pub(super) fn compact_closed_steps(&mut self) {
        if self.compact_after.take().is_none() {
            return;
        }
        match self.ledger.snapshot() {
            Ok(snapshot) => self.actions.push_back(Action::Compact(snapshot)),
            Err(error) => log::warn!(target: "rollout", "The log was not compacted: {error}."),
        }
    }

    pub(super) fn handle_appended(&mut self) {
        let Some(count) = self.appending_count.take() else { return };
        self.appended_count = count;
        self.release_answers();
    }

    pub(super) fn release_answers(&mut self) {
        let kept = if self.config.checks.commit_before_answer { self.appended_count } else { u64::MAX };
        while self.held_answers.front().is_some_and(|held| held.after_record <= kept) {
            let Some(HeldAnswer { ticket, answer, .. }) = self.held_answers.pop_front() else { return };
            self.actions.push_back(Action::Answer { ticket, answer });
        }
    }
}
