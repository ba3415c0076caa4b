//! The replicas whose state is copied into the next set, and their positions.

use std::collections::BTreeMap;

use crate::replication::entry::LogIndex;
use crate::replication::group::LogPosition;
use crate::replication::message::InstallBasis;
use crate::replication::replica_set::{Generation, StoreId};

/// The replicas whose state is copied.
pub(in crate::replication) struct Sources {
    pub(in crate::replication) basis: InstallBasis,
    pub(in crate::replication) generation: Generation,
    pub(in crate::replication) stores: Vec<StoreId>,
    pub(in crate::replication) positions: BTreeMap<StoreId, LogPosition>,
    /// The number of members of the sealed set.
    pub(in crate::replication) old_members: u64,
    /// The last position that the owner knows to be decided. The pages of a majority contain all entries up
    /// to it.
    pub(in crate::replication) known_decided: LogIndex,
}

impl Sources {
    /// Returns the merged log position of the sources, limited to entries that are in their pages. An
    /// installed member continues to accept entries while it is copied, so its `decided_through` may be
    /// beyond the pages that a target was sent.
    pub(in crate::replication) fn position(&self) -> LogPosition {
        let merged = self.positions.values().cloned().fold(LogPosition::default(), LogPosition::merged);
        let decided_through = match self.basis {
            InstallBasis::SealedMajority => merged.decided_through.max(self.known_decided),
            InstallBasis::InstalledMember => merged.base.previous(),
        };
        LogPosition { decided_through, ..merged }
    }
}
