//! Replaces a shard's replica set by the next generation: seals a majority of the old set, copies its state,
//! and installs a majority of the next set.
//!
//! Invariant: no two generations can decide entries at the same time. A majority of the old set is sealed
//! before any member is installed, so the old set can no longer decide. The next set cannot decide until a
//! majority of it is installed, and each installed member has everything that the old set may have decided.
//!
//! Every step may be repeated and none depends on the platform, so any node that meets a sealed replica can
//! run the reconfiguration again from the start. A member that is late copies the state of an installed
//! member: since it was not active before, it may begin with any earlier state of the others.

mod copying;
mod joiner_delay;
mod sealing;
mod sources;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use self::joiner_delay::JoinerDelay;
use self::sealing::SealProgress;
pub(super) use self::sources::Sources;
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

/// Safety checks of a reconfigurer. All are enabled in production; tests disable one to show that it is
/// needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReconfigurerChecks {
    /// Seals a majority of the old set before copying.
    pub seal_majority: bool,
    /// Copies state before installing.
    pub copy: bool,
    /// Stops an owner's reconfiguration once a replica has promised a higher ballot.
    pub stop_superseded: bool,
}

impl Default for ReconfigurerChecks {
    fn default() -> Self {
        Self { seal_majority: true, copy: true, stop_superseded: true }
    }
}

/// The progress of a reconfiguration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconfigurerEvent {
    /// A majority of the next set is installed. Copying to the other members continues.
    Installed,
    /// All members of the next set are installed.
    Complete,
    /// A replica reported a later set, so this reconfiguration was completed before.
    AlreadyReplaced(ReplicaSet),
    /// The owner that runs the reconfiguration was superseded. Nothing more is sent.
    Superseded {
        /// The epoch of the new owner.
        highest: Epoch,
    },
}

/// The log owner that runs a reconfiguration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOwner {
    /// The ballot that it continues to use in the next set.
    pub ballot: Ballot,
    /// The last position that the old set decided, which newly installed members learn at once.
    pub decided_through: LogIndex,
}

/// One run of a reconfiguration, without I/O.
pub struct Reconfigurer {
    checks: ReconfigurerChecks,
    retransmit_after: Duration,
    /// The log owner that runs it, `None` if another node completes an interrupted reconfiguration.
    owner: Option<ChangeOwner>,
    old: ReplicaSet,
    next: ReplicaSet,
    transfer: TransferId,
    sealing: BTreeMap<StoreId, SealProgress>,
    /// Whether members of the old set that were never active may begin in order to be sealed. This is safe
    /// because a reconfiguration only starts once a majority of the old set is installed.
    may_begin_old: bool,
    sealed: VoteCount,
    /// Log positions of the sealed members.
    sealed_positions: BTreeMap<StoreId, LogPosition>,
    sources: Option<Sources>,
    targets: BTreeMap<StoreId, CopyTarget>,
    joiner_delay: JoinerDelay,
    installed: VoteCount,
    events: VecDeque<ReconfigurerEvent>,
    ended: bool,
}

impl Reconfigurer {
    /// Creates a reconfigurer that replaces `old` by `next`, the pending set of the shard. `transfer` must be
    /// unique.
    pub fn new(old: ReplicaSet, next: ReplicaSet, transfer: TransferId, retransmit_after: Duration) -> Self {
        let sealing =
            old.members.iter().map(|member| (member.store.clone(), SealProgress::default())).collect();
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
            joiner_delay: JoinerDelay::Pending,
            installed: VoteCount::default(),
            events: VecDeque::new(),
            ended: false,
        }
    }

    /// Creates a reconfigurer that installs the remaining members of `set` after the others have been
    /// installed.
    pub fn catch_up(set: ReplicaSet, transfer: TransferId, retransmit_after: Duration) -> Self {
        let before = Generation(set.generation.0.saturating_sub(1));
        // Installed members are copied from. The others may still have to be sealed in the previous
        // generation.
        let old = ReplicaSet { generation: before, ..set.clone() };
        let catch_up = Self::new(old, set, transfer, retransmit_after);
        Self { may_begin_old: false, ..catch_up }
    }

    /// Sets which safety checks are enabled, for tests that show that each is needed.
    #[must_use]
    pub fn with_checks(mut self, checks: ReconfigurerChecks) -> Self {
        self.checks = checks;
        self
    }

    /// Sets the log owner that runs the reconfiguration. It stops once a replica reports a higher ballot.
    #[must_use]
    pub fn with_owner(mut self, owner: ChangeOwner) -> Self {
        self.owner = Some(owner);
        self
    }

    /// Returns the next event, or `None` if there are no more.
    pub fn poll_event(&mut self) -> Option<ReconfigurerEvent> {
        self.events.pop_front()
    }

    /// Returns when [`Self::poll_transmit`] next has a request to send.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let sealing = self.sealing.values().filter_map(|sealing| sealing.retry_at);
        let copying = self.targets.iter().filter(|(store, _)| !self.is_waiting(store));
        let copying = copying.filter_map(|(_, target)| target.retry_at);
        let delayed = match self.joiner_delay {
            JoinerDelay::Until(until) if self.joiners_wait() => Some(until),
            _ => None,
        };
        sealing.chain(copying).chain(delayed).min()
    }

    /// Returns the next request to send.
    pub fn poll_transmit(&mut self, now: Timestamp) -> Option<Transmit> {
        if self.ended {
            return None;
        }
        self.poll_seal(now).or_else(|| self.poll_copy(now))
    }

    /// Handles a response.
    pub fn step(&mut self, response: ReplicaResponse) {
        if self.ended || response.shard != self.old.shard {
            return;
        }
        let store = response.store;
        match response.outcome {
            ReplicaAnswer::Sealed { next, position } if next == self.next => {
                self.handle_sealed(&store, position)
            }
            ReplicaAnswer::Begun => self.handle_begun(&store),
            ReplicaAnswer::StatePage { from, page } => {
                self.handle_page(&store, response.generation, &from, &page)
            }
            ReplicaAnswer::Copied { transfer, source, next } => {
                self.handle_copied(&store, &transfer, &source, next);
            }
            ReplicaAnswer::Installed(generation) if generation == self.next.generation => {
                self.handle_installed(&store);
            }
            ReplicaAnswer::Refused(refusal) => self.handle_refusal(&store, refusal),
            _ => {}
        }
    }

    fn request(&self, to: StoreId, generation: Generation, operation: Operation) -> Transmit {
        let shard = self.old.shard.clone();
        Transmit { to: to.clone(), request: ReplicaRequest { shard, generation, store: to, operation } }
    }

    fn handle_refusal(&mut self, store: &StoreId, refusal: StoreRefusal) {
        match refusal {
            StoreRefusal::NewerGeneration { current } if current == self.next => self.adopt_installed(store),
            StoreRefusal::NewerGeneration { current } if current.generation > self.next.generation => {
                self.end(ReconfigurerEvent::AlreadyReplaced(current));
            }
            StoreRefusal::NotInstalled => self.handle_not_installed(store),
            StoreRefusal::OutOfOrder => {
                if let Some(target) = self.targets.get_mut(store) {
                    target.restart(target.retry_at);
                }
            }
            _ => {}
        }
    }

    /// Returns whether a replica has promised a higher ballot than the owner's, and ends the reconfiguration
    /// if so.
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
