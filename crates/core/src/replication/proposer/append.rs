//! What an owner that leads appends: records, the set that follows, snapshots; and when it is decided.
//!
//! Invariant: a position is called decided only once a majority has it on disk.

use super::{AppendError, Phase, Proposer, ProposerEvent};
use crate::replication::entry::{ENTRY_OVERHEAD_BYTES, LogIndex, Payload};
use crate::replication::log::split_snapshot;
use crate::replication::member_progress::MemberProgress;
use crate::replication::quorum::majority;
use crate::replication::replica_set::{ReplicaSet, StoreId};
use crate::replication::window::Window;

/// Positions to be dropped.
#[derive(Default)]
pub(super) struct Truncation {
    /// Covered by a decided snapshot.
    pub(super) before: LogIndex,
    /// Covered by a snapshot that is not decided yet: the positions of its first and last parts.
    pub(super) pending: Option<(LogIndex, LogIndex)>,
}

impl Proposer {
    /// Appends records; they are decided once [`ProposerEvent::Decided`] reaches the returned position.
    ///
    /// # Errors
    /// When the proposer does not lead or the disks are full; nothing was sent then.
    pub fn append(&mut self, records: Vec<Vec<u8>>) -> Result<LogIndex, AppendError> {
        self.check_leading()?;
        let bytes: usize = records.iter().map(|record| record.len() + ENTRY_OVERHEAD_BYTES).sum();
        let with_room = self.members.values().filter(|member| member.has_room(bytes as u64)).count();
        if with_room < majority(self.members.len()) {
            return Err(AppendError::DiskFull);
        }
        for record in records {
            self.window.push(Payload::Record { origin: self.ballot.epoch, bytes: record });
        }
        Ok(self.window.last())
    }

    /// Appends the members that are to follow. Once that is decided, this set and no other is the next generation, and
    /// the change may begin; the owner appends nothing after it until it goes on in that set ([`Self::continue_in`]).
    ///
    /// # Errors
    /// When the proposer does not lead.
    pub fn append_next_set(&mut self, set: ReplicaSet) -> Result<LogIndex, AppendError> {
        self.check_leading()?;
        self.window.push(Payload::NextSet { origin: self.ballot.epoch, set });
        Ok(self.window.last())
    }

    /// Goes on in the next set, a majority of which is installed, under the same ballot. Gives the position whose decision
    /// shows that this owner was not superseded: nobody else can get anything decided before it under a lower ballot.
    ///
    /// Invariant: nothing was appended after the entry that names the next set, so that no position gets two entries under
    /// this ballot, and all that the old set decided is known here. A later owner that a majority of the old set has
    /// promised is known to every installed member, which then refuses this one.
    ///
    /// # Errors
    /// When the proposer does not lead, or something that it appended is not decided.
    pub fn continue_in(&mut self, next: ReplicaSet) -> Result<LogIndex, AppendError> {
        self.check_leading()?;
        if self.window.last() > self.decided_through {
            return Err(AppendError::Undecided);
        }
        let known = self.decided_through;
        let stays = |store: &StoreId| self.members.get(store);
        let members = next.members.iter().map(|member| {
            let progress =
                stays(&member.store).map_or_else(MemberProgress::default, MemberProgress::in_next_set);
            (member.store.clone(), progress)
        });
        self.members = members.collect();
        self.set = next;
        if !self.checks.keep_ballot {
            self.known.through = known;
            self.phase = Phase::Preparing { raises: 0 };
            return Ok(known.next());
        }
        for member in self.members.values_mut() {
            member.start_from(known);
        }
        self.window = Window::starting_after(known);
        self.window.push(Payload::Noop);
        Ok(self.window.last())
    }

    /// Appends a snapshot that stands for everything appended before, which is dropped once it is decided.
    ///
    /// # Errors
    /// When the proposer does not lead. A full disk is no hindrance: room is kept back for snapshots.
    pub fn compact(&mut self, snapshot: &[u8]) -> Result<LogIndex, AppendError> {
        self.check_leading()?;
        let first = self.window.last().next();
        for part in split_snapshot(snapshot, self.config.maximum_batch_bytes, self.ballot.epoch) {
            self.window.push(part);
        }
        self.truncation.pending = Some((first, self.window.last()));
        Ok(self.window.last())
    }

    fn check_leading(&self) -> Result<(), AppendError> {
        match self.phase {
            Phase::Leading => Ok(()),
            _ => Err(AppendError::NotLeading),
        }
    }

    pub(super) fn after_accept(&mut self) {
        let mut accepted: Vec<LogIndex> =
            self.members.values().map(MemberProgress::accepted_through).collect();
        accepted.sort_unstable_by(|left, right| right.cmp(left));
        let needed = if self.checks.wait_for_majority { majority(accepted.len()) } else { 1 };
        let decided = accepted[needed - 1];
        if decided > self.decided_through {
            self.decided_through = decided;
            self.advance_truncation();
            self.finish_confirming();
            self.events.push_back(ProposerEvent::Decided(decided));
        }
        let everywhere = accepted.last().copied().unwrap_or_default();
        self.window.release(everywhere, self.decided_through, self.config.window_bytes);
    }

    fn advance_truncation(&mut self) {
        let Some((first, last)) = self.truncation.pending else { return };
        if last <= self.decided_through {
            self.truncation.before = first;
            self.truncation.pending = None;
        }
    }
}
