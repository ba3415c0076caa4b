//! When a run moves to a faster replica.

mod batch_support;

use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::controller::{RunEnd, RunId};
use lichenpulley_core::batch::ledger::Ledger;

/// Starts two runs on two replicas with different pauses between events and ends the quick one. Returns the
/// harness after the next tick, the slow run, and the time in milliseconds.
fn slow_and_quick(slow_ms: u64, quick_ms: u64, slow_events: u64) -> (OwnerHarness, RunId, u64) {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    harness.submit(at(0), job("j", 2, 1));
    let [slow, quick] = [harness.started[0].run, harness.started[1].run];
    assert_ne!(harness.started[0].replica.id, harness.started[1].replica.id);
    let end_ms = slow_ms * slow_events;
    for now_ms in 1..=end_ms {
        if now_ms.is_multiple_of(slow_ms) {
            harness.event(at(now_ms), slow, now_ms / slow_ms - 1, 1);
        }
        if now_ms.is_multiple_of(quick_ms) {
            harness.event(at(now_ms), quick, now_ms / quick_ms - 1, 1);
        }
    }
    harness.commit_appends(at(end_ms));
    harness.end(at(end_ms), quick, RunEnd::Complete);
    harness.commit_appends(at(end_ms));
    harness.controller.tick(at(end_ms + 10));
    harness.drain_actions();
    (harness, slow, end_ms + 10)
}

#[test]
fn a_long_run_moves_to_a_faster_replica_and_resumes_after_its_last_event() {
    let (harness, slow, _) = slow_and_quick(65, 50, 40);
    assert!(harness.stopped.contains(&slow));
    let moved = harness.started.last().expect("a run");
    assert_eq!(moved.last_event, Some(39));
    assert_eq!(
        moved.replica.id, harness.started[1].replica.id,
        "the run moves to the replica of the quick run"
    );
}

#[test]
fn a_short_run_stays_because_a_move_costs_more_than_it_saves() {
    let (harness, slow, _) = slow_and_quick(65, 50, 9);
    assert!(!harness.stopped.contains(&slow));
    assert_eq!(harness.started.len(), 2);
}

#[test]
fn a_run_stays_if_paces_are_similar() {
    let (harness, slow, _) = slow_and_quick(53, 50, 140);
    assert!(!harness.stopped.contains(&slow));
}

#[test]
fn a_run_on_a_very_slow_replica_moves_soon() {
    let (harness, slow, _) = slow_and_quick(200, 50, 4);
    assert!(harness.stopped.contains(&slow));
}

/// In a large service most replicas have no measurements. They must not look faster than the measured ones, or long
/// runs would move from one to the next and lose the time of each move.
#[test]
fn a_run_does_not_move_to_a_replica_without_measurements_for_a_pace_that_is_usual() {
    let replicas: Vec<_> = (0..40).map(|number| replica(&format!("r{number}"), 1)).collect();
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    harness.submit(at(0), job("j", 4, 1));
    let runs: Vec<RunId> = harness.started.iter().map(|start| start.run).collect();
    for number in 0..60 {
        let now = at(80 * (number + 1));
        runs.iter().for_each(|run| harness.event(now, *run, number, 1));
        harness.commit_appends(now);
        harness.controller.tick(now);
        harness.drain_actions();
    }
    assert_eq!(harness.stopped, []);
}

/// Events that are read together show a pause of zero. A replica that was seen for a few events is not faster for it.
#[test]
fn a_run_does_not_move_to_a_replica_that_looks_fast_after_few_events() {
    let replicas: Vec<_> = (0..40).map(|number| replica(&format!("r{number}"), 1)).collect();
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    harness.submit(at(0), job("j", 4, 1));
    let runs: Vec<RunId> = harness.started.iter().map(|start| start.run).collect();
    let (burst, steady) = runs.split_first().expect("a run");
    for number in 0..5 {
        harness.event(at(100), *burst, number, 1);
    }
    harness.end(at(100), *burst, RunEnd::Complete);
    for number in 0..60 {
        let now = at(100 + 80 * (number + 1));
        steady.iter().for_each(|run| harness.event(now, *run, number, 1));
        harness.commit_appends(now);
        harness.controller.tick(now);
        harness.drain_actions();
    }
    assert_eq!(harness.stopped, [*burst], "only the run that has ended was stopped");
}
