//! How a store begins to take part in a replica set.

use crate::identity::ShardId;
use crate::replication::group::{GroupPhase, GroupRecord};
use crate::replication::message::{ReplicaAnswer, StoreRefusal};
use crate::replication::replica_set::ReplicaSet;
use crate::replication::storage::ShardStorage;

/// Begins as a member that has not taken part in this generation before.
///
/// In the first generation there is nothing to have. In a later one the sender knows that a majority has been
/// installed: every quorum then contains a member with all that was decided before, so one that never took part
/// may begin with what it has, and is repaired later.
pub(super) fn begin<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    record: Option<GroupRecord>,
    set: ReplicaSet,
) -> Result<ReplicaAnswer, S::Error> {
    let Some(mut record) = record else {
        storage.put_group(shard, &GroupRecord::first(set))?;
        return Ok(ReplicaAnswer::Begun);
    };
    if record.set == set && record.phase == GroupPhase::Active {
        return Ok(ReplicaAnswer::Begun);
    }
    let waits =
        record.set.generation < set.generation || (record.set == set && record.phase == GroupPhase::Joining);
    if !waits {
        return Ok(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder));
    }
    record.set = set;
    record.phase = GroupPhase::Active;
    record.copying.clear();
    storage.put_group(shard, &record)?;
    Ok(ReplicaAnswer::Begun)
}
