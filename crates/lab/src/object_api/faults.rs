//! The faults that the object API shows on request, and what it counts.

/// How it fails; by default it does not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectApiFaults {
    /// Every connection is closed without an answer, and nothing takes effect.
    pub down: bool,
    /// The replies of this many further writes are lost, after the write has taken effect.
    pub lose_next_replies: u32,
}

impl ObjectApiFaults {
    /// Whether the reply of a write that has just taken effect is to be lost.
    pub(super) fn loses_reply(&mut self) -> bool {
        let loses = self.lose_next_replies > 0;
        self.lose_next_replies = self.lose_next_replies.saturating_sub(1);
        loses
    }
}

/// What it has done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectApiCounters {
    /// Watches open now: the readers.
    pub open_watches: u32,
    /// The most watches that were open at once.
    pub peak_open_watches: u32,
    /// Writes asked for.
    pub writes: u64,
    /// Writes that took effect and whose reply was lost.
    pub lost_replies: u64,
}
