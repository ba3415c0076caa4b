//! The replicas whose state is copied into the next set, and the positions to copy from.

use std::collections::BTreeMap;

use crate::replication::entry::LogIndex;
use crate::replication::group::LogPosition;
use crate::replication::message::{InstallBasis, PagePosition};
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
    /// Returns the position at which copying from a source to a target starts: after the decided entries that
    /// the target has itself or gets from the preceding sources, since a decided entry is the same on all
    /// replicas.
    pub(in crate::replication) fn start(&self, source: usize, target: &StoreId) -> PagePosition {
        let before = self.stores.iter().take(source).chain(std::iter::once(target));
        let decided =
            before.filter_map(|store| self.positions.get(store)).map(|position| position.decided_through);
        let decided = decided.max().unwrap_or_default();
        if self.basis == InstallBasis::InstalledMember || decided == LogIndex::ZERO {
            return PagePosition::START;
        }
        PagePosition::Entries(decided.next())
    }

    /// Returns the merged log position of the sources, limited to entries that are in their pages. An
    /// installed member continues to accept entries while it is copied, so its `decided_through` may be
    /// beyond the pages; the target learns it from the owner instead.
    pub(in crate::replication) fn position(&self) -> LogPosition {
        let merged = self.positions.values().cloned().fold(LogPosition::default(), LogPosition::merged);
        let decided_through = match self.basis {
            InstallBasis::SealedMajority => merged.decided_through.max(self.known_decided),
            InstallBasis::InstalledMember => merged.base.previous(),
        };
        LogPosition { decided_through, ..merged }
    }
}
