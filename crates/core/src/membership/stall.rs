//! Protocol time: the driver's clock without the stalls of this process.
//!
//! After a process has been suspended, all its deadlines have passed while answers are still unread in its
//! socket. With the driver's clock it would declare healthy members failed. Protocol time therefore excludes
//! the lateness of timers, which is attributed to this node and not to other members. Based on the timer
//! lateness credit in "Terminal Transport & Resume (Hive)", section on host-load-aware liveness.

use std::time::Duration;

use crate::time::Timestamp;

/// Converts between the driver's clock and protocol time.
#[derive(Clone, Debug)]
pub(super) struct ProtocolClock {
    total_stall: Duration,
    tolerance: Option<Duration>,
}

impl ProtocolClock {
    /// Creates a clock that excludes stalls longer than `tolerance`, or none if it is `None`.
    pub(super) fn new(tolerance: Option<Duration>) -> Self {
        Self { total_stall: Duration::ZERO, tolerance }
    }

    /// Returns the protocol time and the newly excluded stall. `due` is the next deadline, in protocol time.
    pub(super) fn read(&mut self, driver_time: Timestamp, due: Option<Timestamp>) -> (Timestamp, Duration) {
        let protocol_time = self.protocol_time(driver_time);
        let lateness = due.map_or(Duration::ZERO, |due| protocol_time.saturating_since(due));
        if self.tolerance.is_none_or(|tolerance| lateness <= tolerance) {
            return (protocol_time, Duration::ZERO);
        }
        self.total_stall += lateness;
        (self.protocol_time(driver_time), lateness)
    }

    /// Converts protocol time to the driver's clock.
    pub(super) fn to_driver_time(&self, protocol_time: Timestamp) -> Timestamp {
        protocol_time + self.total_stall
    }

    fn protocol_time(&self, driver_time: Timestamp) -> Timestamp {
        let total_stall = u64::try_from(self.total_stall.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(driver_time.as_micros().saturating_sub(total_stall))
    }
}
