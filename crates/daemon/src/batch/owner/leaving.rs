//! How an owner finds out that it has to leave the batch jobs, and leaves them.

use std::time::Duration;

use lichenpulley_core::batch::cut_off::{CutOffStep, StoresReply};
use lichenpulley_protocol::internal::BatchResponse;
use tokio::time::Instant;

use super::Owner;
use crate::batch::candidate;

/// An owner to which no store has answered for so long asks whether any can be reached, and leaves if not.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// How long an owner that leaves waits for the stores to keep its progress.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// A much more capable node is left the batch jobs once it has been seen for so long.
const LEAVE_AFTER: Duration = Duration::from_millis(2_000);

impl Owner {
    /// Has the stores keep all progress, within bounds.
    pub(super) async fn flush(&mut self) {
        self.controller.set_confirmed(false);
        self.controller.flush_progress(self.now());
        self.act();
        let limit = Instant::now() + FLUSH_TIMEOUT;
        while !self.controller.is_settled() && self.failure.is_none() {
            match tokio::time::timeout_at(limit, self.log.next()).await {
                Ok(written) => self.handle_written(written),
                Err(_) => return,
            }
            self.act();
        }
    }

    /// Whether a machine that is much more capable has been there for long enough to own in this one's place.
    ///
    /// Ownership is sticky otherwise: machines that are alike never take it from each other.
    pub(super) fn should_leave(&mut self) -> bool {
        let own = self.context.settings.machine.capacity();
        let better =
            candidate::best_other(&self.scope).filter(|other| own.is_worth_leaving_for(other.capacity));
        let Some(better) = better else {
            self.better = None;
            return false;
        };
        let (node, since) = self.better.get_or_insert_with(|| (better.node.clone(), Instant::now()));
        if *node != better.node {
            self.better = Some((better.node, Instant::now()));
            return false;
        }
        let is_due = since.elapsed() >= LEAVE_AFTER && self.is_confirmed();
        if is_due {
            ::log::info!(target: "batch", "The batch jobs are left to {} ({} against {own}).", better.node, better.capacity);
        }
        is_due
    }

    /// Asks the stores where none has answered for long. While a store is replaced, they answer to the signs of life.
    pub(super) fn watch_silence(&mut self) {
        let is_unconfirmed = self.clock.since(self.confirmed_at) >= CUT_OFF_AFTER;
        let is_silent = is_unconfirmed && self.log.silent_for() >= CUT_OFF_AFTER;
        if self.cut_off.look(is_silent) != CutOffStep::Ask {
            return;
        }
        let (scope, replies) = (self.scope.clone(), self.stores_asked.clone());
        tokio::spawn(async move {
            let began = Instant::now();
            let answered = candidate::ask_stores(&scope).await.answered();
            let reply = StoresReply { answered, took: began.elapsed(), timeout: candidate::STORE_TIMEOUT };
            // An error only says that the owner has ended.
            let _ = replies.send(reply);
        });
    }

    /// Ends all that is under way.
    pub(super) fn finish(mut self) {
        self.context.metrics.set_batch_items(self.scope.metric_label(), 0, 0);
        if let Some(error) = &self.failure {
            ::log::warn!(target: "batch", "The batch jobs are given up: {error}.");
        }
        let runs = self.runs.drain().map(|(_, handle)| handle);
        let scores = self.scores.drain().map(|(_, handle)| handle);
        runs.chain(scores).for_each(|handle| handle.abort());
        let waiting = self.submissions.drain(..).chain(self.ends.drain(..));
        let waiting = waiting.map(|(_, command)| command);
        for command in waiting.chain(self.usages.drain(..).map(|(_, _, command)| command)) {
            command.answer(BatchResponse::InDoubt);
        }
        for reader in self.readers.drain(..) {
            reader.command.answer(BatchResponse::Unavailable);
        }
    }
}
