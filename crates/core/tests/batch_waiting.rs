//! Reports of items that wait beside free slots, by which an operator finds the reason.

mod batch_support;

use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::ledger::Ledger;

/// Returns the reasons of the reports so far.
fn reasons(harness: &OwnerHarness) -> Vec<&str> {
    let reports = harness.decisions.iter().filter(|decision| decision.action == "item_waiting");
    reports.map(|decision| decision.reason.as_str()).collect()
}

fn tick_until(harness: &mut OwnerHarness, from: u64, until: u64) {
    for now in (from..until).step_by(200) {
        harness.controller.tick(at(now));
        harness.commit_appends(at(now));
    }
}

#[test]
fn an_item_that_waits_while_its_owner_is_not_confirmed_is_reported_with_this_reason() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.controller.set_confirmed(false);
    harness.submit(at(1), job("j", 1, 0));
    tick_until(&mut harness, 200, 5_000);
    assert!(reasons(&harness).is_empty(), "it has not waited for long");
    tick_until(&mut harness, 5_000, 9_000);
    assert_eq!(reasons(&harness), ["not_confirmed"]);
}

#[test]
fn an_item_without_a_replica_of_its_version_is_reported_and_one_without_a_free_slot_is_not() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("old", 1, 2));
    tick_until(&mut harness, 200, 9_000);
    assert_eq!(reasons(&harness), ["no_replica_for_job"]);
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("large", 3, 0));
    for now in (200..9_000).step_by(200) {
        for run in [harness.started[0].run, harness.started[1].run] {
            harness.event(at(now), run, now / 200 - 1, 1);
        }
        harness.controller.tick(at(now));
        harness.commit_appends(at(now));
    }
    assert_eq!(harness.started.len(), 2);
    assert!(reasons(&harness).is_empty(), "both slots are in use");
}
