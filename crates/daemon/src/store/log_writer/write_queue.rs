//! The writes of a shard's owner in their order, and what becomes of those that wait.
//!
//! Owns the writes that are not begun. Relies on the owner's end of the outcomes for whether it has ended.

use tokio::sync::mpsc;

use super::{AppendMode, AppendOutcome, Replacement};

/// A write as the owner asks for it.
pub(super) enum Write<R> {
    Append(Vec<R>),
    Compact(Vec<u8>),
    Replace(Replacement),
}

/// What is written next, at once.
pub(super) enum WriteStep<R> {
    /// The records of one append or of several, each by itself.
    Append(Vec<Vec<R>>),
    Compact(Vec<u8>),
    Replace(Replacement),
}

/// The writes that are not begun.
pub(super) struct WriteQueue<R> {
    mode: AppendMode,
    received: mpsc::UnboundedReceiver<Write<R>>,
    owner: mpsc::UnboundedSender<AppendOutcome>,
    /// A write that was taken and stands behind gathered appends.
    behind: Option<Write<R>>,
    was_append: bool,
}

impl<R> WriteQueue<R> {
    /// The writes of the owner that reads what is sent to `owner`.
    pub(super) const fn new(
        mode: AppendMode,
        received: mpsc::UnboundedReceiver<Write<R>>,
        owner: mpsc::UnboundedSender<AppendOutcome>,
    ) -> Self {
        Self { mode, received, owner, behind: None, was_append: false }
    }

    /// Waits for the next write, once the one before is done. `None` where nothing more is written.
    pub(super) async fn next(&mut self) -> Option<WriteStep<R>> {
        if self.mode == AppendMode::Single && self.was_append && self.owner.is_closed() {
            return None;
        }
        let write = match self.behind.take() {
            Some(write) => write,
            None => self.received.recv().await?,
        };
        self.was_append = matches!(write, Write::Append(_));
        Some(match write {
            Write::Append(records) => WriteStep::Append(self.gather(records)),
            Write::Compact(snapshot) => WriteStep::Compact(snapshot),
            Write::Replace(replacement) => WriteStep::Replace(replacement),
        })
    }

    /// An append together with those that wait behind it, up to a write of another kind.
    fn gather(&mut self, first: Vec<R>) -> Vec<Vec<R>> {
        let mut appends = vec![first];
        while self.mode == AppendMode::Batched && self.behind.is_none() {
            match self.received.try_recv() {
                Ok(Write::Append(records)) => appends.push(records),
                Ok(write) => self.behind = Some(write),
                // Nothing waits now.
                Err(_) => break,
            }
        }
        appends
    }
}

#[cfg(test)]
mod tests;
