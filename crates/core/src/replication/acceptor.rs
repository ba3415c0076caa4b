//! A store replica: the Paxos acceptor of a shard's log, and a voter on claims.
//!
//! All state is in its [`ShardStorage`], so a restart only reopens the disk. Invariants: the promised ballot
//! never decreases, an entry is accepted only under the highest promised ballot, and a replica that is sealed
//! or not yet installed neither promises, accepts nor votes.

mod begin;
mod checks;
mod decided;

use self::begin::begin;
pub use self::checks::AcceptorChecks;
use self::decided::{extend_accepted_range, learn_decided, read_decided, repair, truncate};
use super::ballot::Ballot;
use super::claims::{self, ClaimVote, ClaimWindow};
use super::entry::{Entry, IndexedEntry, LogIndex};
use super::group::{AcceptedRange, GroupPhase, GroupRecord};
use super::message::{
    Accept, ClaimRequest, Operation, Read, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StoreRefusal,
};
use super::replica_set::{Generation, StoreId};
use super::storage::ShardStorage;
use super::transfer::{self, PAGE_BYTES};
use crate::identity::ShardId;

/// The acceptor of one store, for all its shards.
#[derive(Clone, Debug)]
pub struct Acceptor {
    store: StoreId,
    window: ClaimWindow,
    checks: AcceptorChecks,
}

impl Acceptor {
    /// Creates the acceptor of a store.
    pub fn new(store: StoreId, window: ClaimWindow) -> Self {
        Self { store, window, checks: AcceptorChecks::default() }
    }

    /// Sets which safety checks are enabled, for tests that show that each is needed.
    #[must_use]
    pub fn with_checks(mut self, checks: AcceptorChecks) -> Self {
        self.checks = checks;
        self
    }

    /// Returns the store's id.
    pub fn store(&self) -> &StoreId {
        &self.store
    }

    /// Handles a request in one transaction. The response may be sent only after the transaction is on disk.
    ///
    /// # Errors
    /// When the disk can't be used; the transaction must then be discarded.
    pub fn answer<S: ShardStorage>(
        &self,
        storage: &mut S,
        now_unix_ms: u64,
        request: ReplicaRequest,
    ) -> Result<ReplicaResponse, S::Error> {
        let ReplicaRequest { shard, generation, store, operation } = request;
        let responder = if self.checks.check_store { self.store.clone() } else { store.clone() };
        let outcome = if self.checks.check_store && store != self.store {
            ReplicaAnswer::Refused(StoreRefusal::WrongStore { store: self.store.clone() })
        } else {
            self.execute(storage, now_unix_ms, &shard, generation, operation)?
        };
        Ok(ReplicaResponse { shard, generation, store: responder, outcome })
    }

    /// Removes claims that are past their retention.
    ///
    /// # Errors
    /// When the disk can't be used; the transaction must then be discarded.
    pub fn remove_expired_claims<S: ShardStorage>(
        &self,
        storage: &mut S,
        now_unix_ms: u64,
        shard: &ShardId,
    ) -> Result<(), S::Error> {
        let Some(mut record) = storage.group(shard)? else { return Ok(()) };
        let horizon = self.window.horizon_unix_ms(now_unix_ms);
        // A sealed replica is copied page by page, so its claims must not change.
        if record.phase != GroupPhase::Active || horizon <= record.position.claims_removed_before_unix_ms {
            return Ok(());
        }
        record.position.claims_removed_before_unix_ms = horizon;
        storage.put_group(shard, &record)?;
        storage.remove_claims_issued_before(shard, horizon)
    }

    /// Adds entries that another replica of the generation reported as decided, if they directly follow the
    /// last position known to be decided here. Returns the last position known to be decided.
    ///
    /// # Errors
    /// When the disk can't be used; the transaction must then be discarded.
    pub fn repair<S: ShardStorage>(
        &self,
        storage: &mut S,
        shard: &ShardId,
        generation: Generation,
        entries: Vec<IndexedEntry>,
    ) -> Result<LogIndex, S::Error> {
        let record = storage.group(shard)?;
        match self.require_generation(record, generation) {
            Ok(record) if record.phase == GroupPhase::Active => repair(storage, shard, record, entries),
            _ => Ok(LogIndex::ZERO),
        }
    }

    fn execute<S: ShardStorage>(
        &self,
        storage: &mut S,
        now_unix_ms: u64,
        shard: &ShardId,
        generation: Generation,
        operation: Operation,
    ) -> Result<ReplicaAnswer, S::Error> {
        let record = storage.group(shard)?;
        match operation {
            Operation::Begin(set) => return begin(storage, shard, record, set),
            Operation::Copy(page) => return transfer::copy(storage, shard, record, page),
            Operation::Install(install) => {
                return transfer::install(storage, shard, &self.store, record, install, self.checks);
            }
            _ => {}
        }
        let record = match self.require_generation(record, generation) {
            Ok(record) => record,
            Err(refusal) => return Ok(ReplicaAnswer::Refused(refusal)),
        };
        match operation {
            Operation::Seal(next) => transfer::seal(storage, shard, record, next),
            Operation::ReadState(from) => transfer::read_state(storage, shard, &record.position, from),
            Operation::ReadDecided(from) => read_decided(storage, shard, &record, from),
            // A sealed replica makes no promise, since the next set may not learn of it. It still reports a
            // higher promised ballot.
            Operation::Prepare(ballot)
                if self.is_sealed(&record) && !record.position.promised.admits(&ballot) =>
            {
                Ok(ReplicaAnswer::Refused(StoreRefusal::HigherBallot { promised: record.position.promised }))
            }
            operation => match self.require_active(&record) {
                Err(refusal) => Ok(ReplicaAnswer::Refused(refusal)),
                Ok(()) => self.execute_active(storage, now_unix_ms, shard, record, operation),
            },
        }
    }

    fn execute_active<S: ShardStorage>(
        &self,
        storage: &mut S,
        now_unix_ms: u64,
        shard: &ShardId,
        record: GroupRecord,
        operation: Operation,
    ) -> Result<ReplicaAnswer, S::Error> {
        match operation {
            Operation::Prepare(ballot) => self.prepare(storage, shard, record, ballot),
            Operation::Read(read) => self.read(storage, shard, &record, &read),
            Operation::Accept(accept) => self.accept(storage, shard, record, accept),
            Operation::Claim(claim) => self.claim(storage, now_unix_ms, shard, &record, claim),
            _ => Ok(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder)),
        }
    }

    /// Returns the record if the store is a member of this generation and has its state.
    fn require_generation(
        &self,
        record: Option<GroupRecord>,
        generation: Generation,
    ) -> Result<GroupRecord, StoreRefusal> {
        let record = record.filter(|record| record.phase != GroupPhase::Joining);
        let Some(record) = record else { return Err(StoreRefusal::NotInstalled) };
        if record.set.generation > generation {
            return Err(StoreRefusal::NewerGeneration { current: record.set });
        }
        if record.set.generation < generation {
            return Err(StoreRefusal::NotInstalled);
        }
        Ok(record)
    }

    fn is_sealed(&self, record: &GroupRecord) -> bool {
        self.checks.refuse_when_sealed && matches!(record.phase, GroupPhase::Sealed { .. })
    }

    fn require_active(&self, record: &GroupRecord) -> Result<(), StoreRefusal> {
        match &record.phase {
            GroupPhase::Sealed { next } if self.checks.refuse_when_sealed => {
                Err(StoreRefusal::SealedFor { next: next.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Promises a ballot, or refuses it if a higher one is promised. Invariant: the promised ballot never
    /// decreases.
    fn adopt_ballot(&self, record: &mut GroupRecord, ballot: &Ballot) -> Result<(), StoreRefusal> {
        let promised = &record.position.promised;
        if self.checks.refuse_lower_ballots && !promised.admits(ballot) {
            return Err(StoreRefusal::HigherBallot { promised: promised.clone() });
        }
        if promised != ballot {
            record.position.promised = ballot.clone();
            record.accepted = AcceptedRange { from: LogIndex::FIRST, through: LogIndex::ZERO };
        }
        Ok(())
    }

    fn prepare<S: ShardStorage>(
        &self,
        storage: &mut S,
        shard: &ShardId,
        mut record: GroupRecord,
        ballot: Ballot,
    ) -> Result<ReplicaAnswer, S::Error> {
        if let Err(refusal) = self.adopt_ballot(&mut record, &ballot) {
            return Ok(ReplicaAnswer::Refused(refusal));
        }
        storage.put_group(shard, &record)?;
        let last = storage.last_index(shard)?;
        Ok(ReplicaAnswer::Promised {
            ballot,
            position: record.position,
            last,
            free_bytes: storage.free_bytes(),
        })
    }

    fn read<S: ShardStorage>(
        &self,
        storage: &S,
        shard: &ShardId,
        record: &GroupRecord,
        read: &Read,
    ) -> Result<ReplicaAnswer, S::Error> {
        if record.position.promised != read.ballot {
            let promised = record.position.promised.clone();
            return Ok(ReplicaAnswer::Refused(StoreRefusal::HigherBallot { promised }));
        }
        let entries = storage.entries_from(shard, read.from, PAGE_BYTES)?;
        let last = storage.last_index(shard)?;
        let through = entries.last().map_or(last, |entry| entry.index);
        Ok(ReplicaAnswer::Entries { ballot: read.ballot.clone(), from: read.from, through, entries })
    }

    fn accept<S: ShardStorage>(
        &self,
        storage: &mut S,
        shard: &ShardId,
        mut record: GroupRecord,
        accept: Accept,
    ) -> Result<ReplicaAnswer, S::Error> {
        if let Err(refusal) = self.adopt_ballot(&mut record, &accept.ballot) {
            return Ok(ReplicaAnswer::Refused(refusal));
        }
        let through = accept.through();
        let Accept { ballot, from, payloads, decided_through, truncate_before } = accept;
        let entries = payloads.into_iter().map(|payload| Entry { epoch: ballot.epoch, payload });
        let entries: Vec<Entry> = entries.collect();
        let bytes: usize = entries.iter().map(Entry::cost).sum();
        if !entries.is_empty() && !storage.has_room(bytes as u64) {
            return Ok(ReplicaAnswer::Refused(StoreRefusal::DiskFull));
        }
        // Repair adds decided entries without promising their owner's ballot. A late request of an earlier
        // owner must not overwrite them.
        let first = record.position.first().max(record.position.decided_through.next());
        let numbered = (from.0..).map(LogIndex).zip(&entries);
        for (index, entry) in numbered.filter(|(index, _)| *index >= first) {
            storage.put_entry(shard, index, entry)?;
        }
        extend_accepted_range(&mut record.accepted, from, through);
        learn_decided(&mut record, decided_through);
        truncate(storage, shard, &mut record, truncate_before)?;
        storage.put_group(shard, &record)?;
        let (base, free_bytes) = (record.position.base, storage.free_bytes());
        Ok(ReplicaAnswer::Accepted { ballot, from, through, base, free_bytes })
    }

    fn claim<S: ShardStorage>(
        &self,
        storage: &mut S,
        now_unix_ms: u64,
        shard: &ShardId,
        record: &GroupRecord,
        claim: ClaimRequest,
    ) -> Result<ReplicaAnswer, S::Error> {
        let horizon = self.window.horizon_unix_ms(now_unix_ms);
        let horizon = horizon.max(record.position.claims_removed_before_unix_ms);
        let vote = if self.checks.refuse_expired_claims && claim.issued_at_unix_ms < horizon {
            ClaimVote::Expired
        } else if claim.issued_at_unix_ms > self.window.latest_unix_ms(now_unix_ms) {
            ClaimVote::TooFarAhead
        } else {
            claims::vote(storage, shard, &claim)?
        };
        Ok(ReplicaAnswer::Voted { request: claim.request, attempt: claim.attempt, vote })
    }
}
