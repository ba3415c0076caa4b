//! Duties of the owner: what a call waits for, and how one holder follows another.

mod batch_support;

use std::time::Duration;

use batch_support::{OwnerHarness, at, lease_of, replica};
use lichenpulley_core::batch::controller::ControllerConfig;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::duties::{DutyCall, DutyConfig, DutyOutcome};
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::usage::meter::{UsageEntry, UsageReport};
use lichenpulley_core::usage::reporter::ReporterConfig;
use lichenpulley_core::usage::window::{WallTime, WindowLength};

const START_MS: u64 = 1_000_000_000_000;

fn holder(name: &str, ledger: Ledger) -> OwnerHarness {
    let window = WindowLength::new(Duration::from_secs(5));
    let usage = ReporterConfig { window, due_after: Duration::from_secs(10) };
    let duties = DutyConfig { usage: Some(usage), scaling: None };
    let config = ControllerConfig { duties, ..ControllerConfig::default() };
    OwnerHarness::with_lease(lease_of(name), config, ledger, false, &[replica("a", 1)])
}

fn tick(bench: &mut OwnerHarness, now_ms: u64) {
    bench.controller.tick_duties(at(now_ms), WallTime(START_MS + now_ms));
    bench.drain_actions();
}

/// Counts three requests and lets their window be closed; its call is on its way to the stores.
fn close_a_window(bench: &mut OwnerHarness) {
    tick(bench, 100);
    let entry = UsageEntry { tenant: TenantName::new("t"), age_ms: 50 };
    let sent_at = WallTime(START_MS + 1_000);
    let report = UsageReport { source: "n/1".to_owned(), sent_at, first: 0, entries: vec![entry; 3] };
    bench.controller.take_usage(at(1_000), &report);
    bench.commit_appends(at(1_010));
    tick(bench, 9_100);
    bench.commit_appends(at(9_110));
    tick(bench, 9_150);
}

fn told(call: &DutyCall) -> (u64, u64) {
    match call {
        DutyCall::Usage { window, counts } => (window.0, counts.values().sum()),
        DutyCall::Scale(order) => panic!("{order:?} was not wanted"),
    }
}

#[test]
fn a_call_leaves_only_after_it_is_kept_that_it_is_made() {
    let mut first = holder("node-1", Ledger::default());
    close_a_window(&mut first);
    assert!(first.calls.is_empty());
    first.commit_appends(at(9_160));
    assert_eq!(first.calls.iter().map(told).collect::<Vec<_>>(), [(START_MS / 5_000, 3)]);
}

#[test]
fn nothing_is_called_without_a_confirmed_authority() {
    let mut first = holder("node-1", Ledger::default());
    first.controller.set_confirmed(false);
    close_a_window(&mut first);
    first.commit_appends(at(9_160));
    assert!(first.calls.is_empty());
}

#[test]
fn the_next_holder_waits_for_the_lease_and_tells_the_same() {
    let mut first = holder("node-1", Ledger::default());
    close_a_window(&mut first);
    first.commit_appends(at(9_160));
    let mut next = holder("node-2", first.ledger_of_records());
    for now_ms in [100, 2_900] {
        next.controller.tick_duties(at(now_ms), WallTime(START_MS + 9_200 + now_ms));
        next.commit_appends(at(now_ms));
        assert!(next.calls.is_empty(), "{now_ms} ms: the first may still be heard");
    }
    next.controller.tick_duties(at(3_100), WallTime(START_MS + 12_300));
    next.commit_appends(at(3_100));
    assert_eq!(next.calls, first.calls);
}

#[test]
fn a_call_that_was_missed_is_made_again_with_the_same_counts_and_one_that_was_taken_is_not() {
    let mut first = holder("node-1", Ledger::default());
    close_a_window(&mut first);
    first.commit_appends(at(9_160));
    let call = first.calls.remove(0);
    first.controller.duty_ended(at(10_200), &call, DutyOutcome::Missed);
    for now_ms in [10_300, 10_600] {
        tick(&mut first, now_ms);
        first.commit_appends(at(now_ms + 10));
    }
    assert_eq!(first.calls, std::slice::from_ref(&call));
    first.controller.duty_ended(at(10_700), &call, DutyOutcome::Taken);
    first.commit_appends(at(10_710));
    tick(&mut first, 11_000);
    first.commit_appends(at(11_010));
    assert_eq!(first.calls.len(), 1);
    assert!(first.controller.ledger().usage().closed().is_empty());
}
