//! Requests to a store replica.
//!
//! From owners, claimants, candidates and other stores. The messages of a log are those of `core::replication`, carried as they are.

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::ballot::{Ballot, ProposerId};
use lichenpulley_core::replication::message::{ReplicaRequest, ReplicaResponse};
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use speedy::{Readable, Writable};

/// A request to a store replica.
#[derive(Clone, Debug, Readable, Writable)]
pub enum StoreRequest {
    /// Asks whether the node keeps a store.
    Probe,
    /// Asks which store the node keeps.
    Identity,
    /// Asks for the latest replica set of a shard that the store knows of.
    KnownSet(ShardId),
    /// Asks who leads a shard, as far as the store knows.
    Leadership(ShardId),
    /// The leader under this ballot is at work, though it appends nothing: it changes the stores. The answer tells who
    /// leads, as far as the store knows, so that one that was superseded learns it.
    LeaderAlive {
        /// The shard.
        shard: ShardId,
        /// The leader's ballot.
        ballot: Ballot,
    },
    /// Asks one replica of one shard.
    Replica(Box<ReplicaRequest>),
    /// The same, for decided entries without the texts of events.
    Outline(Box<ReplicaRequest>),
}

/// Its answer.
#[derive(Clone, Debug, Readable, Writable)]
pub enum StoreResponse {
    /// The node keeps a store.
    Ready,
    /// The node has no store role.
    NotAStore,
    /// The store that the node keeps.
    Identity(StoreId),
    /// The latest replica set of the shard that the store knows of.
    KnownSet(Option<KnownSet>),
    /// Who leads the shard, where anybody ever did.
    Leadership(Option<Leadership>),
    /// The replica's answer.
    Replica(Box<ReplicaResponse>),
    /// The store can't be used; its log says why.
    Unavailable,
}

/// A replica set as a store knows it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct KnownSet {
    /// The set that the store has or had a part in.
    pub set: ReplicaSet,
    /// The set that is taking its place, where the store is sealed.
    pub next: Option<ReplicaSet>,
}

/// Who leads a shard, as one store knows it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Leadership {
    /// The highest epoch promised.
    pub epoch: Epoch,
    /// To whom.
    pub proposer: ProposerId,
    /// Milliseconds since it last appended here, or since the store started.
    pub idle_ms: u64,
}
