//! Making a store an active member of a replica set without copying state.

use crate::identity::ShardId;
use crate::replication::group::{GroupPhase, GroupRecord};
use crate::replication::message::{ReplicaAnswer, StoreRefusal};
use crate::replication::replica_set::ReplicaSet;
use crate::replication::storage::ShardStorage;

/// Activates a member that was not active in this generation before.
///
/// The first generation starts empty. In a later one the sender knows that a majority has been installed, so
/// every quorum contains a member with everything that was decided before. A member that was never active may
/// therefore begin with the state it has, and is repaired later.
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
    let may_begin =
        record.set.generation < set.generation || (record.set == set && record.phase == GroupPhase::Joining);
    if !may_begin {
        return Ok(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder));
    }
    record.set = set;
    record.phase = GroupPhase::Active;
    record.transfers.clear();
    storage.put_group(shard, &record)?;
    Ok(ReplicaAnswer::Begun)
}
