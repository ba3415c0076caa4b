//! Copying the state of the sources to members of the next set, and installing these members.

use std::collections::BTreeMap;

use super::{Reconfigurer, ReconfigurerEvent, Sources, Transmit};
use crate::replication::message::{InstallBasis, PagePosition, StatePage, TransferId};
use crate::replication::replica_set::{Generation, StoreId};
use crate::time::Timestamp;

impl Reconfigurer {
    pub(super) fn poll_copy(&mut self, now: Timestamp) -> Option<Transmit> {
        self.sources.as_ref()?;
        let retry_at = now + self.retransmit_after;
        self.update_joiner_delay(now);
        let waiting: Vec<StoreId> =
            self.targets.keys().filter(|store| self.is_waiting(store)).cloned().collect();
        let sources = self.sources.as_ref()?;
        let (next, transfer) = (&self.next, &self.transfer);
        let found = self.targets.iter_mut().find_map(|(store, target)| {
            if !target.is_due(now) || waiting.contains(store) {
                return None;
            }
            let (to, generation, operation) = target.next_request(store, sources, next, transfer)?;
            target.retry_at = Some(retry_at);
            Some((to, generation, operation))
        });
        let (to, generation, operation) = found?;
        Some(self.request(to, generation, operation))
    }

    /// Returns whether copying to a member waits, for the answer to its seal or for staying members.
    pub(super) fn is_waiting(&self, store: &StoreId) -> bool {
        self.awaits_position(store) || (self.joiners_wait() && !self.sealed_positions.contains_key(store))
    }

    pub(super) fn copy_from(&mut self, basis: InstallBasis, generation: Generation, stores: Vec<StoreId>) {
        let positions = match basis {
            InstallBasis::SealedMajority => self.sealed_positions.clone(),
            InstallBasis::InstalledMember => BTreeMap::new(),
        };
        let known_decided = self.owner.as_ref().map(|owner| owner.decided_through).unwrap_or_default();
        let old_members = self.old.members.len() as u64;
        self.sources = Some(Sources { basis, generation, stores, positions, old_members, known_decided });
        for target in self.targets.values_mut() {
            target.restart(None);
            target.skip_copying(!self.checks.copy);
        }
    }

    pub(super) fn handle_page(
        &mut self,
        store: &StoreId,
        generation: Generation,
        from: &PagePosition,
        page: &StatePage,
    ) {
        if self.is_superseded(&page.position.promised) {
            return;
        }
        let Some(sources) = &mut self.sources else { return };
        if generation != sources.generation || !sources.stores.contains(store) {
            return;
        }
        // Pages for several targets may arrive out of order, but a position never goes back.
        let known = sources.positions.entry(store.clone()).or_default();
        *known = known.clone().merged(page.position.clone());
        for target in self.targets.values_mut() {
            target.handle_page(sources, store, from, page);
        }
    }

    pub(super) fn handle_copied(
        &mut self,
        store: &StoreId,
        transfer: &TransferId,
        source: &StoreId,
        next: u64,
    ) {
        let target = self.targets.get_mut(store);
        let target = target.filter(|target| target.is_current_pass(&self.transfer, transfer));
        if let (Some(sources), Some(target)) = (&self.sources, target) {
            target.handle_copied(sources, source, next);
            self.extend_joiner_delay(store);
        }
    }

    pub(super) fn handle_installed(&mut self, store: &StoreId) {
        if self.next.member(store).is_none() {
            return;
        }
        if self.targets.remove(store).is_none() {
            return;
        }
        self.installed.add(store);
        self.extend_joiner_delay(store);
        if self.installed.len() == self.next.majority() {
            self.events.push_back(ReconfigurerEvent::Installed);
        }
        if self.targets.is_empty() {
            self.end(ReconfigurerEvent::Complete);
        }
    }

    /// Handles a member that is installed already, by this run or another. It has the complete state, so the
    /// other members copy from it from now on.
    pub(super) fn adopt_installed(&mut self, store: &StoreId) {
        self.sealing.remove(store);
        self.handle_installed(store);
        let sources = self.sources.as_ref();
        let copies_sealed = sources.is_none_or(|sources| sources.basis == InstallBasis::SealedMajority);
        if copies_sealed && !self.ended {
            let generation = self.next.generation;
            self.copy_from(InstallBasis::InstalledMember, generation, vec![store.clone()]);
        }
    }
}
