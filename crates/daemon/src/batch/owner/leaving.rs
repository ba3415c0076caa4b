//! How an owner leaves the batch jobs.
//!
//! When it leaves is decided in `core::batch::leaving` (a more capable node) and `core::batch::cut_off` (no
//! store answers).

use std::time::Duration;

use tokio::time::Instant;

use super::Owner;
use crate::ownership::order;

/// How long an owner that leaves waits for the stores to keep its progress. Chosen, not measured: shorter,
/// and runs begin again further back; longer, and nobody works meanwhile.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

impl Owner {
    /// Has the stores keep all progress, within bounds.
    pub(super) async fn flush(&mut self) {
        self.controller.set_confirmed(false);
        self.controller.flush_progress(self.now());
        self.execute_actions();
        let limit = Instant::now() + FLUSH_TIMEOUT;
        while !self.controller.is_settled() && self.failure.is_none() {
            match tokio::time::timeout_at(limit, self.stores.log.next()).await {
                Ok(outcome) => self.handle_append(outcome),
                Err(_) => return,
            }
            self.execute_actions();
        }
    }

    /// Whether a machine that is much more capable has been there for long enough to own in this one's place.
    pub(super) fn should_leave(&mut self) -> bool {
        let own = self.context.settings.machine.capacity();
        let better = order::best_other(&self.scope).filter(|other| own.is_worth_leaving_for(other.capacity));
        let node = better.as_ref().map(|better| &better.node);
        let is_due = self.leave_monitor.poll(node, self.stores.is_confirmed(), self.now());
        if let Some(better) = better.filter(|_| is_due) {
            ::log::info!(target: "batch", "The batch jobs are left to {} ({} against {own}).", better.node, better.capacity);
        }
        is_due
    }

    /// Ends all that is under way.
    pub(super) fn stop_all_work(mut self) {
        self.context.metrics.set_batch_items(self.scope.metric_label(), 0, 0);
        if let Some(error) = &self.failure {
            ::log::warn!(target: "batch", "The batch jobs are given up: {error}.");
        }
        self.running.stop_all();
        self.callers.close();
    }
}
