//! When a run leaves its replica for a faster one.
//!
//! Inputs: the pause between events where the run is and where it would go, in seconds and with the run
//! counted at both (`schedule`), and how many events it has made. The item that decides a step is nearly
//! always a long one that runs on a slow replica: 9.2 s on the third of the replicas that are 1.3 times
//! slower, against 7.1 s at the best pace and 7.5 s due. Trials, one play each of three days: the share
//! served in time rose from 0.724 to 0.791 and from 0.842 to 0.874 together with the measured slowdown
//! (`schedule`), and from 0.732 to 0.772 beside the slowdown alone. A lower bound on the ratio of paces alone
//! (1.2 in place of 1.6) together with other orders of loads was worth 0.666 against 0.678 in 12 plays: short
//! runs moved too.

use std::time::Duration;

/// How many times faster another replica must be before a run is moved there: paces are known to some
/// percent, and the quickest of many that are alike is some percent luckier still. Lower, and runs move
/// between replicas that are alike. Chosen, not measured apart from the trials above.
const MIN_GAIN: f64 = 1.18;
/// What a move costs, in seconds: a connection, the prompt and what was made so far read anew, the first
/// event. Chosen, not measured: lower moves runs that are nearly done, higher leaves long ones on slow
/// replicas.
const MOVE_COST_S: f64 = 0.2;
/// Runs moved in one tick at most: each makes the other replica slower. Chosen, not measured: more, and a
/// replica that has just become free is taken for fast by all of them.
pub(super) const MOVES_PER_TICK: usize = 8;
/// A run stays at least this long where it is. Chosen, not measured: below the time of some events nothing is
/// known of its pace there.
pub(super) const MIN_STAY: Duration = Duration::from_millis(500);

/// Whether a run of so many events that goes on elsewhere, at `other` seconds an event in place of `pace`,
/// ends sooner by more than the move costs. Lengths have a long tail: a run is expected to go on for as long
/// again.
pub(super) fn is_worth_moving(pace: f64, other: f64, events: usize) -> bool {
    let gain = (pace - other) * events as f64;
    other * MIN_GAIN < pace && gain > MOVE_COST_S
}
