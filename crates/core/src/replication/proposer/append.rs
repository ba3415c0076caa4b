//! Appending records, the next replica set and snapshots as the leader, and detecting when entries are
//! decided.
//!
//! Invariant: a position is reported as decided only once a majority has its entry on disk.

use super::{AppendError, Phase, Proposer, ProposerEvent};
use crate::replication::entry::{ENTRY_OVERHEAD_BYTES, LogIndex, Payload};
use crate::replication::log::SNAPSHOT_PART_BYTES;
use crate::replication::member_progress::MemberProgress;
use crate::replication::quorum::majority;
use crate::replication::replica_set::{ReplicaSet, StoreId};
use crate::replication::snapshot_parts::SnapshotParts;
use crate::replication::window::SendWindow;

/// Maximum size of the undecided parts of a snapshot, in bytes. Each decided part confirms the owner from the time at
/// which it was appended, so it must not wait behind many others.
const SNAPSHOT_IN_FLIGHT_BYTES: usize = 512 << 10;

/// The positions that replicas may remove.
#[derive(Default)]
pub(super) struct Truncation {
    /// Positions before this one are covered by a decided snapshot.
    pub(super) before: LogIndex,
    /// The positions of the first and last parts of a snapshot that is not decided yet.
    pub(super) pending: Option<(LogIndex, LogIndex)>,
}

impl Proposer {
    /// Appends records. They are decided once [`ProposerEvent::Decided`] reaches the returned position.
    ///
    /// # Errors
    /// When the proposer does not lead, appends a snapshot or the disks are full. Nothing is sent then.
    pub fn append(&mut self, records: Vec<Vec<u8>>) -> Result<LogIndex, AppendError> {
        self.check_ready()?;
        if !self.has_room(&records) {
            return Err(AppendError::DiskFull);
        }
        self.append_to_reserve(records)
    }

    /// Appends records also where only the space that is reserved for snapshots is left. For records without which
    /// the owner can't go on.
    ///
    /// # Errors
    /// When the proposer does not lead or appends a snapshot. Nothing is sent then.
    pub fn append_to_reserve(&mut self, records: Vec<Vec<u8>>) -> Result<LogIndex, AppendError> {
        self.check_ready()?;
        for record in records {
            self.window.push(Payload::Record { origin: self.ballot.epoch, bytes: record });
        }
        Ok(self.window.last())
    }

    /// Returns whether a majority of the replicas has space for records, without the reserved space.
    pub fn has_room(&self, records: &[Vec<u8>]) -> bool {
        let bytes: usize = records.iter().map(|record| record.len() + ENTRY_OVERHEAD_BYTES).sum();
        self.free_bytes().is_none_or(|free_bytes| free_bytes >= bytes as u64)
    }

    /// Returns the space for records that a majority of the replicas has, or `None` if too few have reported theirs.
    pub fn free_bytes(&self) -> Option<u64> {
        let mut free: Vec<u64> = self.members.values().filter_map(MemberProgress::free_bytes).collect();
        free.sort_unstable_by(|left, right| right.cmp(left));
        free.get(majority(self.members.len()) - 1).copied()
    }

    /// Appends the next replica set. Once it is decided, no other set can become the next generation, and the
    /// reconfiguration may begin. The owner must append nothing more until [`Self::continue_in`].
    ///
    /// # Errors
    /// When the proposer does not lead or appends a snapshot.
    pub fn append_next_set(&mut self, set: ReplicaSet) -> Result<LogIndex, AppendError> {
        self.check_ready()?;
        self.window.push(Payload::NextSet { origin: self.ballot.epoch, set });
        Ok(self.window.last())
    }

    /// Switches to the next set under the same ballot. A majority of the next set must be installed. Returns
    /// the position of a no-op entry; once it is decided, this owner is known not to have been superseded,
    /// since no other owner can get an entry decided before it under a lower ballot.
    ///
    /// Invariant: nothing was appended after the entry with the next set, so no position gets two entries
    /// under this ballot, and this owner knows every entry that the old set decided. If a majority of the old
    /// set has promised a later owner's ballot, every installed member knows that ballot and refuses this
    /// owner.
    ///
    /// # Errors
    /// When the proposer does not lead, or an appended entry is not decided yet.
    pub fn continue_in(&mut self, next: ReplicaSet) -> Result<LogIndex, AppendError> {
        self.check_ready()?;
        if self.window.last() > self.decided_through {
            return Err(AppendError::Undecided);
        }
        let known = self.decided_through;
        let current_progress = |store: &StoreId| self.members.get(store);
        let members = next.members.iter().map(|member| {
            let progress = current_progress(&member.store)
                .map_or_else(MemberProgress::default, MemberProgress::in_next_set);
            (member.store.clone(), progress)
        });
        self.members = members.collect();
        self.set = next;
        if !self.checks.keep_ballot {
            self.known.through = known;
            self.phase = Phase::Preparing { epoch_raises: 0 };
            return Ok(known.next());
        }
        for member in self.members.values_mut() {
            member.set_accepted_through(known);
        }
        self.window = SendWindow::starting_after(known);
        self.window.push(Payload::Noop);
        Ok(self.window.last())
    }

    /// Appends a snapshot that replaces all earlier entries. They are removed once it is decided, which is when
    /// [`ProposerEvent::Decided`] reaches the returned position. Its parts are appended as earlier ones are decided;
    /// nothing else can be appended until the last one is.
    ///
    /// # Errors
    /// When the proposer does not lead, or appends another snapshot. A full disk is not an error here, since space is
    /// reserved for snapshots.
    pub fn compact(&mut self, snapshot: Vec<u8>) -> Result<LogIndex, AppendError> {
        self.check_ready()?;
        let part_bytes = SNAPSHOT_PART_BYTES.min(self.config.maximum_batch_bytes);
        let parts = SnapshotParts::new(snapshot, part_bytes, self.ballot.epoch);
        let before = self.window.last();
        let last = LogIndex(before.0 + u64::from(parts.total()));
        self.truncation.pending = Some((before.next(), last));
        self.snapshot = Some(parts);
        self.push_snapshot_parts();
        Ok(last)
    }

    /// Returns the last appended position.
    pub fn last_index(&self) -> LogIndex {
        self.window.last()
    }

    /// Appends parts of the snapshot up to [`SNAPSHOT_IN_FLIGHT_BYTES`], but at least one. Invariant: the parts are
    /// consecutive entries.
    fn push_snapshot_parts(&mut self) {
        while let Some(parts) = &mut self.snapshot {
            let undecided = self.window.last().0.saturating_sub(self.decided_through.0);
            let undecided_bytes = (undecided as usize).saturating_mul(parts.part_bytes());
            if undecided > 0 && undecided_bytes + parts.part_bytes() > SNAPSHOT_IN_FLIGHT_BYTES {
                return;
            }
            if let Some(part) = parts.next() {
                self.window.push(part);
            }
            if parts.is_empty() {
                self.snapshot = None;
            }
        }
    }

    /// Checks that entries can be appended: the proposer leads, and no part of a snapshot is still to be appended.
    fn check_ready(&self) -> Result<(), AppendError> {
        self.check_leading()?;
        if self.snapshot.is_some() { Err(AppendError::Undecided) } else { Ok(()) }
    }

    fn check_leading(&self) -> Result<(), AppendError> {
        match self.phase {
            Phase::Leading => Ok(()),
            _ => Err(AppendError::NotLeading),
        }
    }

    pub(super) fn handle_accept(&mut self) {
        let mut accepted: Vec<LogIndex> =
            self.members.values().map(MemberProgress::accepted_through).collect();
        accepted.sort_unstable_by(|left, right| right.cmp(left));
        let needed = if self.checks.wait_for_majority { majority(accepted.len()) } else { 1 };
        let decided = accepted[needed - 1];
        if decided > self.decided_through {
            self.decided_through = decided;
            self.advance_truncation();
            self.finish_confirming();
            self.push_snapshot_parts();
            self.events.push_back(ProposerEvent::Decided(decided));
        }
        let accepted_by_all = accepted.last().copied().unwrap_or_default();
        self.window.release(accepted_by_all, self.decided_through, self.config.window_bytes);
    }

    fn advance_truncation(&mut self) {
        let Some((first, last)) = self.truncation.pending else { return };
        if last <= self.decided_through {
            self.truncation.before = first;
            self.truncation.pending = None;
        }
    }
}
