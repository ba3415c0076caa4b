//! Sealing the old set. Once a majority is sealed, the old set can no longer decide, and copying begins.

use super::{Reconfigurer, Transmit};
use crate::replication::group::LogPosition;
use crate::replication::message::{InstallBasis, Operation};
use crate::replication::replica_set::StoreId;
use crate::time::Timestamp;

/// A member of the old set that is not sealed yet.
#[derive(Default)]
pub(super) struct SealProgress {
    pub(super) retry_at: Option<Timestamp>,
    pub(super) must_begin: bool,
    /// Whether it has answered that it was never active in the old set.
    pub(super) not_installed: bool,
}

impl Reconfigurer {
    pub(super) fn poll_seal(&mut self, now: Timestamp) -> Option<Transmit> {
        let is_due = |sealing: &SealProgress| sealing.retry_at.is_none_or(|at| at <= now);
        let (to, sealing) = self.sealing.iter_mut().find(|(_, sealing)| is_due(sealing))?;
        sealing.retry_at = Some(now + self.retransmit_after);
        let (to, must_begin) = (to.clone(), sealing.must_begin);
        let begin = || Operation::Begin(self.old.clone());
        let operation = if must_begin { begin() } else { Operation::Seal(self.next.clone()) };
        Some(self.request(to, self.old.generation, operation))
    }

    pub(super) fn handle_begun(&mut self, store: &StoreId) {
        if let Some(sealing) = self.sealing.get_mut(store) {
            *sealing = SealProgress::default();
        }
    }

    pub(super) fn handle_not_installed(&mut self, store: &StoreId) {
        let Some(sealing) = self.sealing.get_mut(store) else { return };
        sealing.not_installed = true;
        if self.may_begin_old && !sealing.must_begin {
            (sealing.retry_at, sealing.must_begin) = (None, true);
        }
    }

    /// Returns whether the log position of a member of the old set may still become known.
    pub(super) fn awaits_position(&self, store: &StoreId) -> bool {
        self.sealing.get(store).is_some_and(|sealing| !sealing.not_installed)
    }

    pub(super) fn handle_sealed(&mut self, store: &StoreId, position: LogPosition) {
        if self.is_superseded(&position.promised) || self.sealing.remove(store).is_none() {
            return;
        }
        if let Some(target) = self.targets.get_mut(store) {
            target.handle_sealed(&position);
        }
        self.sealed.add(store);
        self.sealed_positions.insert(store.clone(), position);
        let needed = if self.checks.seal_majority { self.old.majority() } else { 1 };
        if self.sources.is_none() && self.sealed.len() >= needed {
            let mut stores: Vec<StoreId> = self.sealed_positions.keys().cloned().collect();
            // Decided entries are copied from the member that knows the most of them.
            stores.sort_by_key(|store| {
                std::cmp::Reverse(self.sealed_positions.get(store).map(|position| position.decided_through))
            });
            self.copy_from(InstallBasis::SealedMajority, self.old.generation, stores);
        }
    }
}
