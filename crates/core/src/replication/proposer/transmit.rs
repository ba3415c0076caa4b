//! What to ask of which member next: one request at a time for each, sent again after a pause.
//!
//! Decides by the phase of the proposer and by what [`MemberProgress`] knows of the member. It changes nothing but the
//! times of the members.

use super::{Phase, Proposer, Transmit};
use crate::replication::member_progress::MemberProgress;
use crate::replication::message::{Accept, Operation, Read, ReplicaRequest};
use crate::replication::replica_set::{Generation, StoreId};
use crate::time::Timestamp;

impl Proposer {
    /// The next request to send.
    pub fn poll_transmit(&mut self, now: Timestamp) -> Option<Transmit> {
        let (to, operation) = self.next_operation(now)?;
        let retry_at = now + self.config.retransmit_after;
        if let Some(member) = self.members.get_mut(&to) {
            member.sent(retry_at);
        }
        let (shard, generation) = (self.set.shard.clone(), self.set.generation);
        let request = ReplicaRequest { shard, generation, store: to.clone(), operation };
        Some(Transmit { to, request })
    }

    /// What to ask whom. A member that is due and of whom nothing is wanted has no time-out any more.
    fn next_operation(&mut self, now: Timestamp) -> Option<(StoreId, Operation)> {
        let due = self.members.iter().filter(|(_, member)| member.may_send(now));
        let due: Vec<StoreId> = due.map(|(store, _)| store.clone()).collect();
        for store in due {
            let wanted = self.members.get(&store).and_then(|member| self.wanted(&store, member));
            match wanted {
                Some(operation) => return Some((store, operation)),
                None => self.member(&store, MemberProgress::idle),
            }
        }
        None
    }

    /// What a member should be asked next.
    fn wanted(&self, store: &StoreId, member: &MemberProgress) -> Option<Operation> {
        if matches!(self.phase, Phase::Ended) {
            return None;
        }
        if member.must_begin() && self.may_begin() {
            return Some(Operation::Begin(self.set.clone()));
        }
        match &self.phase {
            Phase::Preparing { .. } => {
                (!member.has_promised()).then(|| Operation::Prepare(self.ballot.clone()))
            }
            Phase::Reading(recovery) if member.has_promised() => {
                let from = recovery.next_read(store)?;
                Some(Operation::Read(Read { ballot: self.ballot.clone(), from }))
            }
            Phase::Reading(_) => Some(Operation::Prepare(self.ballot.clone())),
            Phase::Confirming { .. } | Phase::Leading => self.wanted_accept(member),
            Phase::Ended => None,
        }
    }

    /// Members of a later generation may begin only once a majority has: that it promised shows that it has.
    pub(super) fn may_begin(&self) -> bool {
        self.set.generation == Generation::FIRST || !matches!(self.phase, Phase::Preparing { .. })
    }

    fn wanted_accept(&self, member: &MemberProgress) -> Option<Operation> {
        let from = self.window.first_after(member.accepted_through());
        let payloads = self.window.payloads(from, self.config.maximum_batch_bytes);
        if payloads.is_empty() && !member.must_truncate(self.truncation.before) {
            return None;
        }
        Some(Operation::Accept(Accept {
            ballot: self.ballot.clone(),
            from,
            payloads,
            decided_through: self.decided_through,
            truncate_before: self.truncation.before,
        }))
    }
}
