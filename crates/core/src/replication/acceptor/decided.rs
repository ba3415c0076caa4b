//! Decided entries of a replica: learning them from the owner, reading, repair, and truncation below a
//! snapshot.
//!
//! Invariant: `decided_through` covers only positions whose decided entry is stored here or was truncated.

use crate::identity::ShardId;
use crate::replication::entry::{IndexedEntry, LogIndex};
use crate::replication::group::{AcceptedRange, GroupRecord};
use crate::replication::message::ReplicaAnswer;
use crate::replication::storage::ShardStorage;
use crate::replication::transfer::PAGE_BYTES;

/// Extends the range by accepted positions, or replaces it if they are not adjacent to it.
pub(super) fn extend_accepted_range(range: &mut AcceptedRange, from: LogIndex, through: LogIndex) {
    if through < from {
        return;
    }
    let is_adjacent =
        from <= range.through.next() && through.next() >= range.from && range.through >= range.from;
    if is_adjacent {
        range.from = range.from.min(from);
        range.through = range.through.max(through);
    } else {
        *range = AcceptedRange { from, through };
    }
}

/// Advances `decided_through` within the accepted range. A position in the range holds the entry that the
/// owner of the promised ballot proposed, so this entry is decided once that owner reports the position as
/// decided.
pub(super) fn learn_decided(record: &mut GroupRecord, decided_through: LogIndex) {
    let known = record.position.decided_through;
    if record.accepted.from <= known.next() {
        record.position.decided_through = known.max(decided_through.min(record.accepted.through));
    }
}

pub(super) fn truncate<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    record: &mut GroupRecord,
    before: LogIndex,
) -> Result<(), S::Error> {
    if before <= record.position.first() {
        return Ok(());
    }
    record.position.base = before;
    record.position.decided_through = record.position.decided_through.max(before.previous());
    storage.remove_entries_before(shard, before)
}

pub(super) fn read_decided<S: ShardStorage>(
    storage: &S,
    shard: &ShardId,
    record: &GroupRecord,
    from: LogIndex,
) -> Result<ReplicaAnswer, S::Error> {
    let decided_through = record.position.decided_through;
    let from = from.max(record.position.first());
    let mut entries = storage.entries_from(shard, from, PAGE_BYTES)?;
    entries.retain(|entry| entry.index <= decided_through);
    Ok(ReplicaAnswer::Decided { from, entries, base: record.position.base, decided_through })
}

/// Adds decided entries that directly follow `decided_through`.
pub(super) fn repair<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    mut record: GroupRecord,
    entries: Vec<IndexedEntry>,
) -> Result<LogIndex, S::Error> {
    for IndexedEntry { index, entry } in entries {
        if index == record.position.decided_through.next() {
            storage.put_entry(shard, index, &entry)?;
            record.position.decided_through = index;
        }
    }
    storage.put_group(shard, &record)?;
    Ok(record.position.decided_through)
}
