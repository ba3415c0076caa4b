//! Decides when an owner replaces its log by a snapshot, and how large its state may become.
//!
//! Invariant: while the state is within [`LogUsage::state_limit`], the stores have room for one more snapshot beside
//! the log after every append that they accept.

/// Size of the log since the last snapshot below which rewriting it is not worth its cost, in bytes.
const MIN_REWRITE_BYTES: u64 = 96 << 20;
/// Least size of the log since the last snapshot as a multiple of the state. Rewriting then costs at most half of what
/// was appended.
const MIN_REWRITE_STATES: u64 = 2;
/// Divides the state for the least number of bytes that a snapshot has to free when the stores lack room.
const MIN_GAIN_DIVISOR: u64 = 4;
/// Divides the bytes of the state to estimate how much larger its snapshot is, because of lengths and numbers.
const SNAPSHOT_OVERHEAD_DIVISOR: u64 = 4;
/// Divides the room for the log to get the room that is kept free beside the log and a snapshot, for the records
/// appended until the snapshot is written.
const MARGIN_DIVISOR: u64 = 16;

/// Why a log is to be compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionCause {
    /// The log is much larger than the state.
    LongLog,
    /// The stores soon have no room for a snapshot.
    LowRoom,
}

impl CompactionCause {
    /// Returns the name used in decisions.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LongLog => "long_log",
            Self::LowRoom => "low_room",
        }
    }
}

/// Sizes of a log, of the state that it produces and of the room that the stores have for it, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogUsage {
    /// The last snapshot.
    snapshot_bytes: u64,
    /// The records after it.
    appended_bytes: u64,
    state_bytes: u64,
    /// Free room as last reported by a majority of the stores.
    free_bytes: Option<u64>,
    /// The largest room seen, which the log takes in part. Stores free the room of removed records with a delay.
    room_bytes: u64,
}

impl LogUsage {
    /// Returns the usage of a log that has been taken over and holds this many bytes.
    pub fn of_log(log_bytes: u64) -> Self {
        Self { appended_bytes: log_bytes, ..Self::default() }
    }

    /// Sets the size of the state.
    pub const fn set_state(&mut self, state_bytes: u64) {
        self.state_bytes = state_bytes;
    }

    /// Sets the free room that a majority of the stores reported, if they did.
    pub fn set_free(&mut self, free_bytes: Option<u64>) {
        self.free_bytes = free_bytes;
        let room_bytes = free_bytes.map_or(0, |free_bytes| self.log_bytes().saturating_add(free_bytes));
        self.room_bytes = self.room_bytes.max(room_bytes);
    }

    /// Counts records that were appended.
    pub const fn appended(&mut self, bytes: u64) {
        self.appended_bytes = self.appended_bytes.saturating_add(bytes);
    }

    /// Counts a snapshot that replaced the log.
    pub const fn compacted(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.appended_bytes = 0;
    }

    /// Returns why the log is to be compacted before `next_bytes` are appended, if it is.
    pub fn compaction_due(&self, next_bytes: u64) -> Option<CompactionCause> {
        let snapshot_bytes = self.snapshot_estimate();
        if self.appended_bytes >= MIN_REWRITE_BYTES.max(snapshot_bytes.saturating_mul(MIN_REWRITE_STATES)) {
            return Some(CompactionCause::LongLog);
        }
        let needed_bytes = snapshot_bytes.saturating_add(self.margin()).saturating_add(next_bytes);
        let lacks_room = self.free_bytes? < needed_bytes;
        let gain = self.log_bytes().saturating_sub(snapshot_bytes);
        let is_worth_it = self.appended_bytes > 0 && gain > snapshot_bytes / MIN_GAIN_DIVISOR;
        (lacks_room && is_worth_it).then_some(CompactionCause::LowRoom)
    }

    /// Returns the largest state for which the stores have room for two snapshots, the one in force and the next one,
    /// and for which compacting frees room. `None` if the room is unknown.
    pub fn state_limit(&self) -> Option<u64> {
        self.free_bytes?;
        let room_bytes = self.room_bytes.saturating_sub(2 * self.margin());
        let snapshot_bytes = room_bytes / (2 * MIN_GAIN_DIVISOR + 1) * MIN_GAIN_DIVISOR;
        Some(snapshot_bytes / (SNAPSHOT_OVERHEAD_DIVISOR + 1) * SNAPSHOT_OVERHEAD_DIVISOR)
    }

    const fn log_bytes(&self) -> u64 {
        self.snapshot_bytes.saturating_add(self.appended_bytes)
    }

    const fn snapshot_estimate(&self) -> u64 {
        self.state_bytes.saturating_add(self.state_bytes / SNAPSHOT_OVERHEAD_DIVISOR)
    }

    const fn margin(&self) -> u64 {
        self.room_bytes / MARGIN_DIVISOR
    }
}
