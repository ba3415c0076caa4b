//! What a replica knows to be decided: learnt from the owner, handed out, added by repair, dropped below a snapshot.
//!
//! Invariant: `decided_through` covers only positions whose decided entry is here.

use crate::identity::ShardId;
use crate::replication::entry::{IndexedEntry, LogIndex};
use crate::replication::group::{AcceptedRange, GroupRecord};
use crate::replication::message::ReplicaAnswer;
use crate::replication::storage::ShardStorage;
use crate::replication::transfer::PAGE_BYTES;

/// Adds accepted positions to the run, or begins a new one where they don't follow it.
pub(super) fn extend_run(run: &mut AcceptedRange, from: LogIndex, through: LogIndex) {
    if through < from {
        return;
    }
    let touches = from <= run.through.next() && through.next() >= run.from && run.through >= run.from;
    if touches {
        run.from = run.from.min(from);
        run.through = run.through.max(through);
    } else {
        *run = AcceptedRange { from, through };
    }
}

/// Invariant: `decided_through` covers only positions whose decided entry is here. A position of the run holds
/// what the present owner proposed, so it is decided once the owner says so.
pub(super) fn learn_decided(record: &mut GroupRecord, decided_through: LogIndex) {
    let known = record.position.decided_through;
    if record.run.from <= known.next() {
        record.position.decided_through = known.max(decided_through.min(record.run.through));
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

/// Adds decided entries that follow what is known to be decided here.
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
