//! Bounds the memory of answers that a gateway keeps because their callers do not read them.
//!
//! Load pattern: callers that ask and then stop reading (a trainer that is stopped in a debugger, or a network that
//! drops packets) while others read at their usual pace. Each keeps up to 64 events of a stream, a page of results of
//! about 1 MB or a plain answer of up to 8 MB in the gateway, whose machine may have 120 MB and is killed beyond that.
//!
//! Above the bound, a gateway takes no new streams and no new reads of result pages, and aborts the connections whose
//! callers have taken nothing for the longest time. Below the bound nothing is refused or aborted.

use std::time::Duration;

use crate::time::Timestamp;

/// Divisor of the machine's memory for answers that callers have not read. The rest is for requests, answers of
/// replicas that are still being read, the metadata, and the log that the machine may follow.
const MEMORY_DIVISOR: u64 = 4;
/// Time without progress after which a connection may be aborted. Longer than a lost packet takes to be sent again
/// several times (TCP waits 0.2, 0.4, 0.8 and 1.6 s), so that a caller on a poor network is not taken for one that
/// does not read.
const STALL_TIME: Duration = Duration::from_secs(5);
/// Maximum time between two looks at the connections. After a longer one this process was itself stopped, and how
/// long callers have taken nothing is not known.
const MAX_POLL_GAP: Duration = Duration::from_secs(2);

/// The bound of unread answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadLimit {
    /// Maximum number of bytes kept for callers before new answers are refused.
    pub bytes: u64,
    /// Time without progress after which a connection may be aborted.
    pub stall_time: Duration,
}

impl UnreadLimit {
    /// Returns the bound for a machine with this memory.
    pub const fn for_memory(memory_bytes: u64) -> Self {
        Self { bytes: memory_bytes / MEMORY_DIVISOR, stall_time: STALL_TIME }
    }

    /// Returns whether new streams and reads of result pages are taken while this many bytes are kept.
    pub const fn admits(&self, kept_bytes: u64) -> bool {
        kept_bytes <= self.bytes
    }
}

/// What is kept for the caller of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Number of the connection.
    pub connection: u64,
    /// Bytes that are kept for it.
    pub bytes: u64,
    /// The later of when the caller last took some bytes and when the first of these bytes were kept.
    pub progress_at: Timestamp,
}

/// Chooses the connections to abort.
///
/// Invariants: a connection is chosen only while the sum is above the bound and only if its caller was observed to
/// take nothing for [`UnreadLimit::stall_time`]; those that took nothing for longer are chosen first.
#[derive(Clone, Debug)]
pub struct UnreadAnswers {
    limit: UnreadLimit,
    polled_at: Timestamp,
    /// Since when this process has looked at the connections without interruption.
    observed_since: Timestamp,
}

impl UnreadAnswers {
    /// Creates a state that observes connections from `now` on.
    pub const fn new(limit: UnreadLimit, now: Timestamp) -> Self {
        Self { limit, polled_at: now, observed_since: now }
    }

    /// Records that the connections are looked at now. Called at an interval well below two seconds.
    pub fn observe(&mut self, now: Timestamp) {
        if now.saturating_since(self.polled_at) > MAX_POLL_GAP {
            self.observed_since = now;
        }
        self.polled_at = now;
    }

    /// Returns the connections to abort, given the sum of the bytes kept and the connections with kept bytes.
    pub fn to_abort(
        &self,
        now: Timestamp,
        kept_bytes: u64,
        connections: impl IntoIterator<Item = KeptAnswer>,
    ) -> Vec<KeptAnswer> {
        if self.limit.admits(kept_bytes) {
            return Vec::new();
        }
        let is_stalled = |kept: &KeptAnswer| {
            let since = kept.progress_at.max(self.observed_since);
            kept.bytes > 0 && now.saturating_since(since) >= self.limit.stall_time
        };
        let mut stalled: Vec<KeptAnswer> = connections.into_iter().filter(is_stalled).collect();
        stalled.sort_by_key(|kept| (kept.progress_at, kept.connection));
        let mut left = kept_bytes;
        stalled
            .into_iter()
            .take_while(|kept| {
                let is_needed = !self.limit.admits(left);
                left = left.saturating_sub(kept.bytes);
                is_needed
            })
            .collect()
    }
}
