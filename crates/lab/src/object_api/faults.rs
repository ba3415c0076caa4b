//! The faults that the object API shows on request, and what it counts.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// The body of `PUT /faults`: everything that is not named is healthy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectApiFaults {
    /// Every connection is closed without an answer, and nothing takes effect.
    pub down: bool,
    /// Milliseconds that each request waits before it is read.
    pub slow_ms: u64,
    /// The replies of this many further writes are lost, after the write has taken effect.
    pub lose_next_replies: u32,
    /// Of the writes after these, this share loses its reply in the same way, in percent.
    pub lose_replies_percent: u8,
    /// The seed that chooses which.
    pub seed: u64,
}

/// What `GET /faults/counters` answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectApiCounters {
    /// Watches open now: the readers.
    pub open_watches: u32,
    /// The most watches that were open at once.
    pub peak_open_watches: u32,
    /// Watches begun.
    pub watches: u64,
    /// Reads of one object.
    pub reads: u64,
    /// Lists.
    pub lists: u64,
    /// Writes asked for.
    pub writes: u64,
    /// Writes refused since the base version was not current.
    pub conflicts: u64,
    /// Writes that took effect and whose reply was lost.
    pub lost_replies: u64,
    /// Requests that met the store down.
    pub refused_down: u64,
}

/// The faults in force with the random source that serves them.
#[derive(Debug)]
pub struct FaultState {
    faults: ObjectApiFaults,
    random: Pcg64Mcg,
}

impl FaultState {
    /// Healthy, or faulty from the start.
    pub fn new(faults: ObjectApiFaults) -> Self {
        let random = Pcg64Mcg::seed_from_u64(faults.seed);
        Self { faults, random }
    }

    /// What is in force; `lose_next_replies` counts down.
    pub fn faults(&self) -> &ObjectApiFaults {
        &self.faults
    }

    /// Whether the reply of a write that has just taken effect is to be lost.
    pub fn loses_reply(&mut self) -> bool {
        if self.faults.lose_next_replies > 0 {
            self.faults.lose_next_replies -= 1;
            return true;
        }
        let percent = self.faults.lose_replies_percent;
        percent > 0 && self.random.random_range(0..100) < percent
    }
}
