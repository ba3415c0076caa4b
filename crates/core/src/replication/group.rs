//! A store's persistent state as a member of a shard's replica set.
//!
//! These types are stored in binary form, so the order of fields and variants must not change.

use speedy::{Readable, Writable};

use super::ballot::Ballot;
use super::entry::LogIndex;
use super::message::TransferId;
use super::replica_set::{ReplicaSet, StoreId};

/// A store's record of one shard, written in the same transaction as the entries and claims it refers to.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct GroupRecord {
    /// The replica set that the state belongs to.
    pub set: ReplicaSet,
    /// Whether the store is active in it.
    pub phase: GroupPhase,
    /// What is promised, decided and removed.
    pub position: LogPosition,
    /// The positions accepted under the promised ballot.
    pub accepted: AcceptedRange,
    /// Transfers of state into the next generation that are in progress.
    pub transfers: Vec<CopyProgress>,
}

/// Whether a store is active in its replica set.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum GroupPhase {
    /// The store promises, accepts and votes.
    Active,
    /// The store has permanently stopped in this generation.
    Sealed {
        /// The next generation.
        next: ReplicaSet,
    },
    /// The store is new to the replica set and does not have its state yet.
    Joining,
}

/// A replica's position in a shard's log and claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct LogPosition {
    /// The highest promised ballot. Never decreases.
    pub promised: Ballot,
    /// Positions before this one are covered by a decided snapshot and were removed. Zero and one are
    /// equivalent.
    pub base: LogIndex,
    /// Every position from `base` to this one is stored here with its decided entry.
    pub decided_through: LogIndex,
    /// Claims issued before this time, in milliseconds since the Unix epoch, may have been removed.
    pub claims_removed_before_unix_ms: u64,
}

impl LogPosition {
    /// Returns the maximum of each field of the two positions.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        let promised =
            if other.promised.epoch > self.promised.epoch { other.promised } else { self.promised };
        let forgotten = self.claims_removed_before_unix_ms.max(other.claims_removed_before_unix_ms);
        Self {
            promised,
            base: self.base.max(other.base),
            decided_through: self.decided_through.max(other.decided_through),
            claims_removed_before_unix_ms: forgotten,
        }
    }

    /// Returns the first position that has not been removed.
    pub fn first(&self) -> LogIndex {
        self.base.max(LogIndex::FIRST)
    }
}

/// Consecutive positions that were accepted under the promised ballot. When the owner reports one of them as
/// decided, the stored entry is the decided one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedRange {
    /// The first position.
    pub from: LogIndex,
    /// The last position, less than `from` if the range is empty.
    pub through: LogIndex,
}

/// The progress of one transfer of state from sealed replicas.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CopyProgress {
    /// The transfer.
    pub transfer: TransferId,
    /// The pages received from each sealed replica.
    pub sources: Vec<SourceProgress>,
}

/// The pages received from one sealed replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SourceProgress {
    /// The sealed replica.
    pub store: StoreId,
    /// The number of the next page to receive.
    pub next: u64,
}

impl GroupRecord {
    /// Creates the record of an empty member of the first generation.
    pub fn first(set: ReplicaSet) -> Self {
        Self::new(set, GroupPhase::Active)
    }

    /// Creates the record of a new member of a later generation, which does not have the state yet.
    pub fn joining(set: ReplicaSet) -> Self {
        Self::new(set, GroupPhase::Joining)
    }

    fn new(set: ReplicaSet, phase: GroupPhase) -> Self {
        Self {
            set,
            phase,
            position: LogPosition::default(),
            accepted: AcceptedRange { from: LogIndex::FIRST, through: LogIndex::ZERO },
            transfers: Vec::new(),
        }
    }
}
