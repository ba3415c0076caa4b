//! Computes how long a request waits for metadata that its gateway has not read since it started.
//!
//! A gateway reads its configuration, the replicas and the evacuated zones independently. Until it knows all of
//! them, it can't tell whether a request can be served: refusing at once would turn away requests that a
//! replica could run, and waiting until the deadline would leave no time for an attempt at another gateway.

use std::time::Duration;

/// Share of the remaining time; the rest is left for an attempt at another gateway.
const REMAINING_SHARE: f64 = 0.5;
/// Maximum wait. Covers a first list that fails and the copy of a peer that replaces it; a gateway that knows
/// nothing by then can reach neither the platform nor a peer.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Maximum number of requests that wait at one gateway. Their bodies are held in memory.
pub const MAX_WAITING_REQUESTS: usize = 1_024;

/// Returns how long a request with `remaining` time left waits before it is refused as not run.
pub fn max_wait(remaining: Duration) -> Duration {
    remaining.mul_f64(REMAINING_SHARE).min(MAX_WAIT)
}
