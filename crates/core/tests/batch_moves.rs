//! When a run leaves its replica for a faster one.

mod batch_support;

use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::controller::{RunEnd, RunId};
use lichenpulley_core::batch::ledger::Ledger;

/// Two runs at two replicas, of which one pauses so much longer between events; then the quick one ends. Returns the bench
/// after the next look, the slow run, and when that was.
fn slow_and_quick(slow_ms: u64, quick_ms: u64, slow_events: u64) -> (OwnerHarness, RunId, u64) {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    bench.submit(at(0), job("j", 2, 1));
    let [slow, quick] = [bench.started[0].run, bench.started[1].run];
    assert_ne!(bench.started[0].replica.id, bench.started[1].replica.id);
    let end_ms = slow_ms * slow_events;
    for now_ms in 1..=end_ms {
        if now_ms.is_multiple_of(slow_ms) {
            bench.event(at(now_ms), slow, now_ms / slow_ms - 1, 1);
        }
        if now_ms.is_multiple_of(quick_ms) {
            bench.event(at(now_ms), quick, now_ms / quick_ms - 1, 1);
        }
    }
    bench.commit_appends(at(end_ms));
    bench.end(at(end_ms), quick, RunEnd::Complete);
    bench.commit_appends(at(end_ms));
    bench.controller.tick(at(end_ms + 10));
    bench.drain_actions();
    (bench, slow, end_ms + 10)
}

#[test]
fn a_long_run_moves_to_a_replica_that_is_some_quarter_faster_and_goes_on_after_its_last_event() {
    let (bench, slow, _) = slow_and_quick(65, 50, 40);
    assert!(bench.stopped.contains(&slow));
    let moved = bench.started.last().expect("a run");
    assert_eq!(moved.last_event, Some(39));
    assert_eq!(moved.replica.id, bench.started[1].replica.id, "to where the quick one ran");
}

#[test]
fn a_run_that_has_made_little_stays_since_the_move_would_cost_more_than_it_gains() {
    let (bench, slow, _) = slow_and_quick(65, 50, 9);
    assert!(!bench.stopped.contains(&slow));
    assert_eq!(bench.started.len(), 2);
}

#[test]
fn a_run_stays_where_paces_are_as_good_as_equal() {
    let (bench, slow, _) = slow_and_quick(53, 50, 140);
    assert!(!bench.stopped.contains(&slow));
}

#[test]
fn a_run_on_a_replica_that_has_become_very_slow_moves_soon() {
    let (bench, slow, _) = slow_and_quick(200, 50, 4);
    assert!(bench.stopped.contains(&slow));
}
