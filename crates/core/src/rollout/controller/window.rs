//! How many attempts of a job run at once: as many as the pool takes.

use std::time::Duration;

use crate::time::Timestamp;

/// Attempts started before the pool has shown what it takes. Chosen, not measured: the window opens with each
/// completion.
const FIRST_SIZE: usize = 16;
/// The longest time without a try after a refusal. A refusal by the dispatcher costs no message, and a place
/// that another job or a caller left is found no later than this. Chosen, not measured.
const MAX_HOLD: Duration = Duration::from_millis(100);

/// A window that closes at a refusal and opens with each completion (compare the congestion windows of
/// Jacobson, "Congestion avoidance and control", 1988; a refusal names the limit exactly, so nothing is
/// halved).
#[derive(Clone, Copy, Debug)]
pub(super) struct DispatchWindow {
    limit: usize,
    size: usize,
    hold_ends: Option<Timestamp>,
}

impl DispatchWindow {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, size: FIRST_SIZE.min(limit), hold_ends: None }
    }

    /// Whether another attempt may start beside those that run.
    pub(super) fn allows(&self, running: usize) -> bool {
        self.hold_ends.is_none() && running < self.size
    }

    /// Ends a hold whose time has come, with room for one more try.
    pub(super) fn advance(&mut self, now: Timestamp) {
        if self.hold_ends.is_some_and(|at| at <= now) {
            self.hold_ends = None;
            self.grow();
        }
    }

    /// The pool took no more than those that run.
    pub(super) fn refused(&mut self, running: usize, retry_after: Option<Duration>, now: Timestamp) {
        self.size = running.min(self.limit);
        let hold = retry_after.map_or(MAX_HOLD, |hold| hold.min(MAX_HOLD));
        self.hold_ends = Some(now + hold);
    }

    /// An attempt ended and left its place.
    pub(super) fn completed(&mut self) {
        self.hold_ends = None;
        self.grow();
    }

    /// When a hold ends.
    pub(super) fn hold_ends(&self) -> Option<Timestamp> {
        self.hold_ends
    }

    /// How many attempts may run.
    pub(super) fn size(&self) -> usize {
        self.size
    }

    fn grow(&mut self) {
        self.size = (self.size + 1).min(self.limit);
    }
}
