//! Time as far as this node was awake to see it.
//!
//! A process that is frozen for a while wakes to find every deadline past and every answer unread in its socket.
//! Taken at its word the clock would make it declare healthy members failed. So the protocol runs on the time
//! awake: what a timer was late by is this node's own stall and does not count against others. The idea of
//! crediting timer lateness comes from "Terminal Transport & Resume (Hive)", section on host-load-aware
//! liveness; the second signal there, memory pressure of the machine, is not used.

use std::time::Duration;

use crate::time::Timestamp;

/// Turns the driver's clock into time awake.
#[derive(Clone, Debug)]
pub(super) struct AwakeClock {
    stalled: Duration,
    tolerance: Option<Duration>,
}

impl AwakeClock {
    /// A clock that credits stalls longer than `tolerance`; `None` credits none.
    pub(super) fn new(tolerance: Option<Duration>) -> Self {
        Self { stalled: Duration::ZERO, tolerance }
    }

    /// Time awake, given that the node should have been woken at `due` (in time awake).
    ///
    /// Returns it with the stall that was credited just now.
    pub(super) fn read(&mut self, clock: Timestamp, due: Option<Timestamp>) -> (Timestamp, Duration) {
        let awake = self.awake(clock);
        let late = due.map_or(Duration::ZERO, |due| awake.saturating_since(due));
        if self.tolerance.is_none_or(|tolerance| late <= tolerance) {
            return (awake, Duration::ZERO);
        }
        self.stalled += late;
        (self.awake(clock), late)
    }

    /// A point of time awake on the driver's clock.
    pub(super) fn to_clock(&self, awake: Timestamp) -> Timestamp {
        awake + self.stalled
    }

    fn awake(&self, clock: Timestamp) -> Timestamp {
        let stalled = u64::try_from(self.stalled.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(clock.as_micros().saturating_sub(stalled))
    }
}
