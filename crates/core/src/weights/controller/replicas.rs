//! The role of each replica, and when it is asked for its report.

use crate::identity::ReplicaId;
use crate::time::Timestamp;
use crate::weights::replica::ReplicaState;

use super::{Action, OrderCommand, WeightsController};

impl WeightsController {
    /// A role is ordered again until the replica reports it: it may have restarted, or the order was lost.
    pub(super) fn order_roles(&mut self) {
        for (replica, state) in &mut self.replicas {
            let draining = self.ledger.draining.contains(replica);
            let reported = state.report.is_some_and(|report| report.draining);
            if draining == reported || state.role_ordered {
                continue;
            }
            state.role_ordered = true;
            let command = OrderCommand::ChangeRole { draining };
            self.held.push(Action::Order { replica: replica.clone(), command });
        }
        self.release_when_settled();
    }

    pub(super) fn ask_due(&mut self, now: Timestamp) {
        let is_due = |(replica, state): &(&ReplicaId, &ReplicaState)| {
            self.next_ask(replica, state).is_some_and(|at| at <= now)
        };
        let due: Vec<ReplicaId> =
            self.replicas.iter().filter(is_due).map(|(replica, _)| replica.clone()).collect();
        for replica in due {
            if let Some(state) = self.replicas.get_mut(&replica) {
                state.asked_at = Some(now);
            }
            self.actions.push_back(Action::Poll(replica));
        }
    }

    pub(super) fn next_ask(&self, replica: &ReplicaId, state: &ReplicaState) -> Option<Timestamp> {
        let asked_at = state.asked_at.unwrap_or(Timestamp::ORIGIN);
        let interval = if self.ledger.ordered.contains(replica) {
            self.config.poll_interval
        } else {
            self.config.sweep_interval
        };
        Some(if state.asked_at.is_none() { asked_at } else { asked_at + interval })
    }
}
