//! When a run moves to a faster replica.

mod batch_support;

use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::controller::{RunEnd, RunEvent, RunId};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;

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

/// How the slow replica of [`is_moved`] behaves.
struct Slowness {
    /// Pauses between events, in milliseconds, before, during and after a slowdown.
    pauses_ms: [u64; 3],
    /// When the slowdown begins and ends, in milliseconds.
    slowdown_ms: std::ops::Range<u64>,
}

/// Starts a run on each of two replicas and ends the quick one after 1.2 s. Returns whether the other run was moved
/// within 4 s. Replicas report a pace if `reports_pace`.
fn is_moved(slowness: &Slowness, reports_pace: bool) -> bool {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1), replica("b", 1)]);
    harness.submit(at(0), job("j", 2, 1));
    let [slow, quick] = [harness.started[0].run, harness.started[1].run];
    let load = ReplicaLoad { running: 1, waiting: 0, slots: 2, pace_percent: reports_pace.then_some(100) };
    // The replica of the other run is the one to be judged: one that reports is enough.
    harness.controller.run_event(at(1), quick, RunEvent::Load(load));
    let (mut events, mut next_event_ms) = (0, 20);
    for now_ms in 1..4_000 {
        if now_ms == next_event_ms && !harness.stopped.contains(&slow) {
            harness.event(at(now_ms), slow, events, 1);
            events += 1;
            let phase = if now_ms < slowness.slowdown_ms.start {
                0
            } else if now_ms < slowness.slowdown_ms.end {
                1
            } else {
                2
            };
            next_event_ms += slowness.pauses_ms[phase];
        }
        if now_ms <= 1_200 && now_ms % 20 == 0 {
            harness.event(at(now_ms), quick, now_ms / 20 - 1, 1);
        }
        if now_ms == 1_200 {
            harness.end(at(now_ms), quick, RunEnd::Complete);
        }
        if now_ms % 20 == 0 {
            harness.commit_appends(at(now_ms));
            harness.controller.tick(at(now_ms));
            harness.drain_actions();
        }
    }
    harness.stopped.contains(&slow)
}

/// Guards against moves away from a slowdown, which ends before the move pays off, at any time within the periods
/// over which the pace is measured. Without a reported pace, runs move as before.
#[test]
fn a_run_does_not_move_because_of_one_slowdown() {
    for start_ms in (1_500..2_100).step_by(50) {
        let slowness = Slowness { pauses_ms: [20, 50, 20], slowdown_ms: start_ms..start_ms + 600 };
        assert!(!is_moved(&slowness, true), "slowdown from {start_ms} ms");
        assert!(is_moved(&slowness, false), "slowdown from {start_ms} ms, no pace reported");
    }
}

/// Guards against a run that stays on a replica that is slow for good.
#[test]
fn a_run_moves_from_a_replica_that_is_always_slow() {
    for reports_pace in [true, false] {
        let slowness = Slowness { pauses_ms: [32, 32, 32], slowdown_ms: 0..0 };
        assert!(is_moved(&slowness, reports_pace), "reports a pace: {reports_pace}");
        let becomes_slow = Slowness { pauses_ms: [20, 50, 50], slowdown_ms: 1_500..4_000 };
        assert!(is_moved(&becomes_slow, reports_pace), "reports a pace: {reports_pace}");
    }
}
