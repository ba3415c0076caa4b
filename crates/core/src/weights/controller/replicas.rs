//! Orders the roles of replicas and polls their reports.

use crate::identity::ReplicaId;
use crate::time::Timestamp;
use crate::weights::replica::ReplicaState;

use super::{Action, OrderCommand, WeightsController};

impl WeightsController {
    /// Orders each role until the replica reports it, since the replica may have restarted or the order may
    /// have been lost.
    pub(super) fn order_roles(&mut self) {
        for (replica, state) in &mut self.replicas {
            let draining = self.ledger.draining.contains(replica);
            let reported = state.report.is_some_and(|report| report.draining);
            if draining == reported || state.role_ordered {
                continue;
            }
            state.role_ordered = true;
            let command = OrderCommand::ChangeRole { draining };
            self.pending_actions.push(Action::Order { replica: replica.clone(), command });
        }
        self.release_if_committed();
    }

    pub(super) fn poll_due_replicas(&mut self, now: Timestamp) {
        let is_due = |(replica, state): &(&ReplicaId, &ReplicaState)| {
            self.next_poll(replica, state).is_some_and(|at| at <= now)
        };
        let due: Vec<ReplicaId> =
            self.replicas.iter().filter(is_due).map(|(replica, _)| replica.clone()).collect();
        for replica in due {
            if let Some(state) = self.replicas.get_mut(&replica) {
                state.polled_at = Some(now);
            }
            self.actions.push_back(Action::Poll(replica));
        }
    }

    pub(super) fn next_poll(&self, replica: &ReplicaId, state: &ReplicaState) -> Option<Timestamp> {
        let polled_at = state.polled_at.unwrap_or(Timestamp::ORIGIN);
        let interval = if self.ledger.ordered.contains(replica) {
            self.config.poll_interval
        } else {
            self.config.sweep_interval
        };
        Some(if state.polled_at.is_none() { polled_at } else { polled_at + interval })
    }
}
