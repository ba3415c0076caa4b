//! Limits and time-outs of a proposer, and its safety checks.

use std::time::Duration;

/// Least rate at which entries are expected to reach a replica, in bytes per second. The link of an owner is shared
/// by all replicas and its other traffic.
const MINIMUM_TRANSFER_RATE: f64 = 1_000_000.0;

/// Returns how much longer a request may take because of the entries that it carries. A large request that is given
/// up and sent again while the link still carries it doubles the load that made it slow.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MINIMUM_TRANSFER_RATE)
}

/// Limits and time-outs of a proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposerConfig {
    /// Time after which a request without a response is sent again, in addition to its [`transfer_time`].
    pub retransmit_after: Duration,
    /// Maximum size of the entries in one request, in bytes. A larger record is sent alone.
    pub maximum_batch_bytes: usize,
    /// Maximum size of the entries kept for replicas that are behind, in bytes. Decided entries beyond it are
    /// left to the replicas' repair.
    pub window_bytes: usize,
    /// How often the epoch is raised above a higher one met while preparing, before the take-over is given
    /// up.
    pub maximum_epoch_raises: u32,
}

impl Default for ProposerConfig {
    fn default() -> Self {
        Self {
            retransmit_after: Duration::from_millis(500),
            maximum_batch_bytes: 1 << 20,
            window_bytes: 8 << 20,
            maximum_epoch_raises: 3,
        }
    }
}

/// Safety checks of a proposer. All are enabled in production; tests disable one to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposerChecks {
    /// Reads a majority and has entries that may be decided accepted again.
    pub recover: bool,
    /// Reports a position as decided only once a majority has its entry.
    pub wait_for_majority: bool,
    /// Skips records of a superseded owner that were not decided before a later owner appended.
    pub skip_superseded: bool,
    /// Keeps the ballot in the next set instead of taking the shard over again.
    pub keep_ballot: bool,
}

impl Default for ProposerChecks {
    fn default() -> Self {
        Self { recover: true, wait_for_majority: true, skip_superseded: true, keep_ballot: true }
    }
}
