//! Replaces a shard's replica set by the next generation: seal a majority, copy it, install a majority.
//!
//! Invariant: at no time can two generations decide. A majority of the old set is sealed before anything is
//! installed, so the old one decides nothing any more; the next one decides nothing before a majority of it is
//! installed, each with all that the old one may have decided. Whoever meets a sealed replica can run this again
//! from the start: nothing in it needs the platform, and every step may be repeated. A member that is late is
//! copied to from one that is installed: since it has not taken part yet, it may begin with anything that
//! the others once had.

mod copying;
mod sealing;
mod sources;
mod staying_first;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use self::sealing::Sealing;
pub(super) use self::sources::Sources;
use self::staying_first::StayingFirst;
use super::ballot::Ballot;
use super::copy_target::CopyTarget;
use super::entry::LogIndex;
use super::group::LogPosition;
use super::message::{Operation, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StoreRefusal, TransferId};
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
    AlreadyReplaced(ReplicaSet),
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

    fn request(&self, to: StoreId, generation: Generation, operation: Operation) -> Transmit {
        let shard = self.old.shard.clone();
        Transmit { to: to.clone(), request: ReplicaRequest { shard, generation, store: to, operation } }
    }

    fn refused(&mut self, store: &StoreId, refusal: StoreRefusal) {
        match refusal {
            StoreRefusal::NewerGeneration { current } if current == self.next => self.found_installed(store),
            StoreRefusal::NewerGeneration { current } if current.generation > self.next.generation => {
                self.end(ReconfigurerEvent::AlreadyReplaced(current));
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
