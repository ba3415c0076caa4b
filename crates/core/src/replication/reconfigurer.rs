//! Replaces a shard's replica set by the next generation: seal a majority, copy it, install a majority.
//!
//! Invariant: at no time can two generations decide. A majority of the old set is sealed before anything is
//! installed, so the old one decides nothing any more; the next one decides nothing before a majority of it is
//! installed, each with all that the old one may have decided. Whoever meets a sealed replica can run this again
//! from the start: nothing in it needs the platform, and every step may be repeated. A member that is late is
//! copied to from one that is installed: since it has not taken part yet, it may begin with anything that
//! the others once had.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::ballot::Ballot;
use super::copy_target::CopyTarget;
use super::entry::LogIndex;
use super::group::LogPosition;
use super::message::{
    InstallBasis, Operation, PagePosition, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StatePage,
    StoreRefusal, TransferId,
};
use super::proposer::Transmit;
use super::quorum::VoteCount;
use super::replica_set::{Generation, ReplicaSet, StoreId};
use crate::identity::Epoch;
use crate::time::Timestamp;

/// Mechanisms of a reconfigurer. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReconfigurerChecks {
    /// Seal a majority of the old set before copying.
    pub seal_majority: bool,
    /// Copy before installing.
    pub copy: bool,
    /// Have an owner stop once a replica has promised a higher ballot.
    pub stop_superseded: bool,
}

impl Default for ReconfigurerChecks {
    fn default() -> Self {
        Self { seal_majority: true, copy: true, stop_superseded: true }
    }
}

/// How far a change of replica set has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconfigurerEvent {
    /// A majority of the next set takes part in it. Copying to the others goes on.
    Installed,
    /// All of the next set takes part in it.
    Complete,
    /// A still later set is known: this change was finished before.
    Overtaken(ReplicaSet),
    /// The owner for whom it was run was superseded: nothing more is sent.
    Superseded {
        /// The epoch of the owner that is ahead.
        highest: Epoch,
    },
}

/// The owner of the log that changes its stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOwner {
    /// The ballot under which it goes on in the next set.
    pub ballot: Ballot,
    /// All that the old set decided; members that it installs know this from the start.
    pub decided_through: LogIndex,
}

/// One run of a change of replica set.
pub struct Reconfigurer {
    checks: ReconfigurerChecks,
    retransmit_after: Duration,
    /// For whom it is run; `None` where whoever met a change that was begun finishes it.
    owner: Option<ChangeOwner>,
    old: ReplicaSet,
    next: ReplicaSet,
    transfer: TransferId,
    sealing: BTreeMap<StoreId, Sealing>,
    /// Whether members of the old set that never took part may begin, to be sealed: a change is only begun once a
    /// majority of the old set has been installed.
    may_begin_old: bool,
    sealed: VoteCount,
    /// Marks of the members that are sealed.
    sealed_positions: BTreeMap<StoreId, LogPosition>,
    sources: Option<Sources>,
    targets: BTreeMap<StoreId, CopyTarget>,
    staying_first: StayingFirst,
    installed: VoteCount,
    events: VecDeque<ReconfigurerEvent>,
    ended: bool,
}

/// Whether members that stay go before those that join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StayingFirst {
    /// Nothing is copied yet.
    Pending,
    /// Until then.
    Until(Timestamp),
    /// No more.
    Over,
}

/// How long members that join wait for those that stay. These have nearly all there is already, and behind the pages
/// of a whole log their few requests would wait: without them nothing is decided meanwhile.
const STAYING_FIRST: Duration = Duration::from_millis(1_500);

/// A member of the old set that is not sealed yet.
#[derive(Default)]
struct Sealing {
    retry_at: Option<Timestamp>,
    must_begin: bool,
}

/// Whose state is copied.
pub(super) struct Sources {
    pub(super) basis: InstallBasis,
    pub(super) generation: Generation,
    pub(super) stores: Vec<StoreId>,
    pub(super) positions: BTreeMap<StoreId, LogPosition>,
    /// Members of the set that was sealed.
    pub(super) old_members: u64,
    /// What the owner knows to be decided; among the pages of a majority there is all of it.
    pub(super) known_decided: LogIndex,
}

impl Sources {
    /// Where copying of a source begins for a target: after what is known to be decided there already, be it the
    /// target's own or copied from the sources before. Decided entries are the same everywhere.
    pub(super) fn start(&self, source: usize, target: &StoreId) -> PagePosition {
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
    pub(super) fn position(&self) -> LogPosition {
        let merged = self.positions.values().cloned().fold(LogPosition::default(), LogPosition::merged);
        let decided_through = match self.basis {
            InstallBasis::SealedMajority => merged.decided_through.max(self.known_decided),
            InstallBasis::InstalledMember => merged.base.previous(),
        };
        LogPosition { decided_through, ..merged }
    }
}

impl Reconfigurer {
    /// Begins to replace `old` by `next`, which must be the pending set of the shard. `transfer` must be unique.
    pub fn new(old: ReplicaSet, next: ReplicaSet, transfer: TransferId, retransmit_after: Duration) -> Self {
        let sealing = old.members.iter().map(|member| (member.store.clone(), Sealing::default())).collect();
        let targets = next.members.iter().map(|member| (member.store.clone(), CopyTarget::default()));
        Self {
            checks: ReconfigurerChecks::default(),
            retransmit_after,
            owner: None,
            targets: targets.collect(),
            old,
            next,
            transfer,
            sealing,
            may_begin_old: true,
            sealed: VoteCount::default(),
            sealed_positions: BTreeMap::new(),
            sources: None,
            staying_first: StayingFirst::Pending,
            installed: VoteCount::default(),
            events: VecDeque::new(),
            ended: false,
        }
    }

    /// Begins to bring in members of `set` that have not been installed while the others have.
    pub fn catch_up(set: ReplicaSet, transfer: TransferId, retransmit_after: Duration) -> Self {
        let before = Generation(set.generation.0.saturating_sub(1));
        // Those that are installed are copied from; those that are not yet may be sealed in the generation before.
        let old = ReplicaSet { generation: before, ..set.clone() };
        let catch_up = Self::new(old, set, transfer, retransmit_after);
        Self { may_begin_old: false, ..catch_up }
    }

    /// The same with some mechanisms switched off, for proofs that they are needed.
    #[must_use]
    pub fn with_checks(mut self, checks: ReconfigurerChecks) -> Self {
        self.checks = checks;
        self
    }

    /// The same for the log's owner, which stops once it meets a higher ballot.
    #[must_use]
    pub fn with_owner(mut self, owner: ChangeOwner) -> Self {
        self.owner = Some(owner);
        self
    }

    /// What happened since the last call.
    pub fn poll_event(&mut self) -> Option<ReconfigurerEvent> {
        self.events.pop_front()
    }

    /// When [`Self::poll_transmit`] has something to send again.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let sealing = self.sealing.values().filter_map(|sealing| sealing.retry_at);
        let copying = self.targets.values().filter_map(|target| target.retry_at);
        let joining = match self.staying_first {
            StayingFirst::Until(until) => Some(until),
            StayingFirst::Pending | StayingFirst::Over => None,
        };
        sealing.chain(copying).chain(joining).min()
    }

    /// The next request to send.
    pub fn poll_transmit(&mut self, now: Timestamp) -> Option<Transmit> {
        if self.ended {
            return None;
        }
        self.poll_seal(now).or_else(|| self.poll_copy(now))
    }

    /// Takes an answer.
    pub fn step(&mut self, response: ReplicaResponse) {
        if self.ended || response.shard != self.old.shard {
            return;
        }
        let store = response.store;
        match response.outcome {
            ReplicaAnswer::Sealed { next, position } if next == self.next => {
                self.after_seal(&store, position)
            }
            ReplicaAnswer::Begun => self.begun(&store),
            ReplicaAnswer::StatePage { from, page } => {
                self.page_read(&store, response.generation, &from, &page)
            }
            ReplicaAnswer::Copied { transfer, source, next } if transfer.is_pass_of(&self.transfer) => {
                self.copied(&store, &source, next);
            }
            ReplicaAnswer::Installed(generation) if generation == self.next.generation => {
                self.after_install(&store);
            }
            ReplicaAnswer::Refused(refusal) => self.refused(&store, refusal),
            _ => {}
        }
    }

    fn poll_seal(&mut self, now: Timestamp) -> Option<Transmit> {
        let is_due = |sealing: &Sealing| sealing.retry_at.is_none_or(|at| at <= now);
        let (to, sealing) = self.sealing.iter_mut().find(|(_, sealing)| is_due(sealing))?;
        sealing.retry_at = Some(now + self.retransmit_after);
        let (to, must_begin) = (to.clone(), sealing.must_begin);
        let begin = || Operation::Begin(self.old.clone());
        let operation = if must_begin { begin() } else { Operation::Seal(self.next.clone()) };
        Some(self.request(to, self.old.generation, operation))
    }

    fn poll_copy(&mut self, now: Timestamp) -> Option<Transmit> {
        self.sources.as_ref()?;
        let retry_at = now + self.retransmit_after;
        let staying_first = self.update_staying_first(now);
        let sources = self.sources.as_ref()?;
        let (next, transfer, stays) = (&self.next, &self.transfer, &self.sealed_positions);
        let found = self.targets.iter_mut().find_map(|(store, target)| {
            if !target.is_due(now) || (staying_first && !stays.contains_key(store)) {
                return None;
            }
            let (to, generation, operation) = target.wanted(store, sources, next, transfer)?;
            target.retry_at = Some(retry_at);
            Some((to, generation, operation))
        });
        let (to, generation, operation) = found?;
        Some(self.request(to, generation, operation))
    }

    /// Whether members that join wait now.
    ///
    /// Invariant: once the time is over it is no time-out any more, so that a driver does not wake for it without end.
    fn update_staying_first(&mut self, now: Timestamp) -> bool {
        if self.staying_first == StayingFirst::Pending {
            self.staying_first = StayingFirst::Until(now + STAYING_FIRST);
        }
        let is_waiting = matches!(self.staying_first, StayingFirst::Until(until) if now < until);
        if !is_waiting || !self.can_decide_without_joining() {
            self.staying_first = StayingFirst::Over;
        }
        self.staying_first != StayingFirst::Over
    }

    /// Whether a majority of the next set is sealed, and not yet installed.
    fn can_decide_without_joining(&self) -> bool {
        let staying = self.sealed_positions.keys().filter(|store| self.next.member(store).is_some());
        let majority = self.next.majority();
        self.installed.len() < majority && staying.count() >= majority
    }

    fn request(&self, to: StoreId, generation: Generation, operation: Operation) -> Transmit {
        let shard = self.old.shard.clone();
        Transmit { to: to.clone(), request: ReplicaRequest { shard, generation, store: to, operation } }
    }

    fn begun(&mut self, store: &StoreId) {
        if let Some(sealing) = self.sealing.get_mut(store) {
            *sealing = Sealing::default();
        }
    }

    fn not_installed(&mut self, store: &StoreId) {
        if let Some(sealing) = self.sealing.get_mut(store).filter(|sealing| !sealing.must_begin) {
            *sealing = Sealing { retry_at: None, must_begin: true };
        }
    }

    fn after_seal(&mut self, store: &StoreId, position: LogPosition) {
        if self.is_superseded(&position.promised) || self.sealing.remove(store).is_none() {
            return;
        }
        self.sealed.add(store);
        self.sealed_positions.insert(store.clone(), position);
        let needed = if self.checks.seal_majority { self.old.majority() } else { 1 };
        if self.sources.is_none() && self.sealed.len() >= needed {
            let mut stores: Vec<StoreId> = self.sealed_positions.keys().cloned().collect();
            // What is known to be decided is copied from the one that has most of it.
            stores.sort_by_key(|store| {
                std::cmp::Reverse(self.sealed_positions.get(store).map(|position| position.decided_through))
            });
            self.copy_from(InstallBasis::SealedMajority, self.old.generation, stores);
        }
    }

    fn copy_from(&mut self, basis: InstallBasis, generation: Generation, stores: Vec<StoreId>) {
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

    fn page_read(&mut self, store: &StoreId, generation: Generation, from: &PagePosition, page: &StatePage) {
        if self.is_superseded(&page.position.promised) {
            return;
        }
        let Some(sources) = &mut self.sources else { return };
        if generation != sources.generation || !sources.stores.contains(store) {
            return;
        }
        sources.positions.insert(store.clone(), page.position.clone());
        for target in self.targets.values_mut() {
            target.page_read(sources, store, from, page);
        }
    }

    fn copied(&mut self, store: &StoreId, source: &StoreId, next: u64) {
        let target = self.targets.get_mut(store);
        if let (Some(sources), Some(target)) = (&self.sources, target) {
            target.copied(sources, source, next);
        }
    }

    fn after_install(&mut self, store: &StoreId) {
        if self.next.member(store).is_none() {
            return;
        }
        if self.targets.remove(store).is_none() {
            return;
        }
        self.installed.add(store);
        if self.installed.len() == self.next.majority() {
            self.events.push_back(ReconfigurerEvent::Installed);
        }
        if self.targets.is_empty() {
            self.end(ReconfigurerEvent::Complete);
        }
    }

    fn refused(&mut self, store: &StoreId, refusal: StoreRefusal) {
        match refusal {
            StoreRefusal::NewerGeneration { current } if current == self.next => self.found_installed(store),
            StoreRefusal::NewerGeneration { current } if current.generation > self.next.generation => {
                self.end(ReconfigurerEvent::Overtaken(current));
            }
            StoreRefusal::NotInstalled if self.may_begin_old => self.not_installed(store),
            StoreRefusal::OutOfOrder => {
                if let Some(target) = self.targets.get_mut(store) {
                    target.restart(target.retry_at);
                }
            }
            _ => {}
        }
    }

    /// This run or another got this far: the installed member has all there is to copy.
    fn found_installed(&mut self, store: &StoreId) {
        self.sealing.remove(store);
        self.after_install(store);
        let sources = self.sources.as_ref();
        let copies_sealed = sources.is_none_or(|sources| sources.basis == InstallBasis::SealedMajority);
        if copies_sealed && !self.ended {
            let generation = self.next.generation;
            self.copy_from(InstallBasis::InstalledMember, generation, vec![store.clone()]);
        }
    }

    /// Whether a replica has promised more than the owner's ballot; nothing is sent for it from then on.
    fn is_superseded(&mut self, promised: &Ballot) -> bool {
        let Some(owner) = self.owner.as_ref().filter(|_| self.checks.stop_superseded) else { return false };
        let is_ahead = !promised.admits(&owner.ballot);
        if is_ahead {
            self.end(ReconfigurerEvent::Superseded { highest: promised.epoch });
        }
        is_ahead
    }

    fn end(&mut self, event: ReconfigurerEvent) {
        self.ended = true;
        self.events.push_back(event);
    }
}
