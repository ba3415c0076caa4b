//! Limits and times of a proposer, and the mechanisms that proofs switch off one by one.

use std::time::Duration;

/// Limits and times of a proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposerConfig {
    /// A request without an answer is sent again after this time.
    pub retransmit_after: Duration,
    /// Bytes of entries in one request; one larger record makes a request of its own.
    pub maximum_batch_bytes: usize,
    /// Bytes of decided entries kept for replicas that are behind; older ones are left to their repair.
    pub window_bytes: usize,
    /// How often a higher epoch met while preparing is outbid before the other proposer is let through.
    pub maximum_epoch_raises: u32,
}

impl Default for ProposerConfig {
    /// All chosen, not measured; what a wrong value costs stands beside each.
    fn default() -> Self {
        Self {
            // Shorter sends entries twice to a store that is only busy, longer delays a record whose request was lost.
            retransmit_after: Duration::from_millis(500),
            // Less takes more round trips for a long log, more holds a connection and a store for longer at a time.
            maximum_batch_bytes: 1 << 20,
            // Less sends stores that were away for a moment to the slower repair, more takes memory for each log.
            window_bytes: 8 << 20,
            // Fewer gives up against an owner that is gone, more lets two proposers outbid each other for longer.
            maximum_epoch_raises: 3,
        }
    }
}

/// Mechanisms of a proposer. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposerChecks {
    /// Read a majority and accept again what may be decided.
    pub recover: bool,
    /// Call a position decided only once a majority has it.
    pub wait_for_majority: bool,
    /// Leave out records that a later owner overtook before they were decided.
    pub skip_superseded: bool,
    /// Go on under the same ballot in the next set, instead of asking for the shard anew.
    pub keep_ballot: bool,
}

impl Default for ProposerChecks {
    fn default() -> Self {
        Self { recover: true, wait_for_majority: true, skip_superseded: true, keep_ballot: true }
    }
}
