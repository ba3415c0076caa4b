//! Handles the trainer's pulls: moves the cursor, drops samples that are too old, and hands over a batch.

use crate::decision::{Component, Decision};

use super::super::delivery::{PullRefusal, PullRequest, PullResponse};
use super::super::record::JobRecord;
use super::super::sample::Sample;
use super::super::slot::Slot;
use super::JobController;
use super::event::Action;
use super::proposals::PendingAnswer;

impl JobController {
    pub(super) fn handle_pull(&mut self, ticket: u64, request: &PullRequest) {
        let answer = self.pull(request);
        if answer.is_err() && self.config.checks.confirm_refusals {
            self.propose_valid(JobRecord::Barrier);
        }
        let pending = PendingAnswer { after_record: self.proposed_count, ticket, answer };
        self.pending_answers.push_back(pending);
        self.release_answers();
    }

    /// Computes the answer to a pull. It depends only on proposed records, so a new owner gives the same
    /// answer.
    pub(super) fn pull(&mut self, request: &PullRequest) -> Result<PullResponse, PullRefusal> {
        let mut request = request.clone();
        if !self.config.checks.cursor_by_trainer {
            request.cursor = self.ledger.saved_cursor();
        }
        self.ledger.check_pull(&request)?;
        self.update_trainer_position(&request);
        self.void_stale_batch();
        self.reopen_stale_slots();
        self.hand_over(request.max_samples);
        let response = self.pull_response(&request);
        if !self.config.checks.cursor_by_trainer {
            self.update_trainer_position(&PullRequest { cursor: response.next_cursor, ..request });
        }
        Ok(response)
    }

    pub(super) fn update_trainer_position(&mut self, request: &PullRequest) {
        let PullRequest { cursor, trainer_version, .. } = *request;
        if cursor == self.ledger.saved_cursor() && trainer_version == self.ledger.trainer_version() {
            return;
        }
        let step = self.ledger.step();
        self.propose_valid(JobRecord::CursorMoved { cursor, trainer_version });
        if self.ledger.step() > step {
            self.compact_after = Some(self.proposed_count);
            let decision = Decision::new(Component::Rollout, "closed_step", "saved_by_trainer", step)
                .with("cursor", cursor);
            self.actions.push_back(Action::Decide(decision));
        }
    }

    /// Voids the unsaved batch if one of its samples has become too old. The staleness bound takes precedence
    /// over returning the same samples for the same cursor.
    pub(super) fn void_stale_batch(&mut self) {
        let Some((start, samples)) = self.ledger.unsaved_batch() else { return };
        if samples.iter().all(|sample| self.is_fresh(sample)) {
            return;
        }
        let decision = Decision::new(Component::Rollout, "voided_batch", "stale_at_hand_over", start)
            .with("samples", samples.len())
            .with("trainer_version", self.ledger.trainer_version());
        self.propose_valid(JobRecord::BatchVoided);
        self.actions.push_back(Action::Decide(decision));
    }

    /// Reopens the ready slots whose samples have become too old. This check guarantees the staleness bound.
    pub(super) fn reopen_stale_slots(&mut self) {
        let stale: Vec<(Slot, u64)> = self
            .ledger
            .ready()
            .filter(|sample| !self.is_fresh(sample))
            .map(|sample| (sample.slot, sample.tokens.len() as u64))
            .collect();
        for (slot, token_count) in stale {
            let generation = self.ledger.generation_of(slot) + 1;
            self.propose_valid(JobRecord::Reopened { slot, generation });
            self.tokens.stale_at_hand_over += token_count;
            self.queue.push(slot);
            let decision = Decision::new(Component::Rollout, "reopened", "stale_at_hand_over", slot)
                .with("tokens", token_count)
                .with("trainer_version", self.ledger.trainer_version());
            self.actions.push_back(Action::Decide(decision));
        }
    }

    pub(super) fn is_fresh(&self, sample: &Sample) -> bool {
        if !self.config.checks.staleness_at_hand_over {
            return true;
        }
        let trainer_version = self.ledger.trainer_version();
        self.ledger.staleness_bound().check_spans(&sample.spans, trainer_version).is_ok()
    }

    pub(super) fn hand_over(&mut self, max_samples: u32) {
        if self.ledger.unsaved_batch().is_some() {
            return;
        }
        let mut tokens = 0;
        let fits = |sample: &&Sample| {
            tokens += sample.tokens.len();
            tokens <= self.config.max_batch_tokens.max(sample.tokens.len())
        };
        let ready = self.ledger.ready().take(max_samples as usize);
        let slots: Vec<Slot> = ready.take_while(fits).map(|sample| sample.slot).collect();
        if !slots.is_empty() {
            self.propose_valid(JobRecord::HandedOver { slots });
        }
    }

    pub(super) fn pull_response(&self, request: &PullRequest) -> PullResponse {
        let finished = self.ledger.is_finished();
        let Some((start, samples)) = self.ledger.unsaved_batch() else {
            return PullResponse { samples: Vec::new(), next_cursor: request.cursor, finished };
        };
        let samples: Vec<Sample> = samples.into_iter().take(request.max_samples as usize).cloned().collect();
        let next_cursor = match samples.len() {
            0 => request.cursor,
            count => start + count as u64,
        };
        PullResponse { samples, next_cursor, finished }
    }
}
