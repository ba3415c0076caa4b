//! Selects the replicas that are ordered to load the published version, and repeats or expires their orders.
//!
//! [`WaveConfig`](crate::weights::WaveConfig) limits the concurrent loads, to share the weight store's rate
//! and to leave enough of the pool serving. The limit holds across owners, since the ordered replicas are in
//! the log.

use crate::identity::ReplicaId;
use crate::time::Timestamp;
use crate::weights::ledger::WeightsRecord;

use super::{Action, OrderCommand, WeightsController};

impl WeightsController {
    /// Expires the orders that were not confirmed in time: the swap failed, the order was lost, or the
    /// replica crashed. The replica may still be fetching, but its share of the store's rate is no longer
    /// reserved.
    pub(super) fn expire_orders(&mut self, now: Timestamp) {
        let timeout = self.config.load_timeout;
        let is_expired = |replica: &&ReplicaId| {
            let ordered_at = self.replicas.get(*replica).and_then(|state| state.ordered_at);
            ordered_at.is_some_and(|at| now.saturating_since(at) >= timeout)
        };
        let expired: Vec<ReplicaId> = self.ledger.ordered.iter().filter(is_expired).cloned().collect();
        if expired.is_empty() {
            return;
        }
        for replica in &expired {
            self.decide("reordered", "load_timeout", replica);
            if let Some(state) = self.replicas.get_mut(replica) {
                state.failures += 1;
            }
        }
        self.propose(WeightsRecord::Cleared(expired));
    }

    /// Repeats unconfirmed orders, at once after a takeover or a publication and then at an interval. The
    /// replica stays `ordered`, so the limit on concurrent loads still holds.
    pub(super) fn repeat_orders(&mut self, now: Timestamp) {
        let Some(target) = self.ledger.target else { return };
        let interval = self.config.order_interval;
        let mut due = Vec::new();
        for replica in &self.ledger.ordered {
            let Some(state) = self.replicas.get_mut(replica) else { continue };
            if state.last_order_at.is_some_and(|at| now.saturating_since(at) < interval) {
                continue;
            }
            if state.last_order_at.is_none() {
                state.ordered_at = Some(now);
            }
            state.last_order_at = Some(now);
            due.push(replica.clone());
        }
        for replica in due {
            self.send_after_commit(replica, OrderCommand::LoadWeights(target));
        }
        self.release_if_committed();
    }

    /// Sends an order once everything proposed so far is committed.
    fn send_after_commit(&mut self, replica: ReplicaId, command: OrderCommand) {
        let order = Action::Order { replica, command };
        if self.config.commit_before_order {
            self.pending_actions.push(order);
        } else {
            self.actions.push_back(order);
        }
    }

    pub(super) fn order_next_wave(&mut self, now: Timestamp) {
        let Some(target) = self.ledger.target else { return };
        let limit = self.config.loading_limit(self.replicas.len());
        let free = limit.saturating_sub(self.ledger.ordered.len());
        if free == 0 {
            return;
        }
        let mut waiting: Vec<(u32, &ReplicaId)> = self
            .replicas
            .iter()
            .filter(|(replica, _)| self.needs_order(replica))
            .map(|(replica, state)| (state.failures, replica))
            .collect();
        // Replicas with fewer failures come first.
        waiting.sort();
        let wave: Vec<ReplicaId> =
            waiting.into_iter().take(free).map(|(_, replica)| replica.clone()).collect();
        if wave.is_empty() {
            return;
        }
        for replica in &wave {
            if let Some(state) = self.replicas.get_mut(replica) {
                state.ordered_at = Some(now);
                state.last_order_at = Some(now);
                state.polled_at = Some(now);
            }
            self.send_after_commit(replica.clone(), OrderCommand::LoadWeights(target));
            self.decide("ordered", "wave", replica);
        }
        self.propose(WeightsRecord::Ordered(wave));
    }

    fn needs_order(&self, replica: &ReplicaId) -> bool {
        !self.ledger.ordered.contains(replica) && !self.ledger.confirmed.contains(replica)
    }
}
