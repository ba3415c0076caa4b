//! The order in which streams enter the batch: live before rollout, then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use lichenpulley_core::identity::AttemptId;
use lichenpulley_protocol::caller::Priority;

/// Streams that generate, and streams that wait for a place.
#[derive(Debug, Default)]
pub struct Batch {
    capacity: usize,
    arrivals: u64,
    running: Vec<AttemptId>,
    waiting: BTreeSet<(Reverse<Priority>, u64, AttemptId)>,
}

impl Batch {
    /// An empty batch with `capacity` places.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Lets a stream wait for a place.
    pub fn enqueue(&mut self, attempt: AttemptId, priority: Priority) {
        self.arrivals += 1;
        self.waiting.insert((Reverse(priority), self.arrivals, attempt));
    }

    /// Moves the next waiting stream into the batch; `None` where none waits or no place is free.
    pub fn fill_one(&mut self) -> Option<AttemptId> {
        if self.running.len() >= self.capacity {
            return None;
        }
        let (_, _, attempt) = self.waiting.pop_first()?;
        self.running.push(attempt.clone());
        Some(attempt)
    }

    /// Takes a stream out, wherever it is.
    pub fn remove(&mut self, attempt: &AttemptId) {
        self.running.retain(|running| running != attempt);
        self.waiting.retain(|(_, _, waiting)| waiting != attempt);
    }

    /// Takes everything out.
    pub fn take_all(&mut self) -> Vec<AttemptId> {
        let waiting = std::mem::take(&mut self.waiting).into_iter().map(|(_, _, attempt)| attempt);
        let mut all = std::mem::take(&mut self.running);
        all.extend(waiting);
        all
    }

    /// Streams in the batch.
    pub fn running(&self) -> &[AttemptId] {
        &self.running
    }

    /// Keeps only those running streams that `keep` says.
    pub fn retain_running(&mut self, keep: impl FnMut(&AttemptId) -> bool) {
        self.running.retain(keep);
    }

    /// Streams that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }
}
