//! What a store keeps about its part in a shard's replica set.
//!
//! Stored as it stands: the order of fields and variants must not change.

use speedy::{Readable, Writable};

use super::ballot::Ballot;
use super::entry::LogIndex;
use super::message::TransferId;
use super::replica_set::{ReplicaSet, StoreId};

/// A store's part in one shard. Written in the same transaction as the entries and claims it speaks of.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct GroupRecord {
    /// The replica set that the state belongs to.
    pub set: ReplicaSet,
    /// Whether the store takes part in it.
    pub phase: GroupPhase,
    /// What is promised, decided and forgotten.
    pub position: LogPosition,
    /// The run of positions accepted under the promised ballot.
    pub run: AcceptedRange,
    /// Copyings into the next generation that are under way.
    pub copying: Vec<CopyProgress>,
}

/// Whether a store takes part in its replica set.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum GroupPhase {
    /// It promises, accepts and votes.
    Active,
    /// It has stopped for good in this generation; the next one is named.
    Sealed {
        /// The next generation.
        next: ReplicaSet,
    },
    /// It is new to the shard and does not have its state yet.
    Joining,
}

/// Marks in a shard's log and claims, apart from the entries and claims themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct LogPosition {
    /// The highest ballot promised. Never goes back.
    pub promised: Ballot,
    /// Positions before this one were dropped: a decided snapshot covers them. Zero and one mean the same.
    pub base: LogIndex,
    /// Every position from `base` to this one is here with its decided entry.
    pub decided_through: LogIndex,
    /// Claims issued before this time, in milliseconds since the Unix epoch, may have been forgotten.
    pub claims_removed_before_unix_ms: u64,
}

impl LogPosition {
    /// The later of each mark.
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

    /// The first position that has not been dropped.
    pub fn first(&self) -> LogIndex {
        self.base.max(LogIndex::FIRST)
    }
}

/// Positions in a row that were accepted under the promised ballot: what the owner calls decided among them is
/// decided with the entries that are here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedRange {
    /// The first.
    pub from: LogIndex,
    /// The last; less than `from` where there is none.
    pub through: LogIndex,
}

/// How much of the sealed replicas' state has arrived.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CopyProgress {
    /// The copying under way.
    pub transfer: TransferId,
    /// Pages from each sealed replica.
    pub sources: Vec<SourceProgress>,
}

/// Pages that arrived from one sealed replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SourceProgress {
    /// The sealed replica.
    pub store: StoreId,
    /// The number of the next page.
    pub next: u64,
}

impl GroupRecord {
    /// A member of the first generation, with nothing in it.
    pub fn first(set: ReplicaSet) -> Self {
        Self::new(set, GroupPhase::Active)
    }

    /// A new member of a later generation, which waits for its state.
    pub fn joining(set: ReplicaSet) -> Self {
        Self::new(set, GroupPhase::Joining)
    }

    fn new(set: ReplicaSet, phase: GroupPhase) -> Self {
        Self {
            set,
            phase,
            position: LogPosition::default(),
            run: AcceptedRange { from: LogIndex::FIRST, through: LogIndex::ZERO },
            copying: Vec::new(),
        }
    }
}
