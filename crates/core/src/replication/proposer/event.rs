//! What a proposer hands to its driver: requests to send, what has happened, and why it takes no records.

use crate::identity::Epoch;
use crate::replication::entry::LogIndex;
use crate::replication::log::RecoveredLog;
use crate::replication::message::ReplicaRequest;
use crate::replication::replica_set::{ReplicaSet, StoreId};

/// A request on its way out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Where to.
    pub to: StoreId,
    /// What.
    pub request: ReplicaRequest,
}

/// What a proposer reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerEvent {
    /// The shard is taken over: this is all that earlier owners may have got acknowledged.
    Recovered(RecoveredLog),
    /// Everything up to this position is on disk at a majority.
    Decided(LogIndex),
    /// The proposer has stopped for good.
    Ended(EndReason),
}

/// Why a proposer stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Another owner is ahead.
    Superseded {
        /// Its epoch.
        highest: Epoch,
    },
    /// The replica set is being replaced or has been.
    Replaced {
        /// The later set.
        next: ReplicaSet,
    },
    /// Too many members take no part in the set yet: the change that led to it stopped halfway and has to be finished.
    NotInstalled,
    /// A replica doesn't have an entry that it called decided.
    Damaged {
        /// The replica.
        store: StoreId,
    },
}

/// Why records were not taken; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The proposer does not lead: still taking over, or ended.
    #[error("the shard is not taken over; wait for it or take it over again")]
    NotLeading,
    /// Less than a majority of the replicas has room.
    #[error("the store disks are full; free space under the data folder and try again")]
    DiskFull,
    /// Something appended is not decided yet.
    #[error("entries are on their way; wait until they are decided")]
    Undecided,
}
