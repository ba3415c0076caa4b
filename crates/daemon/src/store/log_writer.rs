//! Appends to a shard's log in a task of its own, so that the shard's owner goes on meanwhile.
//!
//! Owns the log from the takeover until its owner ends or a write fails. What becomes of appends that wait is
//! the owner's [`AppendMode`]. Relies on [`ShardLog`] for the majority; the owner learns of each write by an
//! [`AppendOutcome`].

mod write_queue;

use std::time::Duration;

use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use tokio::sync::mpsc;

use super::last_answer::LastAnswer;
use super::shard_log::{ShardLog, ShardLogError};
use crate::boot_clock::{BootClock, BootInstant};
use write_queue::{Write, WriteQueue, WriteStep};

/// An owner is asked to compact its log once so many bytes were appended after the last snapshot. Nothing
/// else is decided while a snapshot is written, so that the owner is not confirmed meanwhile: it should come
/// seldom, and before a small disk is full. Chosen, not measured.
const COMPACT_BYTES: usize = 96 << 20;

/// A member of the stores that is to be replaced.
pub(crate) struct Replacement {
    pub(crate) leaving: StoreId,
    pub(crate) joining: SetMember,
    pub(crate) reason: &'static str,
}

/// How an owner's records become bytes of the log.
#[derive(Clone, Copy)]
pub(crate) struct RecordFormat<R> {
    /// The owner's prefix in the node's log.
    pub(crate) log_target: &'static str,
    /// The bytes of a record; `None` leaves it out, once the failure is in the node's log.
    pub(crate) encode: fn(R) -> Option<Vec<u8>>,
}

impl RecordFormat<Vec<u8>> {
    /// Records that are encoded already.
    pub(crate) const fn bytes(log_target: &'static str) -> Self {
        Self { log_target, encode: Some }
    }
}

/// What becomes of appends that wait for the one under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendMode {
    /// All go into one write. Those of an owner that has ended are written too, until another owner takes
    /// over: what it took is kept where it can be.
    Batched,
    /// Each is a write of its own. Once the owner has ended, the append under way is the last.
    Single,
}

/// What came of writes.
pub(crate) enum AppendOutcome {
    /// So many appends are kept by a majority; the first of them was begun at `began`.
    Appended {
        appends: usize,
        began: BootInstant,
        /// Whether the log should be compacted.
        needs_compaction: bool,
    },
    /// The log goes on under another set of stores and the same epoch.
    Replaced(ReplicaSet),
    /// The log can't be used any more; nothing further is written.
    Failed(ShardLogError),
}

/// Writes in the order of the calls; ends at the first failure, or when dropped as its [`AppendMode`] says.
pub(crate) struct LogWriter<R> {
    writes: mpsc::UnboundedSender<Write<R>>,
    outcomes: mpsc::UnboundedReceiver<AppendOutcome>,
    last_answer: LastAnswer,
}

impl<R: Send + 'static> LogWriter<R> {
    /// Starts to write to a log that has been taken over and holds so many bytes.
    pub(crate) fn start(
        log: ShardLog,
        format: RecordFormat<R>,
        mode: AppendMode,
        held_bytes: usize,
        clock: BootClock,
    ) -> Self {
        let (writes, received) = mpsc::unbounded_channel();
        let (sender, outcomes) = mpsc::unbounded_channel();
        let last_answer = log.last_answer();
        let queue = WriteQueue::new(mode, received, sender.clone());
        tokio::spawn(Task { log, format, queue, sender, held_bytes, clock }.run());
        Self { writes, outcomes, last_answer }
    }

    /// How long no store has answered a write.
    pub(crate) fn time_since_last_answer(&self) -> Duration {
        self.last_answer.time_since_last_answer()
    }

    /// Appends records; [`Self::next`] gives the outcome.
    pub(crate) fn append(&self, records: Vec<R>) {
        self.write(Write::Append(records));
    }

    /// Replaces everything appended so far by a snapshot. Only its failure is an outcome.
    pub(crate) fn compact(&self, snapshot: Vec<u8>) {
        self.write(Write::Compact(snapshot));
    }

    /// Replaces a member of the stores that keep the log; [`Self::next`] gives the outcome.
    pub(crate) fn replace(&self, replacement: Replacement) {
        self.write(Write::Replace(replacement));
    }

    fn write(&self, write: Write<R>) {
        // An error says that a write failed before; its outcome says so.
        let _ = self.writes.send(write);
    }

    /// The next outcome. Safe to drop before it returns.
    pub(crate) async fn next(&mut self) -> AppendOutcome {
        match self.outcomes.recv().await {
            Some(outcome) => outcome,
            None => std::future::pending().await,
        }
    }
}

struct Task<R> {
    log: ShardLog,
    format: RecordFormat<R>,
    queue: WriteQueue<R>,
    sender: mpsc::UnboundedSender<AppendOutcome>,
    held_bytes: usize,
    clock: BootClock,
}

impl<R: Send + 'static> Task<R> {
    async fn run(mut self) {
        while let Some(step) = self.queue.next().await {
            let result = match step {
                WriteStep::Append(appends) => self.append(appends).await,
                WriteStep::Compact(snapshot) => self.compact(snapshot).await,
                WriteStep::Replace(replacement) => {
                    let owner = self.sender.clone();
                    tokio::select! {
                        replaced = self.replace(replacement) => replaced,
                        // An owner that has ended drives no change any further.
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
        let began = self.clock.now();
        let count = appends.len();
        let records: Vec<Vec<u8>> = appends.into_iter().flatten().filter_map(self.format.encode).collect();
        self.held_bytes += records.iter().map(Vec::len).sum::<usize>();
        self.log.append(records).await?;
        let needs_compaction = self.held_bytes >= COMPACT_BYTES;
        if needs_compaction {
            self.held_bytes = 0;
        }
        self.report(AppendOutcome::Appended { appends: count, began, needs_compaction });
        Ok(())
    }

    async fn compact(&mut self, snapshot: Vec<u8>) -> Result<(), ShardLogError> {
        self.held_bytes = snapshot.len();
        self.log.compact(snapshot).await
    }

    fn report(&self, outcome: AppendOutcome) {
        // An error only says that the owner has ended.
        let _ = self.sender.send(outcome);
    }
}
