//! The storage interface of an acceptor.
//!
//! Each request is one transaction, which is synced to disk before the response is sent.

use super::claims::ClaimRecord;
use super::entry::{Entry, IndexedEntry, LogIndex};
use super::group::GroupRecord;
use super::message::ClaimedRequest;
use crate::identity::{RequestId, ShardId};

/// One transaction on a store's disk. The driver commits and syncs it before it sends the acceptor's
/// response, and discards it if that fails, so that a crash cannot undo what a response reports.
pub trait ShardStorage {
    /// The error of a failed read or write.
    type Error;

    /// Returns the store's record of a shard.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn group(&self, shard: &ShardId) -> Result<Option<GroupRecord>, Self::Error>;

    /// Replaces the store's record of a shard.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn put_group(&mut self, shard: &ShardId, record: &GroupRecord) -> Result<(), Self::Error>;

    /// Returns the entry at a position.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn entry(&self, shard: &ShardId, index: LogIndex) -> Result<Option<Entry>, Self::Error>;

    /// Returns entries from a position on, in order, up to about `maximum_bytes` but at least one.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn entries_from(
        &self,
        shard: &ShardId,
        from: LogIndex,
        maximum_bytes: usize,
    ) -> Result<Vec<IndexedEntry>, Self::Error>;

    /// Returns the last position with an entry, or zero if there are no entries.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn last_index(&self, shard: &ShardId) -> Result<LogIndex, Self::Error>;

    /// Writes an entry, replacing any entry at the position.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn put_entry(&mut self, shard: &ShardId, index: LogIndex, entry: &Entry) -> Result<(), Self::Error>;

    /// Removes the entries before a position.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn remove_entries_before(&mut self, shard: &ShardId, before: LogIndex) -> Result<(), Self::Error>;

    /// Returns the claim on a request.
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

    /// Returns at most `limit` claims after a request id, in the order of ids.
    ///
    /// # Errors
    /// When the disk can't be read.
    fn claims_after(
        &self,
        shard: &ShardId,
        after: Option<&RequestId>,
        limit: usize,
    ) -> Result<Vec<ClaimedRequest>, Self::Error>;

    /// Removes claims issued before a time, in milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// When the disk can't be written.
    fn remove_claims_issued_before(&mut self, shard: &ShardId, unix_ms: u64) -> Result<(), Self::Error>;

    /// Returns the bytes left for records before owners are told that the disk is full.
    fn free_bytes(&self) -> u64;

    /// Returns whether `bytes` more fit, including the space reserved for snapshots and recovery.
    fn has_room(&self, bytes: u64) -> bool;
}

/// Limits a page of entries to a number of bytes, but to at least one entry.
#[derive(Clone, Copy, Debug)]
pub struct PageBudget {
    maximum_bytes: usize,
    used_bytes: usize,
}

impl PageBudget {
    /// Creates the budget of an empty page.
    pub const fn new(maximum_bytes: usize) -> Self {
        Self { maximum_bytes, used_bytes: 0 }
    }

    /// Counts an entry of this size. Returns `false` if the entry does not fit into the page.
    pub const fn try_add(&mut self, bytes: usize) -> bool {
        let is_first = self.used_bytes == 0;
        self.used_bytes = self.used_bytes.saturating_add(bytes);
        is_first || self.used_bytes <= self.maximum_bytes
    }
}
