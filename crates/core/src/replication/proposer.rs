//! A shard's owner: raises the epoch, finishes what an earlier owner may have decided, then appends.
//!
//! The driver asks [`Proposer::poll_transmit`] for requests until there are none, sends them, hands answers to
//! [`Proposer::step`], and calls again by [`Proposer::poll_timeout`] for what got no answer.
//!
//! Invariants: nothing is appended before a majority has promised the ballot and every entry that an earlier owner
//! may have got decided is accepted again; a position never gets two entries under one ballot; a position is
//! called decided only once a majority has it on disk.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::ballot::{Ballot, ProposerId};
use super::entry::{ENTRY_OVERHEAD_BYTES, LogIndex, Payload};
use super::log::{KnownLog, RecoveredLog, assemble, split_snapshot};
use super::member_progress::MemberProgress;
use super::message::{Accept, Operation, Read, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StoreRefusal};
use super::quorum::majority;
use super::recovery::Recovery;
use super::replica_set::{Generation, ReplicaSet, StoreId};
use super::window::Window;
use crate::identity::Epoch;
use crate::time::Timestamp;

/// Limits and times of a proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposerConfig {
    /// A request without an answer is sent again after this time.
    pub retransmit_after: Duration,
    /// Bytes of entries in one request; one larger record makes a request of its own.
    pub maximum_batch_bytes: usize,
    /// Bytes of decided entries kept for replicas that are behind; older ones are left to their repair.
    pub window_bytes: usize,
    /// How often a higher epoch met while preparing is outbid before the other proposer is let through.
    pub maximum_raises: u32,
}

impl Default for ProposerConfig {
    fn default() -> Self {
        Self {
            retransmit_after: Duration::from_millis(500),
            maximum_batch_bytes: 1 << 20,
            window_bytes: 8 << 20,
            maximum_raises: 3,
        }
    }
}

/// Mechanisms of a proposer. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposerChecks {
    /// Read a majority and accept again what may be decided.
    pub recover: bool,
    /// Call a position decided only once a majority has it.
    pub wait_for_majority: bool,
    /// Leave out records that a later owner overtook before they were decided.
    pub skip_overtaken: bool,
    /// Go on under the same ballot in the next set, instead of asking for the shard anew.
    pub keep_ballot: bool,
}

impl Default for ProposerChecks {
    fn default() -> Self {
        Self { recover: true, wait_for_majority: true, skip_overtaken: true, keep_ballot: true }
    }
}

/// A request on its way out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Where to.
    pub to: StoreId,
    /// What.
    pub request: ReplicaRequest,
}

/// What a proposer reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerEvent {
    /// The shard is taken over: this is all that earlier owners may have got acknowledged.
    Recovered(RecoveredLog),
    /// Everything up to this position is on disk at a majority.
    Decided(LogIndex),
    /// The proposer has stopped for good.
    Ended(EndReason),
}

/// Why a proposer stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Another owner is ahead.
    Superseded {
        /// Its epoch.
        highest: Epoch,
    },
    /// The replica set is being replaced or has been.
    Replaced {
        /// The later set.
        next: ReplicaSet,
    },
    /// Too many members take no part in the set yet: the change that led to it stopped halfway and has to be finished.
    NotInstalled,
    /// A replica doesn't have an entry that it called decided.
    Damaged {
        /// The replica.
        store: StoreId,
    },
}

/// Why records were not taken; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendRefusal {
    /// The proposer does not lead: still taking over, or ended.
    #[error("the shard is not taken over; wait for it or take it over again")]
    NotLeading,
    /// Less than a majority of the replicas has room.
    #[error("the store disks are full; free space under the data folder and try again")]
    DiskFull,
    /// Something appended is not decided yet.
    #[error("entries are on their way; wait until they are decided")]
    Undecided,
}

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

/// Positions to be dropped.
#[derive(Default)]
struct Truncation {
    /// Covered by a decided snapshot.
    before: LogIndex,
    /// Covered by a snapshot that is not decided yet: the positions of its first and last parts.
    pending: Option<(LogIndex, LogIndex)>,
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

    /// The next request to send.
    pub fn poll_transmit(&mut self, now: Timestamp) -> Option<Transmit> {
        let (to, operation) = self.next_operation(now)?;
        let retry_at = now + self.config.retransmit_after;
        if let Some(member) = self.members.get_mut(&to) {
            member.sent(retry_at);
        }
        let (shard, generation) = (self.set.shard.clone(), self.set.generation);
        let request = ReplicaRequest { shard, generation, store: to.clone(), operation };
        Some(Transmit { to, request })
    }

    /// What to ask whom. A member that is due and of whom nothing is wanted has no time-out any more.
    fn next_operation(&mut self, now: Timestamp) -> Option<(StoreId, Operation)> {
        let due = self.members.iter().filter(|(_, member)| member.may_send(now));
        let due: Vec<StoreId> = due.map(|(store, _)| store.clone()).collect();
        for store in due {
            let wanted = self.members.get(&store).and_then(|member| self.wanted(&store, member));
            match wanted {
                Some(operation) => return Some((store, operation)),
                None => self.member(&store, MemberProgress::idle),
            }
        }
        None
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

    /// Appends records; they are decided once [`ProposerEvent::Decided`] reaches the returned position.
    ///
    /// # Errors
    /// When the proposer does not lead or the disks are full; nothing was sent then.
    pub fn append(&mut self, records: Vec<Vec<u8>>) -> Result<LogIndex, AppendRefusal> {
        self.check_leading()?;
        let bytes: usize = records.iter().map(|record| record.len() + ENTRY_OVERHEAD_BYTES).sum();
        let with_room = self.members.values().filter(|member| member.has_room(bytes as u64)).count();
        if with_room < majority(self.members.len()) {
            return Err(AppendRefusal::DiskFull);
        }
        for record in records {
            self.window.push(Payload::Record { origin: self.ballot.epoch, bytes: record });
        }
        Ok(self.window.last())
    }

    /// Appends the members that are to follow. Once that is decided, this set and no other is the next generation, and
    /// the change may begin; the owner appends nothing after it until it goes on in that set ([`Self::continue_in`]).
    ///
    /// # Errors
    /// When the proposer does not lead.
    pub fn append_next_set(&mut self, set: ReplicaSet) -> Result<LogIndex, AppendRefusal> {
        self.check_leading()?;
        self.window.push(Payload::NextSet { origin: self.ballot.epoch, set });
        Ok(self.window.last())
    }

    /// Goes on in the next set, a majority of which is installed, under the same ballot. Gives the position whose decision
    /// shows that this owner was not superseded: nobody else can get anything decided before it under a lower ballot.
    ///
    /// Invariant: nothing was appended after the entry that names the next set, so that no position gets two entries under
    /// this ballot, and all that the old set decided is known here. A later owner that a majority of the old set has
    /// promised is known to every installed member, which then refuses this one.
    ///
    /// # Errors
    /// When the proposer does not lead, or something that it appended is not decided.
    pub fn continue_in(&mut self, next: ReplicaSet) -> Result<LogIndex, AppendRefusal> {
        self.check_leading()?;
        if self.window.last() > self.decided_through {
            return Err(AppendRefusal::Undecided);
        }
        let known = self.decided_through;
        let stays = |store: &StoreId| self.members.get(store);
        let members = next.members.iter().map(|member| {
            let progress =
                stays(&member.store).map_or_else(MemberProgress::default, MemberProgress::in_next_set);
            (member.store.clone(), progress)
        });
        self.members = members.collect();
        self.set = next;
        if !self.checks.keep_ballot {
            self.known.through = known;
            self.phase = Phase::Preparing { raises: 0 };
            return Ok(known.next());
        }
        for member in self.members.values_mut() {
            member.start_from(known);
        }
        self.window = Window::starting_after(known);
        self.window.push(Payload::Noop);
        Ok(self.window.last())
    }

    /// Appends a snapshot that stands for everything appended before, which is dropped once it is decided.
    ///
    /// # Errors
    /// When the proposer does not lead. A full disk is no hindrance: room is kept back for snapshots.
    pub fn compact(&mut self, snapshot: &[u8]) -> Result<LogIndex, AppendRefusal> {
        self.check_leading()?;
        let first = self.window.last().next();
        for part in split_snapshot(snapshot, self.config.maximum_batch_bytes, self.ballot.epoch) {
            self.window.push(part);
        }
        self.truncation.pending = Some((first, self.window.last()));
        Ok(self.window.last())
    }

    fn check_leading(&self) -> Result<(), AppendRefusal> {
        match self.phase {
            Phase::Leading => Ok(()),
            _ => Err(AppendRefusal::NotLeading),
        }
    }

    fn member(&mut self, store: &StoreId, change: impl FnOnce(&mut MemberProgress)) {
        if let Some(member) = self.members.get_mut(store) {
            change(member);
        }
    }

    /// What a member should be asked next.
    fn wanted(&self, store: &StoreId, member: &MemberProgress) -> Option<Operation> {
        if matches!(self.phase, Phase::Ended) {
            return None;
        }
        if member.must_begin() && self.may_begin() {
            return Some(Operation::Begin(self.set.clone()));
        }
        match &self.phase {
            Phase::Preparing { .. } => {
                (!member.has_promised()).then(|| Operation::Prepare(self.ballot.clone()))
            }
            Phase::Reading(recovery) if member.has_promised() => {
                let from = recovery.next_read(store)?;
                Some(Operation::Read(Read { ballot: self.ballot.clone(), from }))
            }
            Phase::Reading(_) => Some(Operation::Prepare(self.ballot.clone())),
            Phase::Confirming { .. } | Phase::Leading => self.wanted_accept(member),
            Phase::Ended => None,
        }
    }

    /// Members of a later generation may begin only once a majority has: that it promised shows that it has.
    fn may_begin(&self) -> bool {
        self.set.generation == Generation::FIRST || !matches!(self.phase, Phase::Preparing { .. })
    }

    fn wanted_accept(&self, member: &MemberProgress) -> Option<Operation> {
        let from = self.window.first_after(member.accepted_through());
        let payloads = self.window.payloads(from, self.config.maximum_batch_bytes);
        if payloads.is_empty() && !member.must_truncate(self.truncation.before) {
            return None;
        }
        Some(Operation::Accept(Accept {
            ballot: self.ballot.clone(),
            from,
            payloads,
            decided_through: self.decided_through,
            truncate_before: self.truncation.before,
        }))
    }

    fn after_promise(&mut self, store: &StoreId) {
        match &mut self.phase {
            Phase::Preparing { .. } => self.begin_reading(),
            Phase::Reading(recovery) => {
                if let Some(promise) = self.members.get(store).and_then(MemberProgress::promise) {
                    recovery.add_reader(store, promise);
                }
            }
            _ => {}
        }
    }

    fn begin_reading(&mut self) {
        let promises = self.members.iter();
        let promises =
            promises.filter_map(|(store, member)| Some((store.clone(), member.promise()?.clone())));
        let promises: Vec<_> = promises.collect();
        if promises.len() < majority(self.members.len()) {
            return;
        }
        let recovery = Recovery::new(&promises, self.checks.recover, self.known.through);
        self.phase = Phase::Reading(recovery);
        self.finish_reading();
    }

    fn finish_reading(&mut self) {
        let Phase::Reading(recovery) = &mut self.phase else { return };
        if !recovery.is_complete(majority(self.members.len())) {
            return;
        }
        let source = recovery.source().clone();
        let Some(log) = recovery.take_log() else {
            return self.end(EndReason::Damaged { store: source });
        };
        self.decided_through = log.decided_through;
        self.truncation.before = log.first;
        self.window = Window::starting_after(log.decided_through);
        for payload in &log.undecided {
            self.window.push(payload.clone());
        }
        for member in self.members.values_mut() {
            member.start_from(log.decided_through);
        }
        let payloads = log.decided.into_iter().chain(log.undecided);
        let recovered = assemble(payloads, self.known, self.checks.skip_overtaken);
        self.phase = Phase::Confirming { through: self.window.last(), recovered };
        self.finish_confirming();
    }

    fn finish_confirming(&mut self) {
        let Phase::Confirming { through, recovered } = &mut self.phase else { return };
        if self.decided_through < *through {
            return;
        }
        let recovered = std::mem::take(recovered);
        self.phase = Phase::Leading;
        self.events.push_back(ProposerEvent::Recovered(recovered));
    }

    fn after_accept(&mut self) {
        let mut accepted: Vec<LogIndex> =
            self.members.values().map(MemberProgress::accepted_through).collect();
        accepted.sort_unstable_by(|left, right| right.cmp(left));
        let needed = if self.checks.wait_for_majority { majority(accepted.len()) } else { 1 };
        let decided = accepted[needed - 1];
        if decided > self.decided_through {
            self.decided_through = decided;
            self.advance_truncation();
            self.finish_confirming();
            self.events.push_back(ProposerEvent::Decided(decided));
        }
        let everywhere = accepted.last().copied().unwrap_or_default();
        self.window.release(everywhere, self.decided_through, self.config.window_bytes);
    }

    fn advance_truncation(&mut self) {
        let Some((first, last)) = self.truncation.pending else { return };
        if last <= self.decided_through {
            self.truncation.before = first;
            self.truncation.pending = None;
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

    /// Without a majority that takes part in a later set nobody can be promised anything. Members whose disks were lost
    /// don't answer to their names: where one still takes no part after a pause, the change may wait for it.
    fn check_installed(&mut self) {
        if self.may_begin() {
            return;
        }
        let missing = self.members.values().filter(|member| member.must_begin()).count();
        let waited = self.members.values().any(MemberProgress::was_asked_to_join_again);
        if waited || missing > self.members.len() - majority(self.members.len()) {
            self.end(EndReason::NotInstalled);
        }
    }

    /// Another proposer is ahead: outbid it while preparing, since its epoch may be an old one; stop afterwards.
    fn outbid(&mut self, highest: Epoch) {
        match &mut self.phase {
            Phase::Preparing { raises } if *raises < self.config.maximum_raises => {
                *raises += 1;
                self.ballot.epoch = highest.next();
                for member in self.members.values_mut() {
                    member.forget_answers();
                }
            }
            Phase::Ended => {}
            _ => self.end(EndReason::Superseded { highest }),
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
