//! Selecting the next request to each member, from the proposer's phase and the member's [`MemberProgress`].
//!
//! Each member has at most one outstanding request, which is sent again after a time-out. Only the retry
//! times of members are changed here.

use super::{Phase, Proposer, Transmit, transfer_time};
use crate::replication::member_progress::MemberProgress;
use crate::replication::message::{Accept, Operation, Read, ReplicaRequest};
use crate::replication::replica_set::{Generation, StoreId};
use crate::time::Timestamp;

impl Proposer {
    /// Returns the next request to send.
    pub fn poll_transmit(&mut self, now: Timestamp) -> Option<Transmit> {
        let (to, operation) = self.next_operation(now)?;
        let retry_at = now + self.config.retransmit_after + transfer_time(operation.payload_bytes());
        if let Some(member) = self.members.get_mut(&to) {
            member.mark_sent(retry_at);
        }
        let (shard, generation) = (self.set.shard.clone(), self.set.generation);
        let request = ReplicaRequest { shard, generation, store: to.clone(), operation };
        Some(Transmit { to, request })
    }

    /// Returns the next operation and its receiver. Clears the retry time of due members that need no
    /// request.
    fn next_operation(&mut self, now: Timestamp) -> Option<(StoreId, Operation)> {
        let due = self.members.iter().filter(|(_, member)| member.may_send(now));
        let due: Vec<StoreId> = due.map(|(store, _)| store.clone()).collect();
        for store in due {
            let next = self.members.get(&store).and_then(|member| self.operation_for(&store, member));
            match next {
                Some(operation) => return Some((store, operation)),
                None => self.update_member(&store, MemberProgress::clear_retry),
            }
        }
        None
    }

    /// Returns the next operation for a member.
    fn operation_for(&self, store: &StoreId, member: &MemberProgress) -> Option<Operation> {
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
            Phase::Confirming { .. } | Phase::Leading => self.next_accept(member),
            Phase::Ended => None,
        }
    }

    /// Returns whether members may begin. In a later generation this requires that a majority is installed,
    /// which its promises show.
    pub(super) fn may_begin(&self) -> bool {
        self.set.generation == Generation::FIRST || !matches!(self.phase, Phase::Preparing { .. })
    }

    fn next_accept(&self, member: &MemberProgress) -> Option<Operation> {
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
