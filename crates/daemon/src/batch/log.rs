//! Appends to the log of the batch jobs in a task of its own. Records that wait go into one append.

use lichenpulley_core::batch::record::Record;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use std::time::Duration;

use tokio::sync::mpsc;

use crate::boot_clock::{BootClock, BootInstant};
use crate::store::last_answer::LastAnswer;
use crate::store::shard_log::{ShardLog, ShardLogError};

/// The log is compacted once it holds so many bytes. Nothing else is decided while a snapshot is written, so that the
/// owner is not confirmed meanwhile: it should come seldom, and before a small disk is full.
const COMPACT_BYTES: usize = 96 << 20;

/// A member of the stores that is to be replaced.
pub(super) struct Replacement {
    pub(super) leaving: StoreId,
    pub(super) joining: SetMember,
    pub(super) reason: &'static str,
}

enum Write {
    Append(Vec<Record>),
    Compact(Vec<u8>),
    Replace(Replacement),
}

/// What came of writes.
pub(super) enum Written {
    /// So many appends are kept by a majority; the first of them was begun at `began`.
    Appended {
        appends: usize,
        began: BootInstant,
        /// Whether the log should be compacted.
        is_long: bool,
    },
    /// The log goes on under another set of stores and the same epoch.
    Replaced(ReplicaSet),
    /// The log can't be used any more; nothing further is written.
    Failed(ShardLogError),
}

/// Writes in the order in which it is told to; ends when dropped or at the first failure.
pub(super) struct LogWriter {
    writes: mpsc::UnboundedSender<Write>,
    written: mpsc::UnboundedReceiver<Written>,
    last_answer: LastAnswer,
}

impl LogWriter {
    /// Starts to write to a log that has been taken over and holds so many bytes.
    pub(super) fn start(log: ShardLog, held_bytes: usize, clock: BootClock) -> Self {
        let (writes, received) = mpsc::unbounded_channel();
        let (sender, written) = mpsc::unbounded_channel();
        let last_answer = log.last_answer();
        tokio::spawn(Task { log, received, sender, held_bytes, clock }.run());
        Self { writes, written, last_answer }
    }

    /// How long no store has answered a write.
    pub(super) fn silent_for(&self) -> Duration {
        self.last_answer.silent_for()
    }

    pub(super) fn append(&self, records: Vec<Record>) {
        // An error says that a write failed before; `next` has told so.
        let _ = self.writes.send(Write::Append(records));
    }

    pub(super) fn compact(&self, snapshot: Vec<u8>) {
        let _ = self.writes.send(Write::Compact(snapshot));
    }

    /// Replaces a member of the stores that keep the log.
    pub(super) fn replace(&self, replacement: Replacement) {
        let _ = self.writes.send(Write::Replace(replacement));
    }

    /// What came of the next writes. Safe to drop before it returns.
    pub(super) async fn next(&mut self) -> Written {
        match self.written.recv().await {
            Some(written) => written,
            None => std::future::pending().await,
        }
    }
}

struct Task {
    log: ShardLog,
    received: mpsc::UnboundedReceiver<Write>,
    sender: mpsc::UnboundedSender<Written>,
    held_bytes: usize,
    clock: BootClock,
}

impl Task {
    async fn run(mut self) {
        let mut waiting = None;
        loop {
            let first = match waiting.take() {
                Some(write) => write,
                None => match self.received.recv().await {
                    Some(write) => write,
                    None => return,
                },
            };
            let result = match first {
                Write::Append(records) => {
                    let mut appends = vec![records];
                    waiting = self.take_appends(&mut appends);
                    self.append(appends).await
                }
                Write::Compact(snapshot) => self.compact(snapshot).await,
                Write::Replace(replacement) => {
                    let owner = self.sender.clone();
                    tokio::select! {
                        replaced = self.replace(replacement) => replaced,
                        // An owner that has ended drives no change any further.
                        () = owner.closed() => return,
                    }
                }
            };
            if let Err(error) = result {
                let _ = self.sender.send(Written::Failed(error));
                return;
            }
        }
    }

    /// Takes the appends that wait; gives a write of another kind that stands behind them.
    fn take_appends(&mut self, appends: &mut Vec<Vec<Record>>) -> Option<Write> {
        while let Ok(write) = self.received.try_recv() {
            match write {
                Write::Append(records) => appends.push(records),
                Write::Compact(_) | Write::Replace(_) => return Some(write),
            }
        }
        None
    }

    async fn replace(&mut self, replacement: Replacement) -> Result<(), ShardLogError> {
        let Replacement { leaving, joining, reason } = replacement;
        ::log::info!(target: "batch", "Store {leaving} is replaced by {} of {}: {reason}.", joining.store, joining.node);
        self.log.replace_member(&leaving, joining, reason).await?;
        let set = self.log.set().clone();
        ::log::info!(target: "batch", "Generation {} of the stores is in force.", set.generation);
        let _ = self.sender.send(Written::Replaced(set));
        Ok(())
    }

    async fn append(&mut self, appends: Vec<Vec<Record>>) -> Result<(), ShardLogError> {
        let began = self.clock.now();
        let records = appends.iter().flatten().filter_map(|record| match record.encode() {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                ::log::error!(target: "batch", "A record can't be written: {error}.");
                None
            }
        });
        let records: Vec<Vec<u8>> = records.collect();
        self.held_bytes += records.iter().map(Vec::len).sum::<usize>();
        self.log.append(records).await?;
        let is_long = self.held_bytes >= COMPACT_BYTES;
        if is_long {
            self.held_bytes = 0;
        }
        let _ = self.sender.send(Written::Appended { appends: appends.len(), began, is_long });
        Ok(())
    }

    async fn compact(&mut self, snapshot: Vec<u8>) -> Result<(), ShardLogError> {
        self.held_bytes = snapshot.len();
        self.log.compact(snapshot).await
    }
}
