//! Detects that the open jobs of a service need more work than its slots complete in time.
//!
//! Load pattern: several trainers submit large jobs at the same time, so that the waiting work takes longer to start
//! than the jobs have. A burst that drains well before the jobs are due is served in the usual order.

/// Drain time as a share of the time in which jobs are due from which on there is a shortage. Within a third, the
/// last items to start still have two thirds of the time to run and be scored.
const MAX_DRAIN_SHARE: f64 = 1.0 / 3.0;

/// The waiting work of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Estimated work of the waiting items that open jobs need, in slot-seconds.
    pub work_s: f64,
    /// Number of usable slots.
    pub slots: u32,
    /// Shortest time from submission in which one of the jobs is due, in seconds.
    pub due_s: f64,
}

impl Backlog {
    /// Returns the time in which the work drains, in seconds. Without slots it does not drain, and there is nothing
    /// to share either.
    pub fn drain_s(&self) -> Option<f64> {
        (self.slots > 0).then(|| self.work_s / f64::from(self.slots))
    }

    /// Returns whether there is a shortage.
    pub fn is_short(&self) -> bool {
        self.drain_s().is_some_and(|drain| drain > self.due_s * MAX_DRAIN_SHARE)
    }

    /// Returns the slot-seconds that the slots provide in half of the time in which jobs are due. Jobs overlap, so
    /// half of the time is what each of them can count on.
    pub fn capacity_s(&self) -> f64 {
        f64::from(self.slots) * self.due_s / 2.0
    }
}
