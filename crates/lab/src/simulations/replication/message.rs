//! What the processes of the simulation send each other.

use lichenpulley_core::identity::{Revision, ShardId};
use lichenpulley_core::replication::message::{ReplicaRequest, ReplicaResponse};
use lichenpulley_core::replication::replica_set::ReplicaSetDocument;

/// A message between processes.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// To a store.
    Request(ReplicaRequest),
    /// From a store.
    Response(ReplicaResponse),
    /// To the platform: read a shard's replica sets.
    Read(ShardId),
    /// To the platform: write them where `base` is current.
    Write { base: Revision, document: ReplicaSetDocument },
    /// From the platform: what is current.
    Document { version: Revision, document: ReplicaSetDocument },
}
