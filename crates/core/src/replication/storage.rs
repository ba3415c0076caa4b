//! What an acceptor needs of its disk.
//!
//! The contract between the acceptor and a disk: one transaction for each answer, synced before the answer
//! leaves.

use super::claims::ClaimRecord;
use super::entry::{Entry, IndexedEntry, LogIndex};
use super::group::GroupRecord;
use super::message::ClaimedRequest;
use crate::identity::{RequestId, ShardId};

/// One transaction on a store's disk. The driver commits it, synced, before it sends the acceptor's answer, and
/// drops it whole where it can't: an answer never speaks of what a crash could undo.
pub trait ShardStorage {
    /// Why the disk could not be used.
    type Error;

    /// The store's part in a shard.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn group(&self, shard: &ShardId) -> Result<Option<GroupRecord>, Self::Error>;

    /// Replaces the store's part in a shard.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn put_group(&mut self, shard: &ShardId, record: &GroupRecord) -> Result<(), Self::Error>;

    /// The entry at a position.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn entry(&self, shard: &ShardId, index: LogIndex) -> Result<Option<Entry>, Self::Error>;

    /// Entries from a position on, in order, up to about `maximum_bytes` but at least one.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn entries_from(
        &self,
        shard: &ShardId,
        from: LogIndex,
        maximum_bytes: usize,
    ) -> Result<Vec<IndexedEntry>, Self::Error>;

    /// The last position with an entry, zero where there is none.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn last_index(&self, shard: &ShardId) -> Result<LogIndex, Self::Error>;

    /// Writes an entry over what is there.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn put_entry(&mut self, shard: &ShardId, index: LogIndex, entry: &Entry) -> Result<(), Self::Error>;

    /// Drops entries before a position.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn remove_entries_before(&mut self, shard: &ShardId, before: LogIndex) -> Result<(), Self::Error>;

    /// The claim on a request.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn claim(&self, shard: &ShardId, request: &RequestId) -> Result<Option<ClaimRecord>, Self::Error>;

    /// Writes a claim.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn put_claim(
        &mut self,
        shard: &ShardId,
        request: &RequestId,
        record: &ClaimRecord,
    ) -> Result<(), Self::Error>;

    /// Claims after a request id, in the order of ids, at most `limit`.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn claims_after(
        &self,
        shard: &ShardId,
        after: Option<&RequestId>,
        limit: usize,
    ) -> Result<Vec<ClaimedRequest>, Self::Error>;

    /// Drops claims issued before a time, in milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn remove_claims_issued_before(&mut self, shard: &ShardId, unix_ms: u64) -> Result<(), Self::Error>;

    /// Bytes left for records before owners are told that the disk is full.
    fn free_bytes(&self) -> u64;

    /// Whether `bytes` more still fit, with the part kept back for snapshots and recovery.
    fn has_room(&self, bytes: u64) -> bool;
}

/// How many entries a page takes: as many as fit into its bytes, but at least one.
#[derive(Clone, Copy, Debug)]
pub struct PageBudget {
    maximum_bytes: usize,
    used_bytes: usize,
}

impl PageBudget {
    /// The budget of an empty page.
    pub const fn new(maximum_bytes: usize) -> Self {
        Self { maximum_bytes, used_bytes: 0 }
    }

    /// Counts an entry of these bytes; `false` where the page ends before it.
    pub const fn try_add(&mut self, bytes: usize) -> bool {
        let is_first = self.used_bytes == 0;
        self.used_bytes = self.used_bytes.saturating_add(bytes);
        is_first || self.used_bytes <= self.maximum_bytes
    }
}
