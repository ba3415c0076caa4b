//! Decides when an owner replaces its log by a snapshot, and how large its state may become.
//!
//! Invariant: while the state is within [`LogUsage::state_limit`], the stores have room for two more snapshots beside
//! the log after every append that they accept. The parts of a snapshot whose owner ends before the last one stay until
//! a later snapshot is decided, so that one alone would leave no room for the next owner's.

/// Size of the log since the last snapshot below which rewriting it is not worth its cost, in bytes.
const MIN_REWRITE_BYTES: u64 = 96 << 20;
/// Least size of the log since the last snapshot as a multiple of the state. Rewriting then costs at most half of what
/// was appended.
const MIN_REWRITE_STATES: u64 = 2;
/// Divides the state for the least number of bytes that a snapshot has to free when the stores lack room.
const MIN_GAIN_DIVISOR: u64 = 4;
/// Divides the bytes of the state to estimate how much larger its snapshot is, because of lengths and numbers.
const SNAPSHOT_OVERHEAD_DIVISOR: u64 = 4;
/// Divides the room for the log to get the room that is kept free beside the log and the snapshots, for the records
/// appended until the snapshot is written.
const MARGIN_DIVISOR: u64 = 16;
/// Number of further snapshots for which room is kept: one that is interrupted, and the one that replaces it.
const RESERVED_SNAPSHOTS: u64 = 2;

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
    /// The room that the log takes in part.
    room_bytes: u64,
    /// Whether the stores may not have removed the records that the last snapshot replaced.
    awaits_removal: bool,
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
        let Some(free_bytes) = free_bytes else { return };
        let room_bytes = self.log_bytes().saturating_add(free_bytes);
        self.awaits_removal &= room_bytes < self.room_bytes && self.appended_bytes < self.margin();
        if !self.awaits_removal {
            self.room_bytes = room_bytes;
        }
    }

    /// Counts records that were appended.
    pub const fn appended(&mut self, bytes: u64) {
        self.appended_bytes = self.appended_bytes.saturating_add(bytes);
    }

    /// Counts a snapshot that replaced the log.
    pub const fn compacted(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.appended_bytes = 0;
        self.awaits_removal = true;
    }

    /// Returns why the log is to be compacted before `next_bytes` are appended, if it is.
    pub fn compaction_due(&self, next_bytes: u64) -> Option<CompactionCause> {
        let snapshot_bytes = snapshot_estimate(self.state_bytes);
        if self.appended_bytes >= MIN_REWRITE_BYTES.max(snapshot_bytes.saturating_mul(MIN_REWRITE_STATES)) {
            return Some(CompactionCause::LongLog);
        }
        // The records may add as much to the state.
        let reserved_bytes = snapshot_estimate(self.state_bytes + next_bytes) * RESERVED_SNAPSHOTS;
        let needed_bytes = reserved_bytes.saturating_add(self.margin()).saturating_add(next_bytes);
        let lacks_room = self.free_bytes? < needed_bytes;
        let gain = self.log_bytes().saturating_sub(snapshot_bytes);
        let is_worth_it = self.appended_bytes > 0 && gain > snapshot_bytes / MIN_GAIN_DIVISOR;
        (lacks_room && is_worth_it).then_some(CompactionCause::LowRoom)
    }

    /// Returns the largest state for which the stores have room for the snapshot in force and the reserved ones, and for
    /// which compacting frees room. `None` if the room is unknown.
    pub fn state_limit(&self) -> Option<u64> {
        self.free_bytes?;
        let room_bytes = self.room_bytes.saturating_sub(2 * self.margin());
        let snapshots = (RESERVED_SNAPSHOTS + 1) * MIN_GAIN_DIVISOR + 1;
        let snapshot_bytes = room_bytes / snapshots * MIN_GAIN_DIVISOR;
        Some(snapshot_bytes / (SNAPSHOT_OVERHEAD_DIVISOR + 1) * SNAPSHOT_OVERHEAD_DIVISOR)
    }

    const fn log_bytes(&self) -> u64 {
        self.snapshot_bytes.saturating_add(self.appended_bytes)
    }

    const fn margin(&self) -> u64 {
        self.room_bytes / MARGIN_DIVISOR
    }
}

/// Estimates the size of a snapshot of a state with this many bytes.
const fn snapshot_estimate(state_bytes: u64) -> u64 {
    state_bytes.saturating_add(state_bytes / SNAPSHOT_OVERHEAD_DIVISOR)
}
