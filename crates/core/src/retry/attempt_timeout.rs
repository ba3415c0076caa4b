//! Computes how long a request waits at one replica before it may move to another.
//!
//! The timeout is derived from the request's remaining time or from the target answer time of its route. If it
//! is too short, slow replicas cause duplicate work; if it is too long, no time is left for another replica.
//!
//! The timeout does not cancel a plain request. The request stays where it is until
//! [`crate::ingress::selection`] has reserved another replica for it.
//!
//! Where replicas report their pace, a plain request may move earlier, so that it is still answered within the
//! target ([`early_move_at`]). [`super::early_moves`] limits these moves.

use std::time::Duration;

use crate::time::Timestamp;

/// Share of the remaining time given to one replica. Three tries fit, each with a third of what is left.
const REMAINING_SHARE: f64 = 0.35;
/// Minimum time for one replica: twice the usual target answer time of plain routes (150 ms).
const MIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the target after which a request may move early. The rest of the target, 60 ms of 150 ms, is about three
/// times the usual work of a plain request (21 to 25 ms), so that a replica with a queue of one can still answer.
const EARLY_MOVE_TARGET_SHARE: f64 = 0.6;
/// Minimum time between the first byte of a send and an early move, as a share of the target. The platform does not
/// count a send that was cut off sooner as an attempt.
const MIN_ATTEMPT_TARGET_SHARE: f64 = 0.5;
/// Interval at which a request that could not move tries again to reserve another replica.
pub const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a score request at one replica, as a multiple of the target answer time of its route.
const SCORE_TARGET_MULTIPLE: u32 = 4;
/// Maximum timeout of a score request at a replica where it has not timed out before; bounds the delay of a
/// group by one unresponsive scorer.
const MAX_SCORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum timeout of a score request at a replica where it has timed out before.
const MAX_REPEATED_SCORE_TIMEOUT: Duration = Duration::from_secs(6);

/// Returns the time after which a plain request with `remaining` time left may move to another replica.
pub fn for_request(remaining: Duration) -> Duration {
    remaining.mul_f64(REMAINING_SHARE).max(MIN_TIMEOUT).min(remaining)
}

/// Returns when a request may move early: `EARLY_MOVE_TARGET_SHARE` of the target after its replica was selected,
/// and at least `MIN_ATTEMPT_TARGET_SHARE` of the target after its first byte was written. The time that was spent on
/// opening a connection does not count as an attempt.
pub fn early_move_at(target: Duration, selected_at: Timestamp, written_at: Timestamp) -> Timestamp {
    let by_target = selected_at + target.mul_f64(EARLY_MOVE_TARGET_SHARE);
    by_target.max(written_at + target.mul_f64(MIN_ATTEMPT_TARGET_SHARE))
}

/// Returns the timeout of a score request at one replica. `target` is the target answer time of its route, and
/// `route_timeout` the route's own limit, if any.
///
/// The timeout doubles each time the request times out at the same replica, so that a scorer slower than the
/// target can still answer when no other replica is available.
pub(crate) fn for_score_request(
    target: Duration,
    route_timeout: Option<Duration>,
    times_cut_off: u32,
) -> Duration {
    let first = (target * SCORE_TARGET_MULTIPLE).clamp(MIN_TIMEOUT, MAX_SCORE_TIMEOUT);
    let timeout = first.saturating_mul(2_u32.saturating_pow(times_cut_off)).min(MAX_REPEATED_SCORE_TIMEOUT);
    route_timeout.map_or(timeout, |route_timeout| route_timeout.min(timeout))
}
