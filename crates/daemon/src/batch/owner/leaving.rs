//! Orderly end of an ownership: flushing progress and stopping all work.
//!
//! `core::batch::leaving` decides when to leave for a more capable node, `core::batch::cut_off` when no store
//! can be reached.

use std::time::Duration;

use tokio::time::Instant;

use super::Owner;
use crate::ownership::order;
use crate::store::log_writer::AppendOutcome;

/// How long an owner that leaves waits until its progress is committed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

impl Owner {
    /// Appends all progress and waits until it is committed, up to [`FLUSH_TIMEOUT`].
    pub(super) async fn flush(&mut self) {
        self.is_leaving = true;
        self.controller.flush_progress(self.now());
        self.execute_actions();
        let limit = Instant::now() + FLUSH_TIMEOUT;
        while !self.controller.is_settled() && self.failure.is_none() {
            match tokio::time::timeout_at(limit, self.stores.log.next()).await {
                // Declined by being dropped: a snapshot would delay the flush.
                Ok(AppendOutcome::SnapshotDue(_)) => {}
                Ok(outcome) => self.handle_append(outcome),
                Err(_) => return,
            }
            self.execute_actions();
        }
    }

    /// Returns whether a much more capable machine has been available for long enough to own the shard
    /// instead.
    pub(super) fn should_leave(&mut self) -> bool {
        let own = self.context.settings.machine.capacity();
        let better =
            order::preferred_successor(&self.scope).filter(|other| own.justifies_move_to(other.capacity));
        let node = better.as_ref().map(|better| &better.node);
        let is_due = self.leave_monitor.poll(node, self.stores.is_confirmed(), self.now());
        if let Some(better) = better.filter(|_| is_due) {
            ::log::info!(target: "batch", "Leaving the batch jobs to {}, whose capacity is {}; this node's is {own}.", better.node, better.capacity);
        }
        is_due
    }

    /// Stops all runs and score requests, and answers all waiting callers.
    pub(super) fn stop_all_work(mut self) {
        self.context.metrics.set_batch_items(self.scope.metric_label(), 0, 0);
        self.clear_queue_metrics();
        if let Some(error) = &self.failure {
            ::log::warn!(target: "batch", "The batch jobs are given up: {error}.");
        }
        self.running.stop_all();
        self.callers.close();
    }
}
