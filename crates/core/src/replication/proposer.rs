//! A shard's owner: raises the epoch, finishes what an earlier owner may have decided, then appends.
//!
//! The driver asks [`Proposer::poll_transmit`] for requests until there are none, sends them, hands answers to
//! [`Proposer::step`], and calls again by [`Proposer::poll_timeout`] for what got no answer.
//!
//! Invariants: nothing is appended before a majority has promised the ballot and every entry that an earlier owner
//! may have got decided is accepted again; a position never gets two entries under one ballot; a position is
//! called decided only once a majority has it on disk.

mod append;
mod config;
mod event;
mod take_over;
mod transmit;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use self::append::Truncation;
pub use self::config::{ProposerChecks, ProposerConfig};
pub use self::event::{AppendError, EndReason, ProposerEvent, Transmit};
use super::ballot::{Ballot, ProposerId};
use super::entry::LogIndex;
use super::log::{KnownLog, RecoveredLog};
use super::member_progress::MemberProgress;
use super::message::{ReplicaAnswer, ReplicaResponse, StoreRefusal};
use super::recovery::Recovery;
use super::replica_set::{ReplicaSet, StoreId};
use super::window::Window;
use crate::identity::Epoch;
use crate::time::Timestamp;

enum Phase {
    Preparing { raises: u32 },
    Reading(Recovery),
    Confirming { through: LogIndex, recovered: RecoveredLog },
    Leading,
    Ended,
}

/// A shard's owner, or one that wants to be.
pub struct Proposer {
    config: ProposerConfig,
    checks: ProposerChecks,
    set: ReplicaSet,
    ballot: Ballot,
    phase: Phase,
    members: BTreeMap<StoreId, MemberProgress>,
    window: Window,
    decided_through: LogIndex,
    /// What the embedder has read: taking over leaves it out.
    known: KnownLog,
    truncation: Truncation,
    events: VecDeque<ProposerEvent>,
}

impl Proposer {
    /// Begins to take a shard over, under an epoch of at least `at_least`.
    pub fn new(set: ReplicaSet, proposer: ProposerId, at_least: Epoch, config: ProposerConfig) -> Self {
        let epoch = Epoch(at_least.0.max(1));
        let members = set.members.iter().map(|member| (member.store.clone(), MemberProgress::default()));
        Self {
            config,
            checks: ProposerChecks::default(),
            members: members.collect(),
            set,
            ballot: Ballot { epoch, proposer },
            phase: Phase::Preparing { raises: 0 },
            window: Window::default(),
            decided_through: LogIndex::ZERO,
            known: KnownLog::default(),
            truncation: Truncation::default(),
            events: VecDeque::new(),
        }
    }

    /// The same with some mechanisms switched off, for proofs that they are needed.
    #[must_use]
    pub fn with_checks(mut self, checks: ProposerChecks) -> Self {
        self.checks = checks;
        self
    }

    /// The same for an owner that knows what is decided up to a position, from another set or from following the log:
    /// only what follows is read and recovered.
    #[must_use]
    pub const fn with_known(mut self, known: KnownLog) -> Self {
        self.known = known;
        self
    }

    /// The epoch asked for or held.
    pub fn epoch(&self) -> Epoch {
        self.ballot.epoch
    }

    /// The ballot asked for or held.
    pub const fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// The replica set used.
    pub fn set(&self) -> &ReplicaSet {
        &self.set
    }

    /// How many replicas have answered under the present ballot.
    pub fn answered(&self) -> usize {
        self.members.values().filter(|member| member.has_answered()).count()
    }

    /// Everything up to this position is on disk at a majority.
    pub fn decided_through(&self) -> LogIndex {
        self.decided_through
    }

    /// What happened since the last call.
    pub fn poll_event(&mut self) -> Option<ProposerEvent> {
        self.events.pop_front()
    }

    /// When [`Self::poll_transmit`] has something to send again, if nothing is answered before.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.members.values().filter_map(MemberProgress::retry_at).min()
    }

    /// A request could not be delivered: it is sent again after `retry_after`.
    pub fn unreachable(&mut self, now: Timestamp, store: &StoreId, retry_after: Duration) {
        if let Some(member) = self.members.get_mut(store) {
            member.sent(now + retry_after);
        }
    }

    /// Stops for good: what was appended and not decided may or may not be kept.
    pub fn stop(&mut self) {
        self.phase = Phase::Ended;
    }

    /// Takes an answer.
    pub fn step(&mut self, now: Timestamp, response: ReplicaResponse) {
        let stale = response.shard != self.set.shard || response.generation != self.set.generation;
        if stale || !self.members.contains_key(&response.store) {
            return;
        }
        let store = response.store;
        match response.outcome {
            ReplicaAnswer::Begun => self.member(&store, MemberProgress::begun),
            ReplicaAnswer::Promised { ballot, position, last, free_bytes } if ballot == self.ballot => {
                self.member(&store, |member| member.promised(position, last, free_bytes));
                self.after_promise(&store);
            }
            ReplicaAnswer::Entries { ballot, from, through, entries } if ballot == self.ballot => {
                self.member(&store, MemberProgress::answered);
                if let Phase::Reading(recovery) = &mut self.phase {
                    recovery.add(&store, from, through, entries);
                }
                self.finish_reading();
            }
            ReplicaAnswer::Accepted { ballot, through, base, free_bytes, .. } if ballot == self.ballot => {
                self.member(&store, |member| member.accepted(through, base, free_bytes));
                self.after_accept();
            }
            ReplicaAnswer::Refused(refusal) => self.refused(now, &store, refusal),
            _ => {}
        }
    }

    fn member(&mut self, store: &StoreId, change: impl FnOnce(&mut MemberProgress)) {
        if let Some(member) = self.members.get_mut(store) {
            change(member);
        }
    }

    fn refused(&mut self, now: Timestamp, store: &StoreId, refusal: StoreRefusal) {
        let retry_at = now + self.config.retransmit_after;
        match refusal {
            StoreRefusal::HigherBallot { promised } if !promised.admits(&self.ballot) => {
                self.outbid(promised.epoch)
            }
            StoreRefusal::SealedFor { next } => self.end(EndReason::Replaced { next }),
            StoreRefusal::NewerGeneration { current } => self.end(EndReason::Replaced { next: current }),
            StoreRefusal::NotInstalled => {
                self.member(store, |member| member.not_installed(retry_at));
                self.check_installed();
            }
            _ => self.member(store, |member| member.abstains(retry_at)),
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
