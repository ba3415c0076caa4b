//! Appends to a shard's log in a separate task, so that the shard's owner can continue meanwhile.
//!
//! The task owns the log from the takeover until its owner ends or a write fails; [`AppendMode`] decides how
//! queued appends are written. The owner receives the result of each write as an [`AppendOutcome`].

mod batch;
mod write_queue;

use std::time::Duration;

use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use tokio::sync::mpsc;

use super::last_answer::LastAnswer;
use super::shard_log::{ShardLog, ShardLogError};
use crate::boot_clock::{BootClock, BootInstant};
use batch::{Batch, batches};
use write_queue::{Write, WriteQueue, WriteStep};

/// Bytes appended after the last snapshot at which the owner is asked to compact its log. An owner is not
/// confirmed while it writes a snapshot, so compaction should be rare, but must come before a small disk is
/// full.
const COMPACT_BYTES: usize = 96 << 20;

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
}

impl RecordFormat<Vec<u8>> {
    /// Format for records that are already encoded.
    pub(crate) const fn bytes(log_target: &'static str) -> Self {
        Self { log_target, encode: Some }
    }
}

/// How appends are written that are queued while another one is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendMode {
    /// All queued appends are written together, in as few writes as their size allows. Those of an owner that has ended are still written, until
    /// another owner takes over, so that accepted work is committed where possible.
    Batched,
    /// Each append is a separate write. Once the owner has ended, no further append begins.
    Single,
}

/// Result of one or more writes.
pub(crate) enum AppendOutcome {
    /// This number of appends is committed; the first of them was started at `began`.
    Appended {
        appends: usize,
        began: BootInstant,
        /// Whether the log should be compacted.
        needs_compaction: bool,
    },
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
        tokio::spawn(WriterTask { log, format, queue, sender, log_bytes, clock }.run());
        Self { writes, outcomes, last_answer }
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
    queue: WriteQueue<R>,
    sender: mpsc::UnboundedSender<AppendOutcome>,
    log_bytes: usize,
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
        let encode = |records: Vec<R>| records.into_iter().filter_map(self.format.encode).collect();
        for batch in batches(appends.into_iter().map(encode)) {
            self.append_batch(batch).await?;
        }
        Ok(())
    }

    async fn append_batch(&mut self, batch: Batch) -> Result<(), ShardLogError> {
        let began = self.clock.now();
        self.log_bytes += batch.bytes;
        self.log.append(batch.records).await?;
        let needs_compaction = self.log_bytes >= COMPACT_BYTES;
        if needs_compaction {
            self.log_bytes = 0;
        }
        self.report(AppendOutcome::Appended { appends: batch.appends, began, needs_compaction });
        Ok(())
    }

    async fn compact(&mut self, snapshot: Vec<u8>) -> Result<(), ShardLogError> {
        self.log_bytes = snapshot.len();
        self.log.compact(snapshot).await
    }

    fn report(&self, outcome: AppendOutcome) {
        // Fails only if the owner has ended.
        let _ = self.sender.send(outcome);
    }
}
