//! A store's disk in memory.

use std::collections::BTreeMap;
use std::convert::Infallible;

use lichenpulley_core::identity::{RequestId, ShardId};
use lichenpulley_core::replication::claims::ClaimRecord;
use lichenpulley_core::replication::entry::{Entry, IndexedEntry, LogIndex};
use lichenpulley_core::replication::group::GroupRecord;
use lichenpulley_core::replication::message::ClaimedRequest;
use lichenpulley_core::replication::storage::ShardStorage;

/// Bytes free, as far as owners are told.
const FREE_BYTES: u64 = 1 << 30;

/// The disk of a store that keeps one shard and no claims. Every change is durable at once.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryDisk {
    group: Option<GroupRecord>,
    entries: BTreeMap<LogIndex, Entry>,
}

impl ShardStorage for MemoryDisk {
    type Error = Infallible;

    fn group(&self, _shard: &ShardId) -> Result<Option<GroupRecord>, Infallible> {
        Ok(self.group.clone())
    }

    fn put_group(&mut self, _shard: &ShardId, record: &GroupRecord) -> Result<(), Infallible> {
        self.group = Some(record.clone());
        Ok(())
    }

    fn entry(&self, _shard: &ShardId, index: LogIndex) -> Result<Option<Entry>, Infallible> {
        Ok(self.entries.get(&index).cloned())
    }

    fn entries_from(
        &self,
        _shard: &ShardId,
        from: LogIndex,
        maximum_bytes: usize,
    ) -> Result<Vec<IndexedEntry>, Infallible> {
        let mut bytes = 0;
        let mut found: Vec<IndexedEntry> = Vec::new();
        for (index, entry) in self.entries.range(from..) {
            bytes += entry.cost();
            if bytes > maximum_bytes && !found.is_empty() {
                break;
            }
            found.push(IndexedEntry { index: *index, entry: entry.clone() });
        }
        Ok(found)
    }

    fn last_index(&self, _shard: &ShardId) -> Result<LogIndex, Infallible> {
        Ok(self.entries.keys().next_back().copied().unwrap_or_default())
    }

    fn put_entry(&mut self, _shard: &ShardId, index: LogIndex, entry: &Entry) -> Result<(), Infallible> {
        self.entries.insert(index, entry.clone());
        Ok(())
    }

    fn remove_entries_before(&mut self, _shard: &ShardId, before: LogIndex) -> Result<(), Infallible> {
        self.entries = self.entries.split_off(&before);
        Ok(())
    }

    fn claim(&self, _shard: &ShardId, _request: &RequestId) -> Result<Option<ClaimRecord>, Infallible> {
        Ok(None)
    }

    fn put_claim(
        &mut self,
        _shard: &ShardId,
        _request: &RequestId,
        _record: &ClaimRecord,
    ) -> Result<(), Infallible> {
        Ok(())
    }

    fn claims_after(
        &self,
        _shard: &ShardId,
        _after: Option<&RequestId>,
        _limit: usize,
    ) -> Result<Vec<ClaimedRequest>, Infallible> {
        Ok(Vec::new())
    }

    fn remove_claims_issued_before(&mut self, _shard: &ShardId, _unix_ms: u64) -> Result<(), Infallible> {
        Ok(())
    }

    fn free_bytes(&self) -> u64 {
        FREE_BYTES
    }

    fn has_room(&self, _bytes: u64) -> bool {
        true
    }
}
