//! What runs of the configuration simulation showed.

use super::checks::Violation;
use crate::simulations::ScheduleReport;

/// What one or more runs showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Faults that fell on nodes, and on the platform.
    pub faults: usize,
    /// Changes accepted.
    pub accepted: usize,
    /// Changes that lost a race.
    pub conflicts: usize,
    /// Changes of which nothing was written.
    pub not_written: usize,
    /// Changes of which the operator does not know.
    pub unknown: usize,
    /// Replies lost after a write took effect.
    pub lost_replies: u64,
    /// The most nodes of one region that read the platform at once, takeovers included.
    pub most_readers: usize,
    /// What must never happen and did, with its seed.
    pub violations: Vec<(u64, Violation)>,
}

impl RunReport {
    /// Adds what another run showed.
    pub fn add(&mut self, other: Self) {
        self.faults += other.faults;
        self.accepted += other.accepted;
        self.conflicts += other.conflicts;
        self.not_written += other.not_written;
        self.unknown += other.unknown;
        self.lost_replies += other.lost_replies;
        self.most_readers = self.most_readers.max(other.most_readers);
        self.violations.extend(other.violations);
    }

    pub(super) fn summarized(self) -> ScheduleReport {
        ScheduleReport {
            violations: self.violations.into_iter().map(|(_, violation)| violation.to_string()).collect(),
            counts: vec![
                ("faults", self.faults as u64),
                ("changes accepted", self.accepted as u64),
                ("changes that lost a race", self.conflicts as u64),
                ("changes not written", self.not_written as u64),
                ("changes unknown to their operator", self.unknown as u64),
                ("replies lost after the write", self.lost_replies),
            ],
        }
    }
}
