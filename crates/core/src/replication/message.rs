//! Requests of proposers, claimants and reconfigurers to a store replica, and its responses.
//!
//! A response repeats the parameters of its request, so that the sender can match responses that are late,
//! duplicated or out of order.

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
    /// The generation of the replica set that the sender uses.
    pub generation: Generation,
    /// The store that the request is for. Another store at the same address refuses it.
    pub store: StoreId,
    /// The operation to perform.
    pub operation: Operation,
}

/// An operation on a replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Operation {
    /// Makes the store an active member of a replica set that is of the first generation or active at a
    /// majority.
    Begin(ReplicaSet),
    /// Phase 1 of Paxos: promises to refuse lower ballots.
    Prepare(Ballot),
    /// Reads entries from `from` on. Only the promised ballot may read, since appends under a later ballot
    /// could change entries between two pages.
    Read(Read),
    /// Phase 2 of Paxos for several consecutive positions.
    Accept(Accept),
    /// Votes on a claim.
    Claim(ClaimRequest),
    /// Reads entries that are known to be decided, to repair another replica.
    ReadDecided(LogIndex),
    /// Permanently stops the replica in this generation. `ReplicaSet` is the next generation.
    Seal(ReplicaSet),
    /// Reads a page of a replica's state. Sent only to sealed replicas and to installed members of the next
    /// generation.
    ReadState(PagePosition),
    /// Stores a page of another replica's state on a member of the next generation.
    Copy(CopyPage),
    /// Activates a member of the next generation once it has all pages.
    Install(Install),
}

impl Operation {
    /// Returns the size of the entries that it carries, in bytes.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Self::Accept(accept) => accept.payloads.iter().map(Payload::len).sum(),
            _ => 0,
        }
    }
}

/// Parameters of [`Operation::Read`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Read {
    /// The reader's ballot.
    pub ballot: Ballot,
    /// The first position to read.
    pub from: LogIndex,
}

/// Parameters of [`Operation::Accept`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Accept {
    /// The owner's ballot.
    pub ballot: Ballot,
    /// The position of the first entry.
    pub from: LogIndex,
    /// The contents of consecutive entries; may be empty.
    pub payloads: Vec<Payload>,
    /// All positions up to this one are decided.
    pub decided_through: LogIndex,
    /// All positions before this one are covered by a decided snapshot and may be removed.
    pub truncate_before: LogIndex,
}

impl Accept {
    /// Returns the position of the last entry, or the position before `from` if there are no entries.
    pub fn through(&self) -> LogIndex {
        LogIndex(self.from.0.saturating_add(self.payloads.len() as u64)).previous()
    }
}

/// Asks for the claim on a request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRequest {
    /// The request that may run at most once.
    pub request: RequestId,
    /// When the caller first issued this id, in milliseconds since the Unix epoch.
    pub issued_at_unix_ms: u64,
    /// The attempt to run it.
    pub attempt: AttemptId,
}

/// The start of a page of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PagePosition {
    /// Log entries from this position on.
    Entries(LogIndex),
    /// Claims after this request id; `None` for the first page of claims.
    Claims(Option<RequestId>),
}

impl PagePosition {
    /// The first page.
    pub const START: Self = Self::Entries(LogIndex::ZERO);
}

/// A page of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StatePage {
    /// The replica's log position.
    pub position: LogPosition,
    /// Log entries, each with the epoch under which it was accepted.
    pub entries: Vec<IndexedEntry>,
    /// Claims, in the order of request ids.
    pub claims: Vec<ClaimedRequest>,
    /// The start of the next page, `None` after the last one.
    pub next: Option<PagePosition>,
}

/// A request and the claim on it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimedRequest {
    /// The request.
    pub request: RequestId,
    /// The claim.
    pub record: ClaimRecord,
}

/// Identifies one transfer of state by a reconfigurer, so that pages of two transfers are not mixed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct TransferId(pub String);

impl TransferId {
    /// Returns the id of one pass of this transfer. Pages of an earlier pass do not count for a later one,
    /// since the sources may differ.
    #[must_use]
    pub fn pass(&self, number: u64) -> Self {
        Self(format!("{}/{number}", self.0))
    }
}

/// Parameters of [`Operation::Copy`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CopyPage {
    /// The next generation.
    pub set: ReplicaSet,
    /// The transfer that it belongs to.
    pub transfer: TransferId,
    /// The replica that it was read from.
    pub source: StoreId,
    /// Its number among the pages of that source, from 0.
    pub number: u64,
    /// The page.
    pub page: StatePage,
}

/// Parameters of [`Operation::Install`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Install {
    /// The next generation.
    pub set: ReplicaSet,
    /// The transfer that provided the state.
    pub transfer: TransferId,
    /// Why the copied state is complete.
    pub basis: InstallBasis,
    /// The number of members of the previous set. Sealed sources must be a majority of them.
    pub old_members: u64,
    /// The sources and the number of pages from each.
    pub sources: Vec<CopiedSource>,
    /// The highest ballot and the latest positions and claim expiry time of the sources.
    pub position: LogPosition,
}

/// Why the copied state contains everything that was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum InstallBasis {
    /// The sources are a majority of the sealed set, so they share a member with every majority that decided
    /// an entry.
    SealedMajority,
    /// The source is an active member of the next generation, either installed or begun by its owner. Its
    /// later `decided_through` is not copied, since it may be beyond the pages that were read.
    InstalledMember,
}

/// A replica whose state was copied.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CopiedSource {
    /// The replica.
    pub store: StoreId,
    /// The number of pages that were read from it.
    pub pages: u64,
}

/// A response of one replica of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaResponse {
    /// The shard.
    pub shard: ShardId,
    /// The generation of the request.
    pub generation: Generation,
    /// The store that responds.
    pub store: StoreId,
    /// The result of the operation.
    pub outcome: ReplicaAnswer,
}

/// The result of an operation on a replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReplicaAnswer {
    /// The replica is an active member of the generation.
    Begun,
    /// The ballot is promised.
    Promised {
        /// The promised ballot.
        ballot: Ballot,
        /// The replica's log position.
        position: LogPosition,
        /// The last position with an entry.
        last: LogIndex,
        /// Bytes left for records.
        free_bytes: u64,
    },
    /// Entries from `from` to `through`. A position that is missing in `entries` has no entry.
    Entries {
        /// The reader's ballot.
        ballot: Ballot,
        /// The first position requested.
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
        /// The first position that the replica has not removed.
        base: LogIndex,
        /// Bytes left for records.
        free_bytes: u64,
    },
    /// The vote on a claim.
    Voted {
        /// The request.
        request: RequestId,
        /// The attempt that made the claim.
        attempt: AttemptId,
        /// The vote.
        vote: ClaimVote,
    },
    /// Decided entries.
    Decided {
        /// The first position requested.
        from: LogIndex,
        /// Consecutive entries.
        entries: Vec<IndexedEntry>,
        /// The first position that the replica has not removed.
        base: LogIndex,
        /// The last position that the replica knows to be decided.
        decided_through: LogIndex,
    },
    /// The replica is sealed: it has permanently stopped in the generation.
    Sealed {
        /// The next generation.
        next: ReplicaSet,
        /// The replica's final log position in the generation.
        position: LogPosition,
    },
    /// A page of the replica's state.
    StatePage {
        /// The start of the page.
        from: PagePosition,
        /// The page.
        page: StatePage,
    },
    /// The page is on disk.
    Copied {
        /// The transfer that it belongs to.
        transfer: TransferId,
        /// The replica that it was read from.
        source: StoreId,
        /// The number of the next page expected from that source.
        next: u64,
    },
    /// The member is active in the next generation.
    Installed(Generation),
    /// The operation was refused and changed nothing.
    Refused(StoreRefusal),
}

/// Why a replica refused an operation.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, thiserror::Error)]
pub enum StoreRefusal {
    /// Another store uses the address now, since its disk was replaced.
    #[error("another store, {store}, uses this address; replace the lost member of the replica set")]
    WrongStore {
        /// The store that responds.
        store: StoreId,
    },
    /// The store has no state for this generation and must not start empty.
    #[error("the store has no state for this replica set; install the set's state first")]
    NotInstalled,
    /// The sender's replica set is out of date.
    #[error("the replica set is out of date; use generation {}", current.generation)]
    NewerGeneration {
        /// The set that this replica uses.
        current: ReplicaSet,
    },
    /// This generation is being replaced.
    #[error("the replica set is sealed; finish installing generation {}", next.generation)]
    SealedFor {
        /// The next generation.
        next: ReplicaSet,
    },
    /// A higher ballot is promised to another proposer.
    #[error("the higher ballot {promised} is promised; take the shard over again under a higher epoch")]
    HigherBallot {
        /// The promised ballot.
        promised: Ballot,
    },
    /// The disk has no room for more entries; existing entries are kept.
    #[error("the store's disk is full; free space under its data folder")]
    DiskFull,
    /// The request is not valid in the replica's state, for example pages out of order.
    #[error("the request does not fit the replica's state; start the exchange again")]
    OutOfOrder,
    /// The shard's state on disk can't be read.
    #[error("the store's state for the shard is damaged; replace the store")]
    Damaged,
}
