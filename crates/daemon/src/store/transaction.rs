//! Transaction on the store file, as the storage of the acceptor.
//!
//! It owns the open tables and the count of used bytes, which is written in the same transaction as the
//! records.

use lichenpulley_core::identity::{RequestId, ShardId};
use lichenpulley_core::replication::claims::ClaimRecord;
use lichenpulley_core::replication::entry::{Entry, IndexedEntry, LogIndex};
use lichenpulley_core::replication::group::GroupRecord;
use lichenpulley_core::replication::message::ClaimedRequest;
use lichenpulley_core::replication::storage::{PageBudget, ShardStorage};
use redb::{ReadableTable, Table, TableDefinition, WriteTransaction};

use super::error::DiskError;
use super::record::{decode, encode};

const GROUPS: TableDefinition<&str, &[u8]> = TableDefinition::new("groups");
const ENTRIES: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("entries");
const CLAIMS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("claims");
const CLAIMS_BY_ISSUE: TableDefinition<(&str, u64, &str), ()> = TableDefinition::new("claims_by_issue");
const USAGE: TableDefinition<&str, u64> = TableDefinition::new("usage");
const USED_BYTES_KEY: &str = "used_bytes";
/// Used bytes at which the volume was full although the capacity was not reached.
const FULL_AT_KEY: &str = "full_at_bytes";
/// Capacity in the settings when the volume was full. With another one the volume may have changed as well.
const FULL_AT_CAPACITY_KEY: &str = "full_at_capacity_bytes";

/// Share of the capacity for records, in quarters. The rest is reserved for the snapshots that free a full
/// disk, and for recovery.
const RECORD_QUARTERS: u64 = 3;
/// Bytes of entries that are accepted beyond the bytes in use when the volume was full, so that an owner can still
/// take a shard over. They fit into the reserve of the store file with room for further small writes.
const RECOVERY_BYTES: u64 = 128 << 10;
/// Bytes counted for a claim in addition to its strings: two keys, checksums and page overhead, rounded up.
const CLAIM_OVERHEAD_BYTES: u64 = 192;

/// Entries removed at once. `redb` copies a page for each removal from it, and the pages that an iterator copies are
/// free again only once it is dropped.
const REMOVAL_STEP: usize = 16;

/// Open transaction with its tables.
pub(super) struct Transaction<'a> {
    groups: Table<'a, &'static str, &'static [u8]>,
    entries: Table<'a, (&'static str, u64), &'static [u8]>,
    claims: Table<'a, (&'static str, &'static str), &'static [u8]>,
    claims_by_issue: Table<'a, (&'static str, u64, &'static str), ()>,
    usage: Table<'a, &'static str, u64>,
    /// Capacity in the settings.
    settings_bytes: u64,
    /// Capacity in use, less than that in the settings if the volume was full before.
    capacity_bytes: u64,
    used_bytes: u64,
    changed: bool,
}

impl<'a> Transaction<'a> {
    /// Creates the tables of a new file.
    pub(super) fn create_tables(write: &WriteTransaction) -> Result<(), DiskError> {
        Transaction::open(write, 0)?;
        Ok(())
    }

    pub(super) fn open(write: &'a WriteTransaction, capacity_bytes: u64) -> Result<Self, DiskError> {
        let usage = write.open_table(USAGE)?;
        let number = |key: &str| Ok::<_, DiskError>(usage.get(key)?.map(|number| number.value()));
        let used_bytes = number(USED_BYTES_KEY)?.unwrap_or(0);
        let full_at = match number(FULL_AT_CAPACITY_KEY)? {
            Some(capacity) if capacity == capacity_bytes => number(FULL_AT_KEY)?,
            _ => None,
        };
        Ok(Self {
            groups: write.open_table(GROUPS)?,
            entries: write.open_table(ENTRIES)?,
            claims: write.open_table(CLAIMS)?,
            claims_by_issue: write.open_table(CLAIMS_BY_ISSUE)?,
            usage,
            settings_bytes: capacity_bytes,
            capacity_bytes: full_at.map_or(capacity_bytes, |full_at| full_at.min(capacity_bytes)),
            used_bytes,
            changed: false,
        })
    }

    /// Limits the capacity to the bytes in use, since the volume has no more.
    pub(super) fn limit_to_used(&mut self) -> Result<(), DiskError> {
        self.capacity_bytes = self.capacity_bytes.min(self.used_bytes);
        self.usage.insert(FULL_AT_KEY, self.capacity_bytes)?;
        self.usage.insert(FULL_AT_CAPACITY_KEY, self.settings_bytes)?;
        self.changed = true;
        Ok(())
    }

    /// Writes the count of used bytes and returns whether there is anything to commit.
    pub(super) fn finish(mut self) -> Result<bool, DiskError> {
        if self.changed {
            self.usage.insert(USED_BYTES_KEY, self.used_bytes)?;
        }
        Ok(self.changed)
    }

    /// Returns the shards that have a replica in this store.
    pub(super) fn shards(&self) -> Result<Vec<ShardId>, DiskError> {
        let mut shards = Vec::new();
        for row in self.groups.iter()? {
            shards.push(ShardId::new(row?.0.value()));
        }
        Ok(shards)
    }

    /// Returns whether anything was written.
    pub(super) fn is_changed(&self) -> bool {
        self.changed
    }

    /// Returns the bytes counted for entries and claims.
    pub(super) fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    fn grow(&mut self, bytes: u64) {
        self.changed = true;
        self.used_bytes = self.used_bytes.saturating_add(bytes);
    }

    fn shrink(&mut self, bytes: u64) {
        self.changed = true;
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }
}

fn claim_cost(request: &str, record: &ClaimRecord) -> u64 {
    let holder = record.holder.as_ref().map_or(0, |holder| holder.as_str().len());
    (2 * request.len() + holder) as u64 + CLAIM_OVERHEAD_BYTES
}

impl ShardStorage for Transaction<'_> {
    type Error = DiskError;

    fn group(&self, shard: &ShardId) -> Result<Option<GroupRecord>, DiskError> {
        let stored = self.groups.get(shard.as_str())?;
        stored.map(|stored| decode(stored.value())).transpose()
    }

    fn put_group(&mut self, shard: &ShardId, record: &GroupRecord) -> Result<(), DiskError> {
        self.changed = true;
        self.groups.insert(shard.as_str(), encode(record)?.as_slice())?;
        Ok(())
    }

    fn entry(&self, shard: &ShardId, index: LogIndex) -> Result<Option<Entry>, DiskError> {
        let stored = self.entries.get((shard.as_str(), index.0))?;
        stored.map(|stored| decode(stored.value())).transpose()
    }

    fn entries_from(
        &self,
        shard: &ShardId,
        from: LogIndex,
        maximum_bytes: usize,
    ) -> Result<Vec<IndexedEntry>, DiskError> {
        let mut entries = Vec::new();
        let mut budget = PageBudget::new(maximum_bytes);
        for row in self.entries.range((shard.as_str(), from.0)..=(shard.as_str(), u64::MAX))? {
            let (key, value) = row?;
            let entry: Entry = decode(value.value())?;
            if !budget.try_add(entry.cost()) {
                break;
            }
            entries.push(IndexedEntry { index: LogIndex(key.value().1), entry });
        }
        Ok(entries)
    }

    fn last_index(&self, shard: &ShardId) -> Result<LogIndex, DiskError> {
        let mut entries = self.entries.range((shard.as_str(), 0)..=(shard.as_str(), u64::MAX))?;
        match entries.next_back() {
            Some(row) => Ok(LogIndex(row?.0.value().1)),
            None => Ok(LogIndex::ZERO),
        }
    }

    fn put_entry(&mut self, shard: &ShardId, index: LogIndex, entry: &Entry) -> Result<(), DiskError> {
        let encoded = encode(entry)?;
        let replaced = self.entries.insert((shard.as_str(), index.0), encoded.as_slice())?;
        let replaced = replaced.map(|replaced| decode::<Entry>(replaced.value())).transpose()?;
        self.grow(entry.cost() as u64);
        self.shrink(replaced.map_or(0, |replaced| replaced.cost() as u64));
        Ok(())
    }

    fn remove_entries_before(&mut self, shard: &ShardId, before: LogIndex) -> Result<(), DiskError> {
        let range = (shard.as_str(), 0)..(shard.as_str(), before.0);
        loop {
            let (mut freed, mut removed) = (0, 0);
            for row in self.entries.extract_from_if(range.clone(), |_, _| true)?.take(REMOVAL_STEP) {
                freed += decode::<Entry>(row?.1.value())?.cost() as u64;
                removed += 1;
            }
            if removed == 0 {
                return Ok(());
            }
            self.shrink(freed);
        }
    }

    fn claim(&self, shard: &ShardId, request: &RequestId) -> Result<Option<ClaimRecord>, DiskError> {
        let stored = self.claims.get((shard.as_str(), request.as_str()))?;
        stored.map(|stored| decode(stored.value())).transpose()
    }

    fn put_claim(
        &mut self,
        shard: &ShardId,
        request: &RequestId,
        record: &ClaimRecord,
    ) -> Result<(), DiskError> {
        let (shard, request) = (shard.as_str(), request.as_str());
        let encoded = encode(record)?;
        let replaced = self.claims.insert((shard, request), encoded.as_slice())?;
        let replaced = replaced.map(|replaced| decode::<ClaimRecord>(replaced.value())).transpose()?;
        if let Some(replaced) = replaced {
            self.claims_by_issue.remove((shard, replaced.issued_at_unix_ms, request))?;
            self.shrink(claim_cost(request, &replaced));
        }
        self.claims_by_issue.insert((shard, record.issued_at_unix_ms, request), ())?;
        self.grow(claim_cost(request, record));
        Ok(())
    }

    fn claims_after(
        &self,
        shard: &ShardId,
        after: Option<&RequestId>,
        limit: usize,
    ) -> Result<Vec<ClaimedRequest>, DiskError> {
        let start = after.map_or("", RequestId::as_str);
        let mut claims = Vec::new();
        for row in self.claims.range((shard.as_str(), start)..)? {
            let (key, value) = row?;
            let (owner, request) = key.value();
            if owner != shard.as_str() || claims.len() >= limit {
                break;
            }
            if after.is_some_and(|after| after.as_str() == request) {
                continue;
            }
            claims.push(ClaimedRequest { request: RequestId::new(request), record: decode(value.value())? });
        }
        Ok(claims)
    }

    fn remove_claims_issued_before(&mut self, shard: &ShardId, unix_ms: u64) -> Result<(), DiskError> {
        let mut removed = Vec::new();
        let range = (shard.as_str(), 0, "")..(shard.as_str(), unix_ms, "");
        for row in self.claims_by_issue.extract_from_if(range, |_, _| true)? {
            removed.push(row?.0.value().2.to_owned());
        }
        for request in removed {
            let stored = self.claims.remove((shard.as_str(), request.as_str()))?;
            let stored = stored.map(|stored| decode::<ClaimRecord>(stored.value())).transpose()?;
            self.shrink(stored.map_or(0, |record| claim_cost(&request, &record)));
        }
        Ok(())
    }

    fn free_bytes(&self) -> u64 {
        (self.capacity_bytes / 4 * RECORD_QUARTERS).saturating_sub(self.used_bytes)
    }

    fn has_room(&self, bytes: u64) -> bool {
        let recovery = if self.capacity_bytes < self.settings_bytes { RECOVERY_BYTES } else { 0 };
        self.used_bytes.saturating_add(bytes) <= self.capacity_bytes.saturating_add(recovery)
    }
}
