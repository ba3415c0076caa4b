//! Appends to a shard's log in a separate task, so that the shard's owner can continue meanwhile.
//!
//! The task owns the log from the takeover until its owner ends or a write fails; [`AppendMode`] decides how
//! queued appends are written. The owner receives the result of each write as an [`AppendOutcome`].
//!
//! When the log is to be compacted (`core::replication::compaction`), the task asks the owner for a snapshot and writes
//! nothing until it has an answer. The owner has then handled all earlier outcomes, so its committed state is exactly
//! the log's. Without a snapshot, or where it frees too little, the task goes on: appends that may be refused are, and
//! all others use the space that the stores reserve.

mod batch;
mod write_queue;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::replication::compaction::LogUsage;
use lichenpulley_core::replication::entry::ENTRY_OVERHEAD_BYTES;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use tokio::sync::{mpsc, oneshot};

use super::last_answer::LastAnswer;
use super::shard_log::{ShardLog, ShardLogError};
use crate::boot_clock::{BootClock, BootInstant};
use batch::{Batch, EncodedAppend, batches};
use write_queue::{Write, WriteQueue, WriteStep};

/// Replacement of a member of the replica set by another store.
pub(crate) struct Replacement {
    pub(crate) leaving: StoreId,
    pub(crate) joining: SetMember,
    pub(crate) reason: &'static str,
}

/// Encoding of an owner's records in the log.
#[derive(Clone, Copy)]
pub(crate) struct RecordFormat<R> {
    /// Log target of the owner.
    pub(crate) log_target: &'static str,
    /// Encodes a record. `None` skips the record; the encoder logs the failure.
    pub(crate) encode: fn(R) -> Option<Vec<u8>>,
    /// Whether an append with this record may be refused when the disks are full. Others then use the reserved space.
    pub(crate) is_refusable: fn(&R) -> bool,
}

impl RecordFormat<Vec<u8>> {
    /// Format for records that are already encoded.
    pub(crate) const fn bytes(log_target: &'static str) -> Self {
        Self { log_target, encode: Some, is_refusable: |_| false }
    }
}

/// How appends are written that are queued while another one is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendMode {
    /// All queued appends are written together, in as few writes as their size allows. Those of an owner that has ended are still written, until
    /// another owner takes over, so that accepted work is committed where possible. The owner is asked for snapshots.
    Batched,
    /// Each append is a separate write. Once the owner has ended, no further append begins. The owner decides when to
    /// compact, and a full disk ends it.
    Single,
}

/// Request for a snapshot of the state that all appends so far have produced.
pub(crate) struct SnapshotRequest(oneshot::Sender<Vec<u8>>);

impl SnapshotRequest {
    /// Has the snapshot written.
    pub(crate) fn answer(self, snapshot: Vec<u8>) {
        // Fails only after the writer has ended, which was reported as an outcome.
        let _ = self.0.send(snapshot);
    }
}

/// Result of one or more writes.
pub(crate) enum AppendOutcome {
    /// This number of appends is committed; the first of them was started at `began`.
    Appended {
        appends: usize,
        began: BootInstant,
        /// The largest state that the stores have room for, in bytes; `None` if their room is unknown.
        state_limit: Option<u64>,
    },
    /// A part of a snapshot is decided whose write began at `began`.
    Confirmed { began: BootInstant },
    /// The disks are full, and this number of appends is given up. Nothing of them was written.
    Refused { appends: usize },
    /// The log is to be compacted. Dropping the request declines it.
    SnapshotDue(SnapshotRequest),
    /// The log continues in another replica set under the same epoch.
    Replaced(ReplicaSet),
    /// The log is unusable; nothing more is written.
    Failed(ShardLogError),
}

/// Handle of the writer task. Writes are done in the order of the calls until the first failure. After the
/// handle is dropped, queued appends are treated according to [`AppendMode`].
pub(crate) struct LogWriter<R> {
    writes: mpsc::UnboundedSender<Write<R>>,
    outcomes: mpsc::UnboundedReceiver<AppendOutcome>,
    last_answer: LastAnswer,
    sizes: Arc<OwnerSizes>,
    first_state_limit: Option<u64>,
}

/// Sizes that the owner reports to the writer, in bytes.
#[derive(Default)]
struct OwnerSizes {
    /// The owner's state.
    state: AtomicU64,
    /// Parts of the log that were not counted at the takeover, and not by the writer yet.
    uncounted: AtomicU64,
}

impl<R: Send + 'static> LogWriter<R> {
    /// Starts the writer of a log that has been taken over and holds `log_bytes` bytes.
    pub(crate) fn start(
        log: ShardLog,
        format: RecordFormat<R>,
        mode: AppendMode,
        log_bytes: usize,
        clock: BootClock,
    ) -> Self {
        let (writes, received) = mpsc::unbounded_channel();
        let (sender, outcomes) = mpsc::unbounded_channel();
        let last_answer = log.last_answer();
        let queue = WriteQueue::new(mode, received, sender.clone());
        let sizes = Arc::<OwnerSizes>::default();
        let mut usage = LogUsage::of_log(log_bytes as u64);
        usage.set_free(log.free_bytes());
        let (first_state_limit, owner) = (usage.state_limit(), Arc::clone(&sizes));
        tokio::spawn(WriterTask { log, format, mode, queue, sender, usage, owner, clock }.run());
        Self { writes, outcomes, last_answer, sizes, first_state_limit }
    }

    /// Sets the size of the owner's state, which decides when the log is to be compacted.
    pub(crate) fn set_state_bytes(&self, bytes: usize) {
        self.sizes.state.store(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the largest state that the stores had room for at the takeover, in bytes; `None` if their room is unknown.
    pub(crate) const fn first_state_limit(&self) -> Option<u64> {
        self.first_state_limit
    }

    /// Counts bytes that the log held at the takeover in addition to those given to [`Self::start`].
    pub(crate) fn count_log_bytes(&self, bytes: usize) {
        self.sizes.uncounted.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the time since a store last answered.
    pub(crate) fn time_since_last_answer(&self) -> Duration {
        self.last_answer.time_since_last_answer()
    }

    /// Appends records; [`Self::next`] returns the outcome.
    pub(crate) fn append(&self, records: Vec<R>) {
        self.write(Write::Append(records));
    }

    /// Replaces everything appended so far by a snapshot. Only a failure is reported as an outcome.
    pub(crate) fn compact(&self, snapshot: Vec<u8>) {
        self.write(Write::Compact(snapshot));
    }

    /// Replaces a member of the log's replica set; [`Self::next`] returns the outcome.
    pub(crate) fn replace(&self, replacement: Replacement) {
        self.write(Write::Replace(replacement));
    }

    fn write(&self, write: Write<R>) {
        // Fails only after an earlier write has failed, which was reported as an outcome.
        let _ = self.writes.send(write);
    }

    /// Waits for the next outcome. Cancel safe.
    pub(crate) async fn next(&mut self) -> AppendOutcome {
        match self.outcomes.recv().await {
            Some(outcome) => outcome,
            None => std::future::pending().await,
        }
    }
}

struct WriterTask<R> {
    log: ShardLog,
    format: RecordFormat<R>,
    mode: AppendMode,
    queue: WriteQueue<R>,
    sender: mpsc::UnboundedSender<AppendOutcome>,
    usage: LogUsage,
    owner: Arc<OwnerSizes>,
    clock: BootClock,
}

impl<R: Send + 'static> WriterTask<R> {
    async fn run(mut self) {
        while let Some(step) = self.queue.next().await {
            let result = match step {
                WriteStep::Append(appends) => self.append(appends).await,
                WriteStep::Compact(snapshot) => self.compact(snapshot).await,
                WriteStep::Replace(replacement) => {
                    let owner = self.sender.clone();
                    tokio::select! {
                        replaced = self.replace(replacement) => replaced,
                        // An owner that has ended does not continue a replica set change.
                        () = owner.closed() => return,
                    }
                }
            };
            if let Err(error) = result {
                self.report(AppendOutcome::Failed(error));
                return;
            }
        }
    }

    async fn replace(&mut self, replacement: Replacement) -> Result<(), ShardLogError> {
        let Replacement { leaving, joining, reason } = replacement;
        log::info!(target: self.format.log_target, "Store {leaving} is replaced by {} of {}: {reason}.", joining.store, joining.node);
        self.log.replace_member(&leaving, joining, reason).await?;
        let set = self.log.set().clone();
        log::info!(target: self.format.log_target, "Generation {} of the stores is in force.", set.generation);
        self.report(AppendOutcome::Replaced(set));
        Ok(())
    }

    async fn append(&mut self, appends: Vec<Vec<R>>) -> Result<(), ShardLogError> {
        let RecordFormat { encode, is_refusable, .. } = self.format;
        let encoded = appends.into_iter().map(|records| EncodedAppend {
            is_refusable: records.iter().any(is_refusable),
            records: records.into_iter().filter_map(encode).collect(),
        });
        for batch in batches(encoded) {
            self.append_batch(batch).await?;
        }
        Ok(())
    }

    async fn append_batch(&mut self, batch: Batch) -> Result<(), ShardLogError> {
        if self.mode == AppendMode::Batched {
            self.compact_if_due(batch.bytes).await?;
        }
        let began = self.clock.now();
        let appended_bytes = batch.bytes + batch.records.len() * ENTRY_OVERHEAD_BYTES;
        if self.mode == AppendMode::Single || self.log.has_room(&batch.records) {
            self.log.append(batch.records).await?;
        } else if batch.is_refusable {
            self.report(AppendOutcome::Refused { appends: batch.appends });
            return Ok(());
        } else {
            self.log.append_to_reserve(batch.records).await?;
        }
        self.usage.appended(appended_bytes as u64);
        self.usage.set_free(self.log.free_bytes());
        let state_limit = self.usage.state_limit();
        self.report(AppendOutcome::Appended { appends: batch.appends, began, state_limit });
        Ok(())
    }

    /// Asks the owner for a snapshot and writes it, if one is due. It stays due until one is written.
    async fn compact_if_due(&mut self, next_bytes: usize) -> Result<(), ShardLogError> {
        self.usage.set_state(self.owner.state.load(Ordering::Relaxed));
        self.usage.appended(self.owner.uncounted.swap(0, Ordering::Relaxed));
        self.usage.set_free(self.log.free_bytes());
        let Some(cause) = self.usage.compaction_due(next_bytes as u64) else { return Ok(()) };
        let (request, snapshot) = oneshot::channel();
        self.report(AppendOutcome::SnapshotDue(SnapshotRequest(request)));
        // An error means that the owner declined or has ended.
        let Ok(snapshot) = snapshot.await else { return Ok(()) };
        log::info!(target: self.format.log_target, "Compacting the log to {} bytes: {}.", snapshot.len(), cause.as_str());
        self.compact(snapshot).await
    }

    async fn compact(&mut self, snapshot: Vec<u8>) -> Result<(), ShardLogError> {
        let snapshot_bytes = snapshot.len();
        let owner = self.sender.clone();
        // Sending fails only if the owner has ended.
        let confirm = |began| drop(owner.send(AppendOutcome::Confirmed { began }));
        self.log.compact(snapshot, confirm).await?;
        self.usage.compacted(snapshot_bytes as u64);
        Ok(())
    }

    fn report(&self, outcome: AppendOutcome) {
        // Fails only if the owner has ended.
        let _ = self.sender.send(outcome);
    }
}
