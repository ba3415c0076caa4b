//! How long a request waits at one replica before it may go to another.
//!
//! Inputs: what is left of the request's own time, or the answer time that its route aims at. Units:
//! [`Duration`]. Too short a time runs requests twice at replicas that are merely slow; too long a time leaves
//! none for the replica that would have answered.
//!
//! The time alone ends no plain request: it moves once [`crate::ingress::selection`] has reserved a place at
//! another replica for it, and waits where it is until then.

use std::time::Duration;

/// The part of the remaining time that one replica is given before another may be tried: three tries fit,
/// each with a third of what is left.
const REMAINING_SHARE: f64 = 0.35;
/// The least time for one replica: twice the 150 ms that plain routes aim at, so that a replica which is
/// merely slow is not given up.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause until a request that could not move is tried again: a replica that turns free meanwhile is found
/// well within the time that a try takes.
pub const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// A replica is given this many times the answer time that its route aims at before a score request goes
/// elsewhere.
const SCORE_TARGETS: u32 = 4;
/// The longest time for a score request at a replica where it was not cut off before: a silent scorer holds up
/// one item of a group that a trainer waits for.
const MAX_SCORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest time for one that comes to a replica again.
const MAX_REPEATED_SCORE_TIMEOUT: Duration = Duration::from_secs(6);

/// The time after which a plain request that has `remaining` left may move to another replica.
pub fn for_request(remaining: Duration) -> Duration {
    remaining.mul_f64(REMAINING_SHARE).max(MIN_TIMEOUT).min(remaining)
}

/// The time for one replica of a score request, whose route aims at an answer within `target` and may set a
/// limit of its own. Doubled with each time that the request was cut off at the same replica: where no other
/// can be had, a scorer that is slower than its route aims at would never answer.
pub(crate) fn for_score_request(
    target: Duration,
    route_timeout: Option<Duration>,
    times_cut_off: u32,
) -> Duration {
    let first = (target * SCORE_TARGETS).clamp(MIN_TIMEOUT, MAX_SCORE_TIMEOUT);
    let timeout = first.saturating_mul(2_u32.saturating_pow(times_cut_off)).min(MAX_REPEATED_SCORE_TIMEOUT);
    route_timeout.map_or(timeout, |route_timeout| route_timeout.min(timeout))
}
