//! What proposers, claimants and reconfigurers ask of a store replica, and what it answers.
//!
//! Answers name what they answer, so they can be matched when they come late, twice or out of order.

use speedy::{Readable, Writable};

use super::ballot::Ballot;
use super::claims::{ClaimRecord, ClaimVote};
use super::entry::{IndexedEntry, LogIndex, Payload};
use super::group::LogPosition;
use super::replica_set::{Generation, ReplicaSet, StoreId};
use crate::identity::{AttemptId, RequestId, ShardId};

/// A request to one replica of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaRequest {
    /// The shard.
    pub shard: ShardId,
    /// The replica set as the sender knows it.
    pub generation: Generation,
    /// The store that is meant: another store at the same address refuses.
    pub store: StoreId,
    /// What is asked.
    pub operation: Operation,
}

/// What is asked of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Operation {
    /// Begins to take part in a replica set of the first generation, or of one that a majority takes part in.
    Begin(ReplicaSet),
    /// Phase 1 of Paxos: promise to refuse lower ballots.
    Prepare(Ballot),
    /// Reads entries from `from` on. Only the promised ballot may, since later appends would tear the result.
    Read(Read),
    /// Phase 2 of Paxos for several positions in a row.
    Accept(Accept),
    /// Votes on a claim.
    Claim(ClaimRequest),
    /// Reads entries that are known to be decided, to fill gaps of another replica.
    ReadDecided(LogIndex),
    /// Stops taking part in this generation for good; `ReplicaSet` is the next generation.
    Seal(ReplicaSet),
    /// Reads a page of a replica's state. Only sealed replicas and installed members of the next generation are
    /// asked.
    ReadState(PagePosition),
    /// Stores a page of another replica's state at a member of the next generation.
    Copy(CopyPage),
    /// Makes a member of the next generation take part, once it has all pages.
    Install(Install),
}

/// Reads log entries.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Read {
    /// The reader's ballot.
    pub ballot: Ballot,
    /// The first position wanted.
    pub from: LogIndex,
}

/// Appends log entries.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Accept {
    /// The owner's ballot.
    pub ballot: Ballot,
    /// The position of the first entry.
    pub from: LogIndex,
    /// The entries, in order without a gap; may be empty.
    pub payloads: Vec<Payload>,
    /// All positions up to this one are decided.
    pub decided_through: LogIndex,
    /// All positions before this one are covered by a decided snapshot and may be dropped.
    pub truncate_before: LogIndex,
}

impl Accept {
    /// The position of the last entry, the one before `from` where there is none.
    pub fn through(&self) -> LogIndex {
        LogIndex(self.from.0.saturating_add(self.payloads.len() as u64)).previous()
    }
}

/// Asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRequest {
    /// The request that may run at most once.
    pub request: RequestId,
    /// Milliseconds since the Unix epoch when the caller first issued this id.
    pub issued_at_unix_ms: u64,
    /// The attempt that wants to run it.
    pub attempt: AttemptId,
}

/// Where a page of a replica's state begins.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PagePosition {
    /// Log entries from this position on.
    Entries(LogIndex),
    /// Claims after this request id; the first page where absent.
    Claims(Option<RequestId>),
}

impl PagePosition {
    /// The first page.
    pub const START: Self = Self::Entries(LogIndex::ZERO);
}

/// A page of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StatePage {
    /// The replica's marks.
    pub position: LogPosition,
    /// Log entries with the epochs under which they were accepted.
    pub entries: Vec<IndexedEntry>,
    /// Claims.
    pub claims: Vec<ClaimedRequest>,
    /// Where the next page begins; absent after the last one.
    pub next: Option<PagePosition>,
}

/// A claim and the request it is on.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimedRequest {
    /// The request.
    pub request: RequestId,
    /// The claim.
    pub record: ClaimRecord,
}

/// Names one reconfigurer's copying, so that pages of two can't be taken for one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct TransferId(pub String);

impl TransferId {
    /// The id of one pass of this copying. What an earlier pass brought is no page of a later one, whose sources may differ.
    #[must_use]
    pub fn pass(&self, number: u64) -> Self {
        Self(format!("{}/{number}", self.0))
    }

    /// Whether this is a pass of `whole`.
    pub(crate) fn is_pass_of(&self, whole: &Self) -> bool {
        self.0.rsplit_once('/').is_some_and(|(copying, _)| copying == whole.0)
    }
}

/// A page for a member of the next generation.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CopyPage {
    /// The next generation.
    pub set: ReplicaSet,
    /// The copying it belongs to.
    pub transfer: TransferId,
    /// The replica it was read from.
    pub source: StoreId,
    /// Its number among the pages of that source; the first is 0.
    pub number: u64,
    /// The page.
    pub page: StatePage,
}

/// Makes a member take part in the next generation.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Install {
    /// The next generation.
    pub set: ReplicaSet,
    /// The copying that provided its state.
    pub transfer: TransferId,
    /// What was copied.
    pub basis: InstallBasis,
    /// Members of the set before: a majority of them must be among sealed sources.
    pub old_members: u64,
    /// How many pages came from each source.
    pub sources: Vec<CopiedSource>,
    /// The highest ballot, the latest positions and the claims' horizon among the sources.
    pub position: LogPosition,
}

/// Why what was copied is all that was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum InstallBasis {
    /// The sources are a majority of the sealed set: any majority that decided something shares a member with it.
    SealedMajority,
    /// The source takes part in the next generation, installed there or begun by its owner. What it knows to be decided
    /// beyond its pages is not taken over from it.
    InstalledMember,
}

/// A replica that was copied.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CopiedSource {
    /// The replica.
    pub store: StoreId,
    /// How many pages it gave.
    pub pages: u64,
}

/// An answer of one replica of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaResponse {
    /// The shard.
    pub shard: ShardId,
    /// The generation asked about.
    pub generation: Generation,
    /// Who answers.
    pub store: StoreId,
    /// The answer.
    pub outcome: ReplicaAnswer,
}

/// What a replica answers.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReplicaAnswer {
    /// The replica takes part in the generation.
    Begun,
    /// The ballot is promised; this is what the replica has.
    Promised {
        /// The promised ballot.
        ballot: Ballot,
        /// What the replica has.
        position: LogPosition,
        /// The last position with an entry.
        last: LogIndex,
        /// Bytes left for records.
        free_bytes: u64,
    },
    /// Entries from `from` to `through`; positions without one have no entry.
    Entries {
        /// The reader's ballot.
        ballot: Ballot,
        /// The first position asked for.
        from: LogIndex,
        /// The last position covered.
        through: LogIndex,
        /// The entries.
        entries: Vec<IndexedEntry>,
    },
    /// The entries are on disk.
    Accepted {
        /// The owner's ballot.
        ballot: Ballot,
        /// The first position accepted.
        from: LogIndex,
        /// The last position accepted.
        through: LogIndex,
        /// The replica's own start of the log.
        base: LogIndex,
        /// Bytes left for records.
        free_bytes: u64,
    },
    /// The vote on a claim.
    Voted {
        /// The request.
        request: RequestId,
        /// The attempt that asked.
        attempt: AttemptId,
        /// The vote.
        vote: ClaimVote,
    },
    /// Decided entries, and how far the replica knows of decisions.
    Decided {
        /// The first position asked for.
        from: LogIndex,
        /// The entries, in order without a gap.
        entries: Vec<IndexedEntry>,
        /// The replica's own start of the log.
        base: LogIndex,
        /// The last position known to be decided.
        decided_through: LogIndex,
    },
    /// The replica takes no further part in the generation.
    Sealed {
        /// The next generation.
        next: ReplicaSet,
        /// The replica's marks, which don't change any more.
        position: LogPosition,
    },
    /// A page of the replica's state.
    StatePage {
        /// Where it begins.
        from: PagePosition,
        /// The page.
        page: StatePage,
    },
    /// A page is on disk.
    Copied {
        /// The copying it belongs to.
        transfer: TransferId,
        /// The replica it came from.
        source: StoreId,
        /// The number of the next page wanted from it.
        next: u64,
    },
    /// The member takes part in the next generation.
    Installed(Generation),
    /// Refused; nothing was changed.
    Refused(StoreRefusal),
}

/// Why a replica refused.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, thiserror::Error)]
pub enum StoreRefusal {
    /// The address now belongs to another store: its disk was replaced.
    #[error("this is store {store}; replace the member of the replica set that is gone")]
    WrongStore {
        /// The store that answers.
        store: StoreId,
    },
    /// The store has no state for this generation and must not start from nothing.
    #[error("the store holds nothing for this replica set; install the set's state first")]
    NotInstalled,
    /// The sender's replica set is out of date.
    #[error("generation {} is in force; use it", current.generation)]
    NewerGeneration {
        /// The set in force at this replica.
        current: ReplicaSet,
    },
    /// This generation is being replaced.
    #[error("the replica set is sealed; finish installing generation {}", next.generation)]
    SealedFor {
        /// The next generation.
        next: ReplicaSet,
    },
    /// Another proposer is ahead.
    #[error("ballot {promised} is promised; take the shard over again under a higher epoch")]
    HigherBallot {
        /// What was promised.
        promised: Ballot,
    },
    /// The disk has no room; what it has is kept.
    #[error("the store's disk is full; free space under its data folder")]
    DiskFull,
    /// The request makes no sense in this state, such as pages out of order.
    #[error("the request does not fit the replica's state; start the exchange again")]
    OutOfOrder,
    /// The shard's state on disk can't be read.
    #[error("the store's state for the shard is damaged; replace the store")]
    Damaged,
}
