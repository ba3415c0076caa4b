//! Requests to a store replica from owners, claimants, candidates and other stores.
//!
//! The messages of the replicated log are defined in `core::replication`.

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::ballot::{Ballot, ProposerId};
use lichenpulley_core::replication::message::{ReplicaRequest, ReplicaResponse};
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use speedy::{Readable, Writable};

/// A request to a store replica.
#[derive(Clone, Debug, Readable, Writable)]
pub enum StoreRequest {
    /// Checks whether the node has a store.
    Probe,
    /// Requests the id of the node's store.
    Identity,
    /// Requests the latest replica set of a shard that the store knows.
    KnownSet(ShardId),
    /// Requests the leader of a shard that the store knows.
    Leadership(ShardId),
    /// Signals that the leader under this ballot is alive although it appends nothing, because it is changing the
    /// replica set. The response contains the leader that the store knows, so that a superseded leader learns of it.
    LeaderAlive {
        /// The shard that it leads.
        shard: ShardId,
        /// The leader's ballot.
        ballot: Ballot,
    },
    /// A request to one replica of one shard.
    Replica(Box<ReplicaRequest>),
    /// Like [`Self::Replica`], but decided entries are returned without the texts of events.
    Outline(Box<ReplicaRequest>),
}

/// The response to a [`StoreRequest`].
#[derive(Clone, Debug, Readable, Writable)]
pub enum StoreResponse {
    /// The node has a store.
    Ready,
    /// The node has no store role.
    NotAStore,
    /// The id of the node's store.
    Identity(StoreId),
    /// The latest replica set of the shard that the store knows.
    KnownSet(Option<KnownSet>),
    /// The shard's leader, if it has ever had one.
    Leadership(Option<Leadership>),
    /// The replica's response.
    Replica(Box<ReplicaResponse>),
    /// The store is unusable; the node's log contains the cause.
    Unavailable,
}

/// A replica set that a store knows.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct KnownSet {
    /// The set of which the store is or was a member.
    pub set: ReplicaSet,
    /// The successor set, if the store is sealed.
    pub next: Option<ReplicaSet>,
}

/// The leader of a shard that one store knows.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Leadership {
    /// The highest epoch promised.
    pub epoch: Epoch,
    /// The proposer to which it was promised.
    pub proposer: ProposerId,
    /// Milliseconds since the proposer last appended to this store, or since the store started.
    pub idle_ms: u64,
}
