//! Runs a change of replica set, for whoever met one: an owner, a claimant or the operator.

use std::time::Duration;

use lichenpulley_core::replication::message::{ReplicaResponse, TransferId};
use lichenpulley_core::replication::reconfigurer::{
    ChangeOwner, Reconfigurer, ReconfigurerChecks, ReconfigurerEvent,
};
use lichenpulley_core::replication::replica_set::ReplicaSet;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::Outbox;

use super::message::Message;
use super::{RETRANSMIT_AFTER, transmit};

/// A change is given up after this time; it can be taken up again.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A change under way.
pub(super) struct Change {
    reconfigurer: Reconfigurer,
    sets: [ReplicaSet; 2],
    deadline: Timestamp,
    installed: bool,
}

/// How a change ended.
pub(super) enum ChangeEnd {
    /// This set is in force.
    InForce(ReplicaSet),
    /// Time ran out, or the owner for whom it was run was superseded.
    GivenUp,
}

impl Change {
    pub(super) fn new(
        old: &ReplicaSet,
        next: &ReplicaSet,
        transfer: String,
        checks: ReconfigurerChecks,
        now: Timestamp,
    ) -> Self {
        let (from, to) = (old.clone(), next.clone());
        let reconfigurer = Reconfigurer::new(from, to, TransferId(transfer), RETRANSMIT_AFTER);
        Self::run(reconfigurer.with_checks(checks), [old.clone(), next.clone()], now)
    }

    /// The same for the log's owner.
    pub(super) fn with_owner(self, owner: ChangeOwner) -> Self {
        Self { reconfigurer: self.reconfigurer.with_owner(owner), ..self }
    }

    pub(super) fn catch_up(set: &ReplicaSet, transfer: String, now: Timestamp) -> Self {
        let reconfigurer = Reconfigurer::catch_up(set.clone(), TransferId(transfer), RETRANSMIT_AFTER);
        Self::run(reconfigurer, [set.clone(), set.clone()], now)
    }

    fn run(reconfigurer: Reconfigurer, sets: [ReplicaSet; 2], now: Timestamp) -> Self {
        Self { reconfigurer, sets, deadline: now + CHANGE_TIMEOUT, installed: false }
    }

    pub(super) fn next_wake(&self) -> Timestamp {
        self.reconfigurer.poll_timeout().map_or(self.deadline, |at| at.min(self.deadline))
    }

    pub(super) fn step(&mut self, response: ReplicaResponse) {
        self.reconfigurer.step(response);
    }

    /// Sends what is due; tells when a majority is installed, or all with `all`.
    pub(super) fn advance(
        &mut self,
        now: Timestamp,
        all: bool,
        outbox: &mut Outbox<Message>,
    ) -> Option<ChangeEnd> {
        while let Some(event) = self.reconfigurer.poll_event() {
            let next = self.sets[1].clone();
            match event {
                ReconfigurerEvent::Installed if !all => {
                    return Some(ChangeEnd::InForce(next));
                }
                ReconfigurerEvent::Installed => self.installed = true,
                ReconfigurerEvent::Complete => return Some(ChangeEnd::InForce(next)),
                ReconfigurerEvent::AlreadyReplaced(set) => {
                    return Some(ChangeEnd::InForce(set));
                }
                ReconfigurerEvent::Superseded { .. } => return Some(ChangeEnd::GivenUp),
            }
        }
        if now >= self.deadline {
            let set = self.sets[1].clone();
            let in_force = ChangeEnd::InForce(set);
            return Some(if self.installed { in_force } else { ChangeEnd::GivenUp });
        }
        while let Some(request) = self.reconfigurer.poll_transmit(now) {
            transmit(&self.sets, request, outbox);
        }
        None
    }
}
