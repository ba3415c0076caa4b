//! Whose state is copied into the next set, from where on, and what is known of it.

use std::collections::BTreeMap;

use crate::replication::entry::LogIndex;
use crate::replication::group::LogPosition;
use crate::replication::message::{InstallBasis, PagePosition};
use crate::replication::replica_set::{Generation, StoreId};

/// Whose state is copied.
pub(in crate::replication) struct Sources {
    pub(in crate::replication) basis: InstallBasis,
    pub(in crate::replication) generation: Generation,
    pub(in crate::replication) stores: Vec<StoreId>,
    pub(in crate::replication) positions: BTreeMap<StoreId, LogPosition>,
    /// Members of the set that was sealed.
    pub(in crate::replication) old_members: u64,
    /// What the owner knows to be decided; among the pages of a majority there is all of it.
    pub(in crate::replication) known_decided: LogIndex,
}

impl Sources {
    /// Where copying of a source begins for a target: after what is known to be decided there already, be it the
    /// target's own or copied from the sources before. Decided entries are the same everywhere.
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

    /// The later of each mark of the sources, as far as their pages hold what it speaks of. A member of the next set works
    /// on while it is copied: what it knows to be decided may lie in no page, and is learnt from the owner instead.
    pub(in crate::replication) fn position(&self) -> LogPosition {
        let merged = self.positions.values().cloned().fold(LogPosition::default(), LogPosition::merged);
        let decided_through = match self.basis {
            InstallBasis::SealedMajority => merged.decided_through.max(self.known_decided),
            InstallBasis::InstalledMember => merged.base.previous(),
        };
        LogPosition { decided_through, ..merged }
    }
}
