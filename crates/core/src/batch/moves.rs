//! Decides when a run moves to a faster replica.
//!
//! Inputs: the pace (seconds per event) on the current and on the other replica, each including the run
//! itself (`schedule`), and the number of events the run has produced. The item that completes a training
//! step last is usually a long one on a slow replica. Where replicas report their pace, the pace on the current one
//! is the one it kept for longer than a slowdown (`sustained_pace`). A lower bound on the speedup alone would move short
//! runs as well, which costs more than it gains.

use std::time::Duration;

/// Minimum speedup for a move. Measured paces vary by some percent, and the fastest of many similar replicas
/// looks faster than it is.
const MIN_SPEEDUP: f64 = 1.18;
/// Minimum speedup for a move into a slot for which other items wait. The slow replica's slot is left to a waiting item,
/// so a smaller speedup only exchanges which of the two items is slow, at the cost of the move.
const MIN_SPEEDUP_UNDER_SHORTAGE: f64 = 2.0;
/// Cost of a move in seconds: connecting, reading the prompt and the previous output again, and the first
/// event.
const MOVE_COST_S: f64 = 0.2;
/// Maximum moves per tick. Each move slows the target, which the measured pace shows only later.
pub(super) const MAX_MOVES_PER_TICK: usize = 8;
/// Minimum time on a replica before a run moves, so that its pace there is known.
pub(super) const MIN_TIME_ON_REPLICA: Duration = Duration::from_millis(500);

/// Returns whether moving a run from a pace of `pace` to one of `other` seconds per event saves more than the
/// move costs. Lengths have a long tail, so a run is expected to produce as many events again.
pub(super) fn is_worth_moving(pace: f64, other: f64, events: usize) -> bool {
    let gain = (pace - other) * events as f64;
    other * MIN_SPEEDUP < pace && gain > MOVE_COST_S
}

/// Returns whether a run may move from a pace of `pace` to one of `other` seconds per event, into a slot for which
/// other items wait.
pub(super) fn is_worth_awaited_slot(pace: f64, other: f64) -> bool {
    other * MIN_SPEEDUP_UNDER_SHORTAGE <= pace
}
