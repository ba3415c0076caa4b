//! Ordered queue of the writes of a shard's owner.
//!
//! It batches queued appends and detects through the closed outcome channel that the owner has ended.

use tokio::sync::mpsc;

use super::{AppendMode, AppendOutcome, Replacement};

/// Write requested by the owner.
pub(super) enum Write<R> {
    Append(Vec<R>),
    Compact(Vec<u8>),
    Replace(Replacement),
}

/// Next write, which may combine several appends.
pub(super) enum WriteStep<R> {
    /// The records of each append.
    Append(Vec<Vec<R>>),
    Compact(Vec<u8>),
    Replace(Replacement),
}

/// Queue of the writes that have not begun.
pub(super) struct WriteQueue<R> {
    mode: AppendMode,
    received: mpsc::UnboundedReceiver<Write<R>>,
    owner: mpsc::UnboundedSender<AppendOutcome>,
    /// Write that was received after batched appends and comes next.
    deferred: Option<Write<R>>,
    last_was_append: bool,
}

impl<R> WriteQueue<R> {
    /// Creates the queue for the owner that receives from `owner`.
    pub(super) const fn new(
        mode: AppendMode,
        received: mpsc::UnboundedReceiver<Write<R>>,
        owner: mpsc::UnboundedSender<AppendOutcome>,
    ) -> Self {
        Self { mode, received, owner, deferred: None, last_was_append: false }
    }

    /// Waits for the next write; called after the previous one is done. Returns `None` if nothing more is to
    /// be written.
    pub(super) async fn next(&mut self) -> Option<WriteStep<R>> {
        if self.mode == AppendMode::Single && self.last_was_append && self.owner.is_closed() {
            return None;
        }
        let write = match self.deferred.take() {
            Some(write) => write,
            None => self.received.recv().await?,
        };
        self.last_was_append = matches!(write, Write::Append(_));
        Some(match write {
            Write::Append(records) => WriteStep::Append(self.collect_appends(records)),
            Write::Compact(snapshot) => WriteStep::Compact(snapshot),
            Write::Replace(replacement) => WriteStep::Replace(replacement),
        })
    }

    /// Collects an append and those queued behind it, up to a write of another kind.
    fn collect_appends(&mut self, first: Vec<R>) -> Vec<Vec<R>> {
        let mut appends = vec![first];
        while self.mode == AppendMode::Batched && self.deferred.is_none() {
            match self.received.try_recv() {
                Ok(Write::Append(records)) => appends.push(records),
                Ok(write) => self.deferred = Some(write),
                // The queue is empty.
                Err(_) => break,
            }
        }
        appends
    }
}

#[cfg(test)]
mod tests;
