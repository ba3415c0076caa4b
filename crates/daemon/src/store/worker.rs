//! The thread that owns the store's file.
//!
//! Requests that wait are done in one transaction, so that one sync of the disk serves them all. No answer
//! leaves before the transaction is on disk.

use std::time::{Duration, Instant};

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::acceptor::Acceptor;
use lichenpulley_core::replication::ballot::Ballot;
use lichenpulley_core::replication::entry::{IndexedEntry, LogIndex};
use lichenpulley_core::replication::group::{GroupPhase, GroupRecord};
use lichenpulley_core::replication::message::{ReplicaAnswer, ReplicaRequest, ReplicaResponse, StoreRefusal};
use lichenpulley_core::replication::replica_set::Generation;
use lichenpulley_core::replication::storage::ShardStorage;
use lichenpulley_protocol::internal::StoreResponse;
use lichenpulley_protocol::internal::store::KnownSet;
use tokio::sync::{mpsc, oneshot};

use super::disk::Disk;
use super::error::DiskError;
use super::leaders::{Leaders, leadership};
use super::metrics::StoreMetrics;
use super::transaction::Transaction;
use crate::decisions::unix_milliseconds;

/// Requests done in one transaction at most. Chosen, not measured: more lengthen a transaction and with it
/// the wait of those that come next, fewer cost syncs.
const BATCH_LIMIT: usize = 256;
/// Pause before the file is opened again after the disk failed. Chosen, not measured: it keeps the thread
/// from spinning on a disk that fails at once.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);

/// What the thread is asked to do.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// A request of a peer.
    Replica(Box<ReplicaRequest>),
    /// Which replica set of a shard is known here.
    KnownSet(ShardId),
    /// Who leads a shard.
    Leadership(ShardId),
    /// The leader of a shard under this ballot is at work.
    LeaderAlive { shard: ShardId, ballot: Ballot },
    /// The store's part in each of its shards.
    Groups,
    /// Adds decided entries.
    Repair { shard: ShardId, generation: Generation, entries: Vec<IndexedEntry> },
    /// Drops claims past their retention.
    ForgetExpiredClaims,
}

/// What came of it.
#[derive(Clone, Debug)]
pub(super) enum Done {
    Response(StoreResponse),
    Groups(Vec<GroupRecord>),
    Repaired(LogIndex),
    Forgotten,
    Failed,
}

/// Work and where its result goes.
pub(super) struct Job {
    pub(super) work: Work,
    pub(super) reply: oneshot::Sender<Done>,
}

/// The state of the thread.
pub(super) struct Worker {
    disk: Option<Disk>,
    acceptor: Acceptor,
    metrics: StoreMetrics,
    leaders: Leaders,
}

impl Worker {
    pub(super) fn new(disk: Disk, acceptor: Acceptor, metrics: StoreMetrics) -> Self {
        Self { disk: Some(disk), acceptor, metrics, leaders: Leaders::new() }
    }

    /// Works until every sender is gone.
    pub(super) fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        while let Some(first) = jobs.blocking_recv() {
            let mut batch = vec![first];
            while batch.len() < BATCH_LIMIT {
                let Ok(job) = jobs.try_recv() else { break };
                batch.push(job);
            }
            self.answer_from_memory(&mut batch);
            if !batch.is_empty() {
                self.run_batch(batch);
            }
        }
    }

    /// Answers what needs no disk.
    fn answer_from_memory(&mut self, batch: &mut Vec<Job>) {
        let mut remaining = Vec::with_capacity(batch.len());
        for job in batch.drain(..) {
            let response = match &job.work {
                Work::Leadership(shard) => {
                    self.leaders.get(shard).map(|known| StoreResponse::Leadership(Some(known)))
                }
                Work::LeaderAlive { shard, ballot } => {
                    self.leaders.alive(shard, ballot);
                    Some(StoreResponse::Leadership(self.leaders.get(shard)))
                }
                _ => None,
            };
            match response {
                Some(response) => {
                    // An error only says that the peer has stopped waiting.
                    let _ = job.reply.send(Done::Response(response));
                }
                None => remaining.push(job),
            }
        }
        *batch = remaining;
    }

    fn run_batch(&mut self, batch: Vec<Job>) {
        let work: Vec<Work> = batch.iter().map(|job| job.work.clone()).collect();
        let results = match self.transact(&work) {
            Ok(results) => results,
            // One request may have spoilt the transaction for all: each gets its own.
            Err(_) if work.len() > 1 => work.iter().map(|work| self.run_alone(work)).collect(),
            Err(error) => work.iter().map(|work| self.failed(work, &error)).collect(),
        };
        for (job, done) in batch.into_iter().zip(results) {
            self.leaders.learn(&done);
            // An error only says that the peer has stopped waiting.
            let _ = job.reply.send(done);
        }
    }

    fn run_alone(&mut self, work: &Work) -> Done {
        match self.transact(std::slice::from_ref(work)) {
            Ok(mut results) => results.pop().unwrap_or(Done::Failed),
            Err(error) => self.failed(work, &error),
        }
    }

    fn transact(&mut self, work: &[Work]) -> Result<Vec<Done>, DiskError> {
        let Some(disk) = &self.disk else { return Err(DiskError::Failed("the file is closed".to_owned())) };
        let acceptor = &self.acceptor;
        let started_at = self.leaders.started_at;
        let result = disk.transact(|transaction| {
            let done = work.iter().map(|work| perform(acceptor, transaction, work, started_at));
            let done = done.collect::<Result<Vec<Done>, DiskError>>()?;
            Ok((done, transaction.used_bytes(), transaction.is_changed()))
        });
        match result {
            Ok((done, used_bytes, synced)) => {
                self.metrics.transaction(work.len(), used_bytes, synced);
                Ok(done)
            }
            Err(error) => {
                self.metrics.failure();
                log::warn!(target: "store", "A transaction was dropped: {error}.");
                self.reopen();
                Err(error)
            }
        }
    }

    fn reopen(&mut self) {
        let Some(disk) = self.disk.take() else { return };
        match disk.reopen() {
            Ok(disk) => self.disk = Some(disk),
            Err(error) => {
                log::error!(target: "store", "The store's file can't be opened again: {error}.");
                std::thread::sleep(REOPEN_PAUSE);
            }
        }
    }

    fn failed(&self, work: &Work, error: &DiskError) -> Done {
        let Work::Replica(request) = work else { return Done::Failed };
        let refusal = match error {
            DiskError::Full => StoreRefusal::DiskFull,
            DiskError::Damaged(_) | DiskError::Failed(_) => StoreRefusal::Damaged,
        };
        Done::Response(StoreResponse::Replica(Box::new(ReplicaResponse {
            shard: request.shard.clone(),
            generation: request.generation,
            store: self.acceptor.store().clone(),
            outcome: ReplicaAnswer::Refused(refusal),
        })))
    }
}

fn perform(
    acceptor: &Acceptor,
    transaction: &mut Transaction<'_>,
    work: &Work,
    started_at: Instant,
) -> Result<Done, DiskError> {
    let now_unix_ms = unix_milliseconds();
    match work {
        Work::Replica(request) => {
            let response = acceptor.answer(transaction, now_unix_ms, ReplicaRequest::clone(request))?;
            Ok(Done::Response(StoreResponse::Replica(Box::new(response))))
        }
        Work::KnownSet(shard) => {
            let known = transaction.group(shard)?.map(known_set);
            Ok(Done::Response(StoreResponse::KnownSet(known)))
        }
        Work::Leadership(shard) => {
            let promised = transaction.group(shard)?.map(|group| group.position.promised);
            let promised = promised.filter(|promised| promised.epoch > Epoch::default());
            let known = promised.map(|promised| leadership(&promised, started_at));
            Ok(Done::Response(StoreResponse::Leadership(known)))
        }
        // Answered from memory.
        Work::LeaderAlive { .. } => Ok(Done::Response(StoreResponse::Ready)),
        Work::Groups => {
            let shards = transaction.shards()?;
            let groups = shards.iter().map(|shard| transaction.group(shard));
            let groups = groups.collect::<Result<Vec<_>, DiskError>>()?;
            Ok(Done::Groups(groups.into_iter().flatten().collect()))
        }
        Work::Repair { shard, generation, entries } => {
            let through = acceptor.repair(transaction, shard, *generation, entries.clone())?;
            Ok(Done::Repaired(through))
        }
        Work::ForgetExpiredClaims => {
            for shard in transaction.shards()? {
                acceptor.remove_expired_claims(transaction, now_unix_ms, &shard)?;
            }
            Ok(Done::Forgotten)
        }
    }
}

fn known_set(record: GroupRecord) -> KnownSet {
    let next = match record.phase {
        GroupPhase::Sealed { next } => Some(next),
        GroupPhase::Active | GroupPhase::Joining => None,
    };
    KnownSet { set: record.set, next }
}
