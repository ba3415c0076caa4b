//! Thread that owns the store file and runs requests on it.
//!
//! Queued requests share one transaction, so that one disk sync serves them all. Answers are sent only after
//! the transaction is on disk.

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

/// Maximum number of requests in one transaction.
const BATCH_LIMIT: usize = 256;
/// Delay after a failed attempt to reopen the file.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);

/// Operation for the store thread.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// Request of a peer for a replica of this store.
    Replica(Box<ReplicaRequest>),
    /// Query for the replica set of a shard.
    KnownSet(ShardId),
    /// Query for the leader of a shard.
    Leadership(ShardId),
    /// Heartbeat of the leader of a shard under this ballot.
    LeaderAlive { shard: ShardId, ballot: Ballot },
    /// Query for the group records of all shards with a replica here.
    Groups,
    /// Addition of decided entries that the replica has missed.
    Repair { shard: ShardId, generation: Generation, entries: Vec<IndexedEntry> },
    /// Removal of claims older than the retention period.
    RemoveExpiredClaims,
}

/// Result of [`Work`].
#[derive(Clone, Debug)]
pub(super) enum WorkResult {
    Response(StoreResponse),
    Groups(Vec<GroupRecord>),
    Repaired(LogIndex),
    ClaimsRemoved,
    Failed,
}

/// Operation with the channel for its result.
pub(super) struct Job {
    pub(super) work: Work,
    pub(super) reply: oneshot::Sender<WorkResult>,
}

/// State of the store thread.
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

    /// Processes jobs until every sender is dropped.
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

    /// Answers the jobs that need no disk access and removes them from the batch.
    fn answer_from_memory(&mut self, batch: &mut Vec<Job>) {
        let mut remaining = Vec::with_capacity(batch.len());
        for job in batch.drain(..) {
            let response = match &job.work {
                Work::Leadership(shard) => {
                    self.leaders.get(shard).map(|known| StoreResponse::Leadership(Some(known)))
                }
                Work::LeaderAlive { shard, ballot } => {
                    self.leaders.record_heartbeat(shard, ballot);
                    Some(StoreResponse::Leadership(self.leaders.get(shard)))
                }
                _ => None,
            };
            match response {
                Some(response) => {
                    // Fails only if the peer no longer waits.
                    let _ = job.reply.send(WorkResult::Response(response));
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
            // One request may have failed the transaction for all, so each runs in its own. A file that was full may
            // have been extended.
            Err(error) if work.len() > 1 || matches!(error, DiskError::Full) => {
                work.iter().map(|work| self.run_alone(work)).collect()
            }
            Err(error) => work.iter().map(|work| self.failed_result(work, &error)).collect(),
        };
        for (job, done) in batch.into_iter().zip(results) {
            self.leaders.record_answer(&done);
            // Fails only if the peer no longer waits.
            let _ = job.reply.send(done);
        }
    }

    fn run_alone(&mut self, work: &Work) -> WorkResult {
        match self.transact(std::slice::from_ref(work)) {
            Ok(mut results) => results.pop().unwrap_or(WorkResult::Failed),
            Err(error) => self.failed_result(work, &error),
        }
    }

    fn transact(&mut self, work: &[Work]) -> Result<Vec<WorkResult>, DiskError> {
        let Some(disk) = &self.disk else { return Err(DiskError::Failed("the file is closed".to_owned())) };
        let acceptor = &self.acceptor;
        let started_at = self.leaders.started_at;
        let result = disk.transact(|transaction| {
            let done = work.iter().map(|work| perform(acceptor, transaction, work, started_at));
            let done = done.collect::<Result<Vec<WorkResult>, DiskError>>()?;
            Ok((done, transaction.used_bytes(), transaction.is_changed()))
        });
        match result {
            Ok((done, used_bytes, synced)) => {
                self.metrics.record_transaction(work.len(), used_bytes, synced);
                Ok(done)
            }
            Err(error) => {
                self.metrics.record_failure();
                log::warn!(target: "store", "Transaction rolled back: {error}.");
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
                log::error!(target: "store", "Failed to reopen the store file: {error}.");
                std::thread::sleep(REOPEN_PAUSE);
            }
        }
    }

    fn failed_result(&self, work: &Work, error: &DiskError) -> WorkResult {
        let Work::Replica(request) = work else { return WorkResult::Failed };
        let refusal = match error {
            DiskError::Full => StoreRefusal::DiskFull,
            DiskError::Damaged(_) | DiskError::Failed(_) => StoreRefusal::Damaged,
        };
        WorkResult::Response(StoreResponse::Replica(Box::new(ReplicaResponse {
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
) -> Result<WorkResult, DiskError> {
    let now_unix_ms = unix_milliseconds();
    match work {
        Work::Replica(request) => {
            let response = acceptor.answer(transaction, now_unix_ms, ReplicaRequest::clone(request))?;
            Ok(WorkResult::Response(StoreResponse::Replica(Box::new(response))))
        }
        Work::KnownSet(shard) => {
            let known = transaction.group(shard)?.map(known_set);
            Ok(WorkResult::Response(StoreResponse::KnownSet(known)))
        }
        Work::Leadership(shard) => {
            let promised = transaction.group(shard)?.map(|group| group.position.promised);
            let promised = promised.filter(|promised| promised.epoch > Epoch::default());
            let known = promised.map(|promised| leadership(&promised, started_at));
            Ok(WorkResult::Response(StoreResponse::Leadership(known)))
        }
        // Answered from memory.
        Work::LeaderAlive { .. } => Ok(WorkResult::Response(StoreResponse::Ready)),
        Work::Groups => {
            let shards = transaction.shards()?;
            let groups = shards.iter().map(|shard| transaction.group(shard));
            let groups = groups.collect::<Result<Vec<_>, DiskError>>()?;
            Ok(WorkResult::Groups(groups.into_iter().flatten().collect()))
        }
        Work::Repair { shard, generation, entries } => {
            let through = acceptor.repair(transaction, shard, *generation, entries.clone())?;
            Ok(WorkResult::Repaired(through))
        }
        Work::RemoveExpiredClaims => {
            for shard in transaction.shards()? {
                acceptor.remove_expired_claims(transaction, now_unix_ms, &shard)?;
            }
            Ok(WorkResult::ClaimsRemoved)
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
