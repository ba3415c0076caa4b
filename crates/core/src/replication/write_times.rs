//! When the writes of an owner began that are not decided yet.
//!
//! A decided write shows that no majority had promised a later owner's ballot when the write began.

use std::collections::VecDeque;

use super::entry::LogIndex;

/// Begin of each write in progress, on a clock of the driver.
#[derive(Debug)]
pub struct WriteTimes<T> {
    began: VecDeque<(LogIndex, T)>,
    last: LogIndex,
}

impl<T> WriteTimes<T> {
    /// Creates the times of the writes after a position.
    pub const fn after(last: LogIndex) -> Self {
        Self { began: VecDeque::new(), last }
    }

    /// Records that everything up to `last` that was not appended before was appended at `now`. Must be called before
    /// any of it is sent.
    pub fn appended(&mut self, last: LogIndex, now: T) {
        if last > self.last {
            self.last = last;
            self.began.push_back((last, now));
        }
    }

    /// Returns when the last write began that is decided as a whole now, and was not before.
    pub fn decided(&mut self, through: LogIndex) -> Option<T> {
        let mut latest = None;
        while self.began.front().is_some_and(|(last, _)| *last <= through) {
            latest = self.began.pop_front();
        }
        latest.map(|(_, began)| began)
    }
}
