//! Appends to a shard's log in a task of its own, so that its owner goes on meanwhile.

use tokio::sync::mpsc;

use crate::store::shard_log::{ShardLog, ShardLogError};

/// What to write.
enum Write {
    Append(Vec<Vec<u8>>),
    Compact(Vec<u8>),
}

/// What came of a write.
pub(super) enum Written {
    /// An append is kept by a majority.
    Appended,
    /// The log can't be used any more; nothing further is written.
    Failed(ShardLogError),
}

/// Writes in the order in which it is told to; ends when dropped or at the first failure.
pub(super) struct LogWriter {
    writes: mpsc::UnboundedSender<Write>,
    written: mpsc::UnboundedReceiver<Written>,
}

impl LogWriter {
    /// Starts to write to a log that has been taken over.
    pub(super) fn start(log: ShardLog) -> Self {
        let (writes, received) = mpsc::unbounded_channel();
        let (sender, written) = mpsc::unbounded_channel();
        tokio::spawn(write_all(log, received, sender));
        Self { writes, written }
    }

    /// Appends records; [`Self::next`] gives what came of it.
    pub(super) fn append(&self, records: Vec<Vec<u8>>) {
        // An error says that a write failed before; `next` has told so.
        let _ = self.writes.send(Write::Append(records));
    }

    /// Replaces everything appended so far.
    pub(super) fn compact(&self, snapshot: Vec<u8>) {
        let _ = self.writes.send(Write::Compact(snapshot));
    }

    /// What came of the next write. Safe to drop before it returns.
    pub(super) async fn next(&mut self) -> Written {
        match self.written.recv().await {
            Some(written) => written,
            None => std::future::pending().await,
        }
    }
}

async fn write_all(
    mut log: ShardLog,
    mut writes: mpsc::UnboundedReceiver<Write>,
    written: mpsc::UnboundedSender<Written>,
) {
    while let Some(write) = writes.recv().await {
        let result = match write {
            Write::Append(records) => log.append(records).await.map(|()| Some(Written::Appended)),
            Write::Compact(snapshot) => log.compact(snapshot).await.map(|()| None),
        };
        let failed = result.is_err();
        let event = result.unwrap_or_else(|error| Some(Written::Failed(error)));
        if event.is_some_and(|event| written.send(event).is_err()) || failed {
            return;
        }
    }
}
