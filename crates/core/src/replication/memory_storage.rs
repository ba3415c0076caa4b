//! In-memory [`ShardStorage`] for simulations, without a size limit.
//!
//! Synced writes survive a simulated crash; other writes are lost.

use std::collections::BTreeMap;
use std::convert::Infallible;

use super::claims::ClaimRecord;
use super::entry::{Entry, IndexedEntry, LogIndex};
use super::group::GroupRecord;
use super::message::ClaimedRequest;
use super::storage::{PageBudget, ShardStorage};
use crate::identity::{RequestId, ShardId};

/// Reported free space, far more than a simulation writes.
const CAPACITY_BYTES: u64 = 1 << 40;

/// The tables of a disk.
#[derive(Clone, Debug, Default)]
struct Tables {
    groups: BTreeMap<ShardId, GroupRecord>,
    entries: BTreeMap<ShardId, BTreeMap<LogIndex, Entry>>,
    claims: BTreeMap<ShardId, BTreeMap<RequestId, ClaimRecord>>,
}

/// A simulated disk with a write cache.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    cached: Tables,
    synced: Tables,
}

impl MemoryStorage {
    /// Makes everything written so far survive a crash.
    pub fn sync(&mut self) {
        self.synced = self.cached.clone();
    }

    /// Returns the state after a crash: the synced writes.
    pub fn after_crash(&self) -> Self {
        Self { cached: self.synced.clone(), synced: self.synced.clone() }
    }

    /// Returns the store's record of each of its shards.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.cached.groups.values()
    }
}

impl ShardStorage for MemoryStorage {
    type Error = Infallible;

    fn group(&self, shard: &ShardId) -> Result<Option<GroupRecord>, Infallible> {
        Ok(self.cached.groups.get(shard).cloned())
    }

    fn put_group(&mut self, shard: &ShardId, record: &GroupRecord) -> Result<(), Infallible> {
        self.cached.groups.insert(shard.clone(), record.clone());
        Ok(())
    }

    fn entry(&self, shard: &ShardId, index: LogIndex) -> Result<Option<Entry>, Infallible> {
        Ok(self.cached.entries.get(shard).and_then(|entries| entries.get(&index)).cloned())
    }

    fn entries_from(
        &self,
        shard: &ShardId,
        from: LogIndex,
        maximum_bytes: usize,
    ) -> Result<Vec<IndexedEntry>, Infallible> {
        let mut page = Vec::new();
        let mut budget = PageBudget::new(maximum_bytes);
        let entries = self.cached.entries.get(shard);
        for (index, entry) in entries.into_iter().flat_map(|entries| entries.range(from..)) {
            if !budget.try_add(entry.cost()) {
                break;
            }
            page.push(IndexedEntry { index: *index, entry: entry.clone() });
        }
        Ok(page)
    }

    fn last_index(&self, shard: &ShardId) -> Result<LogIndex, Infallible> {
        let entries = self.cached.entries.get(shard);
        Ok(entries.and_then(|entries| entries.keys().next_back()).copied().unwrap_or_default())
    }

    fn put_entry(&mut self, shard: &ShardId, index: LogIndex, entry: &Entry) -> Result<(), Infallible> {
        self.cached.entries.entry(shard.clone()).or_default().insert(index, entry.clone());
        Ok(())
    }

    fn remove_entries_before(&mut self, shard: &ShardId, before: LogIndex) -> Result<(), Infallible> {
        if let Some(entries) = self.cached.entries.get_mut(shard) {
            entries.retain(|index, _| *index >= before);
        }
        Ok(())
    }

    fn claim(&self, shard: &ShardId, request: &RequestId) -> Result<Option<ClaimRecord>, Infallible> {
        Ok(self.cached.claims.get(shard).and_then(|claims| claims.get(request)).cloned())
    }

    fn put_claim(
        &mut self,
        shard: &ShardId,
        request: &RequestId,
        record: &ClaimRecord,
    ) -> Result<(), Infallible> {
        self.cached.claims.entry(shard.clone()).or_default().insert(request.clone(), record.clone());
        Ok(())
    }

    fn claims_after(
        &self,
        shard: &ShardId,
        after: Option<&RequestId>,
        limit: usize,
    ) -> Result<Vec<ClaimedRequest>, Infallible> {
        let claims = self.cached.claims.get(shard).into_iter().flatten();
        let later = claims.filter(|(request, _)| after.is_none_or(|after| *request > after));
        let claimed = later
            .map(|(request, record)| ClaimedRequest { request: request.clone(), record: record.clone() });
        Ok(claimed.take(limit).collect())
    }

    fn remove_claims_issued_before(&mut self, shard: &ShardId, unix_ms: u64) -> Result<(), Infallible> {
        if let Some(claims) = self.cached.claims.get_mut(shard) {
            claims.retain(|_, record| record.issued_at_unix_ms >= unix_ms);
        }
        Ok(())
    }

    fn free_bytes(&self) -> u64 {
        CAPACITY_BYTES
    }

    fn has_room(&self, _bytes: u64) -> bool {
        true
    }
}
