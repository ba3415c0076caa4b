//! Proposes records to the log and holds back the answers that depend on them until they are committed.

use super::super::delivery::{PullRefusal, PullResponse};
use super::super::ledger::LedgerError;
use super::super::record::JobRecord;
use super::JobController;
use super::event::Action;

/// An answer that waits until its records are committed.
pub(super) struct PendingAnswer {
    /// Number of records proposed before the answer.
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

    /// Proposes a record derived from the current ledger, which is always consistent with it.
    pub(super) fn propose_valid(&mut self, record: JobRecord) {
        if let Err(error) = self.propose(record) {
            log::error!(target: "rollout", "A record is inconsistent with its ledger: {error}.");
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

    /// Compacts the log after a step was closed. The snapshot covers exactly the records passed to the driver
    /// so far.
    pub(super) fn compact_closed_steps(&mut self) {
        if self.compact_after.take().is_none() {
            return;
        }
        match self.ledger.snapshot() {
            Ok(snapshot) => self.actions.push_back(Action::Compact(snapshot)),
            Err(error) => log::warn!(target: "rollout", "The log of a job could not be compacted: {error}."),
        }
    }

    pub(super) fn handle_appended(&mut self) {
        let Some(count) = self.appending_count.take() else { return };
        self.appended_count = count;
        self.release_answers();
    }

    pub(super) fn release_answers(&mut self) {
        let committed = if self.config.checks.commit_before_answer { self.appended_count } else { u64::MAX };
        while self.pending_answers.front().is_some_and(|pending| pending.after_record <= committed) {
            let Some(PendingAnswer { ticket, answer, .. }) = self.pending_answers.pop_front() else { return };
            self.actions.push_back(Action::Answer { ticket, answer });
        }
    }
}
