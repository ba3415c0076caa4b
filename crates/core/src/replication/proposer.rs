//! The owner of a shard's log, as a Paxos proposer without I/O.
//!
//! It raises the epoch, completes entries that earlier owners may have got decided, then appends. The driver
//! calls [`Proposer::poll_transmit`] until it returns `None`, sends the requests, passes responses to
//! [`Proposer::step`], and polls again at [`Proposer::poll_timeout`] to resend unanswered requests.
//!
//! Invariants: nothing is appended before a majority has promised the ballot and has accepted again every
//! entry that an earlier owner may have got decided; a position never gets two entries under one ballot; a
//! position is reported as decided only once a majority has its entry on disk.

mod append;
mod config;
mod event;
mod take_over;
mod transmit;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use self::append::Truncation;
pub use self::config::{ProposerChecks, ProposerConfig, transfer_time};
pub use self::event::{AppendError, EndReason, ProposerEvent, Transmit};
use super::ballot::{Ballot, ProposerId};
use super::entry::LogIndex;
use super::log::{KnownLog, RecoveredLog};
use super::member_progress::MemberProgress;
use super::message::{ReplicaAnswer, ReplicaResponse, StoreRefusal};
use super::recovery::Recovery;
use super::replica_set::{ReplicaSet, StoreId};
use super::snapshot_parts::SnapshotParts;
use super::window::SendWindow;
use crate::identity::Epoch;
use crate::time::Timestamp;

enum Phase {
    Preparing { epoch_raises: u32 },
    Reading(Recovery),
    Confirming { through: LogIndex, recovered: RecoveredLog },
    Leading,
    Ended,
}

/// The owner of a shard, or a candidate that is taking it over.
pub struct Proposer {
    config: ProposerConfig,
    checks: ProposerChecks,
    set: ReplicaSet,
    ballot: Ballot,
    phase: Phase,
    members: BTreeMap<StoreId, MemberProgress>,
    window: SendWindow,
    decided_through: LogIndex,
    /// The prefix of the log that the driver has read, which a take-over does not read again.
    known: KnownLog,
    truncation: Truncation,
    /// Parts of a snapshot that are not appended yet.
    snapshot: Option<SnapshotParts>,
    events: VecDeque<ProposerEvent>,
}

impl Proposer {
    /// Creates a proposer that takes a shard over under an epoch of at least `minimum_epoch`.
    pub fn new(set: ReplicaSet, proposer: ProposerId, minimum_epoch: Epoch, config: ProposerConfig) -> Self {
        let epoch = Epoch(minimum_epoch.0.max(1));
        let members = set.members.iter().map(|member| (member.store.clone(), MemberProgress::default()));
        Self {
            config,
            checks: ProposerChecks::default(),
            members: members.collect(),
            set,
            ballot: Ballot { epoch, proposer },
            phase: Phase::Preparing { epoch_raises: 0 },
            window: SendWindow::default(),
            decided_through: LogIndex::ZERO,
            known: KnownLog::default(),
            truncation: Truncation::default(),
            snapshot: None,
            events: VecDeque::new(),
        }
    }

    /// Sets which safety checks are enabled, for tests that show that each is needed.
    #[must_use]
    pub fn with_checks(mut self, checks: ProposerChecks) -> Self {
        self.checks = checks;
        self
    }

    /// Sets the decided prefix of the log that the owner knows, from the previous set or from following the
    /// log. Only later entries are read and recovered.
    #[must_use]
    pub const fn with_known(mut self, known: KnownLog) -> Self {
        self.known = known;
        self
    }

    /// Returns the epoch requested or held.
    pub fn epoch(&self) -> Epoch {
        self.ballot.epoch
    }

    /// Returns the ballot requested or held.
    pub const fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Returns the replica set in use.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// Returns the number of replicas that have responded under the current ballot.
    pub fn answered(&self) -> usize {
        self.members.values().filter(|member| member.has_answered()).count()
    }

    /// Returns the last position up to which all entries are on disk at a majority.
    pub fn decided_through(&self) -> LogIndex {
        self.decided_through
    }

    /// Returns the next event, or `None` if there are no more.
    pub fn poll_event(&mut self) -> Option<ProposerEvent> {
        self.events.pop_front()
    }

    /// Returns when [`Self::poll_transmit`] next has a request to resend, unless a response arrives before.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.members.values().filter_map(MemberProgress::retry_at).min()
    }

    /// Reports that a request to `store` could not be delivered. It is sent again after `retry_after`.
    pub fn unreachable(&mut self, now: Timestamp, store: &StoreId, retry_after: Duration) {
        if let Some(member) = self.members.get_mut(store) {
            member.mark_sent(now + retry_after);
        }
    }

    /// Stops permanently. Entries that were appended but not decided may or may not survive.
    pub fn stop(&mut self) {
        self.phase = Phase::Ended;
    }

    /// Handles a response.
    pub fn step(&mut self, now: Timestamp, response: ReplicaResponse) {
        let stale = response.shard != self.set.shard || response.generation != self.set.generation;
        if stale || !self.members.contains_key(&response.store) {
            return;
        }
        let store = response.store;
        match response.outcome {
            ReplicaAnswer::Begun => self.update_member(&store, MemberProgress::mark_begun),
            ReplicaAnswer::Promised { ballot, position, last, free_bytes } if ballot == self.ballot => {
                self.update_member(&store, |member| member.record_promise(position, last, free_bytes));
                self.handle_promise(&store);
            }
            ReplicaAnswer::Entries { ballot, from, through, entries } if ballot == self.ballot => {
                self.update_member(&store, MemberProgress::mark_answered);
                if let Phase::Reading(recovery) = &mut self.phase {
                    recovery.add(&store, from, through, entries);
                }
                self.finish_reading();
            }
            ReplicaAnswer::Accepted { ballot, through, base, free_bytes, .. } if ballot == self.ballot => {
                self.update_member(&store, |member| member.record_accept(through, base, free_bytes));
                self.handle_accept();
            }
            ReplicaAnswer::Refused(refusal) => self.handle_refusal(now, &store, refusal),
            _ => {}
        }
    }

    fn update_member(&mut self, store: &StoreId, change: impl FnOnce(&mut MemberProgress)) {
        if let Some(member) = self.members.get_mut(store) {
            change(member);
        }
    }

    fn handle_refusal(&mut self, now: Timestamp, store: &StoreId, refusal: StoreRefusal) {
        let retry_at = now + self.config.retransmit_after;
        match refusal {
            StoreRefusal::HigherBallot { promised } if !promised.admits(&self.ballot) => {
                self.handle_higher_epoch(promised.epoch)
            }
            StoreRefusal::SealedFor { next } => self.end(EndReason::Replaced { next }),
            StoreRefusal::NewerGeneration { current } => self.end(EndReason::Replaced { next: current }),
            StoreRefusal::NotInstalled => {
                self.update_member(store, |member| member.mark_not_installed(retry_at));
                self.check_installed();
            }
            _ => self.update_member(store, |member| member.defer(retry_at)),
        }
    }

    fn end(&mut self, reason: EndReason) {
        if matches!(self.phase, Phase::Ended) {
            return;
        }
        self.phase = Phase::Ended;
        self.events.push_back(ProposerEvent::Ended(reason));
    }
}
