//! Outputs of a proposer: requests to send, events and append errors.

use crate::identity::Epoch;
use crate::replication::entry::LogIndex;
use crate::replication::log::RecoveredLog;
use crate::replication::message::ReplicaRequest;
use crate::replication::replica_set::{ReplicaSet, StoreId};

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The receiving store.
    pub to: StoreId,
    /// The request.
    pub request: ReplicaRequest,
}

/// An event of a proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerEvent {
    /// The shard is taken over. The log contains all records that earlier owners may have acknowledged.
    Recovered(RecoveredLog),
    /// All entries up to this position are on disk at a majority.
    Decided(LogIndex),
    /// The proposer has stopped permanently.
    Ended(EndReason),
}

/// Why a proposer stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Another owner has a higher epoch.
    Superseded {
        /// Its epoch.
        highest: Epoch,
    },
    /// The replica set is being replaced or has been replaced.
    Replaced {
        /// The later set.
        next: ReplicaSet,
    },
    /// Too many members are not installed in the set yet. The reconfiguration that led to it was interrupted
    /// and has to be completed.
    NotInstalled,
    /// A replica lacks an entry that it reported as decided.
    Damaged {
        /// The replica.
        store: StoreId,
    },
}

/// Why records were not appended. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The proposer does not lead: it is still taking over, or has ended.
    #[error("this owner does not lead the shard; wait until it is taken over, or take it over again")]
    NotLeading,
    /// Fewer than a majority of the replicas have space left.
    #[error("the store disks are full; free space under the data folder and try again")]
    DiskFull,
    /// An appended entry is not decided yet, or a part of a snapshot is not appended yet.
    #[error("some entries are not decided yet; wait until they are")]
    Undecided,
}
