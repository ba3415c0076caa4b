//! The load that a replica reports with its answers.

/// Load of a replica at the time of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that the replica runs concurrently; 0 if it does not report them.
    pub slots: u32,
    /// How long work takes at present, in percent of the usual time; `None` if the replica does not report it.
    pub pace_percent: Option<u32>,
}

impl ReplicaLoad {
    /// Returns the number of requests that run or wait.
    pub const fn in_hand(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns the load without one of the requests.
    #[must_use]
    pub const fn without_one(self) -> Self {
        if self.running > 0 {
            return Self { running: self.running - 1, ..self };
        }
        Self { waiting: self.waiting.saturating_sub(1), ..self }
    }
}
