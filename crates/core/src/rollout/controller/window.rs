//! Limits the concurrent attempts of a job to what its pool accepts.

use std::time::Duration;

use crate::time::Timestamp;

/// Concurrent attempts before the first refusal or completion.
const INITIAL_SIZE: usize = 16;
/// Longest pause after a refusal. Bounds the time until capacity released by other requests is used.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// A window that shrinks at a refusal and grows with each completion, similar to a TCP congestion window
/// (Jacobson, "Congestion avoidance and control", 1988). It shrinks to the number of running attempts rather
/// than by half, since a refusal shows the limit exactly.
#[derive(Clone, Copy, Debug)]
pub(super) struct DispatchWindow {
    limit: usize,
    size: usize,
    paused_until: Option<Timestamp>,
}

impl DispatchWindow {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, size: INITIAL_SIZE.min(limit), paused_until: None }
    }

    /// Returns whether another attempt may start.
    pub(super) fn allows(&self, running: usize) -> bool {
        self.paused_until.is_none() && running < self.size
    }

    /// Ends an expired pause and grows the window by one attempt.
    pub(super) fn advance(&mut self, now: Timestamp) {
        if self.paused_until.is_some_and(|at| at <= now) {
            self.paused_until = None;
            self.grow();
        }
    }

    /// Records that the pool accepted no more than the running attempts.
    pub(super) fn refused(&mut self, running: usize, retry_after: Option<Duration>, now: Timestamp) {
        self.size = running.min(self.limit);
        let pause = retry_after.map_or(MAX_PAUSE, |pause| pause.min(MAX_PAUSE));
        self.paused_until = Some(now + pause);
    }

    /// Records a completed attempt, which released its capacity.
    pub(super) fn completed(&mut self) {
        self.paused_until = None;
        self.grow();
    }

    /// Returns when the pause ends, if there is one.
    pub(super) fn paused_until(&self) -> Option<Timestamp> {
        self.paused_until
    }

    /// Returns how many attempts may run at once.
    pub(super) fn size(&self) -> usize {
        self.size
    }

    fn grow(&mut self) {
        self.size = (self.size + 1).min(self.limit);
    }
}
