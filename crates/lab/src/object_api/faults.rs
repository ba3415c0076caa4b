//! Simulated faults and counters of the object API.

/// Faults that the object API simulates; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectApiFaults {
    /// Closes every connection without a response; requests have no effect.
    pub down: bool,
    /// Number of further writes whose response is lost after the write is applied.
    pub lose_next_replies: u32,
}

impl ObjectApiFaults {
    /// Returns whether to lose the response of the write just applied, and decrements the number left to lose.
    pub(super) fn consume_lost_reply(&mut self) -> bool {
        let is_lost = self.lose_next_replies > 0;
        self.lose_next_replies = self.lose_next_replies.saturating_sub(1);
        is_lost
    }
}

/// Counters of the object API.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectApiCounters {
    /// Watches open now.
    pub open_watches: u32,
    /// Highest number of watches open at once.
    pub peak_open_watches: u32,
    /// Write requests with a valid body, including conflicting ones.
    pub writes: u64,
    /// Applied writes whose response was lost.
    pub lost_replies: u64,
}
