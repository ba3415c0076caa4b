//! Calls of the owner to the platform: when they are sent, and how holders succeed each other.

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

fn tick(harness: &mut OwnerHarness, now_ms: u64) {
    harness.controller.tick_duties(at(now_ms), WallTime(START_MS + now_ms));
    harness.drain_actions();
}

/// Reports three requests and closes their window; the record of the call is not committed yet.
fn close_window(harness: &mut OwnerHarness) {
    tick(harness, 100);
    let entry = UsageEntry { tenant: TenantName::new("t"), age_ms: 50 };
    let sent_at = WallTime(START_MS + 1_000);
    let report = UsageReport { source: "n/1".to_owned(), sent_at, first: 0, entries: vec![entry; 3] };
    harness.controller.record_usage(at(1_000), &report);
    harness.commit_appends(at(1_010));
    tick(harness, 9_100);
    harness.commit_appends(at(9_110));
    tick(harness, 9_150);
}

fn reported_usage(call: &DutyCall) -> (u64, u64) {
    match call {
        DutyCall::Usage { window, counts } => (window.0, counts.values().sum()),
        DutyCall::Scale(order) => panic!("unexpected scaling order {order:?}"),
    }
}

#[test]
fn a_call_is_sent_only_after_its_record_is_committed() {
    let mut first = holder("node-1", Ledger::default());
    close_window(&mut first);
    assert!(first.calls.is_empty());
    first.commit_appends(at(9_160));
    assert_eq!(first.calls.iter().map(reported_usage).collect::<Vec<_>>(), [(START_MS / 5_000, 3)]);
}

#[test]
fn no_call_is_made_without_confirmed_authority() {
    let mut first = holder("node-1", Ledger::default());
    first.controller.set_confirmed(false);
    close_window(&mut first);
    first.commit_appends(at(9_160));
    assert!(first.calls.is_empty());
}

#[test]
fn the_next_holder_waits_for_the_lease_and_reports_the_same_counts() {
    let mut first = holder("node-1", Ledger::default());
    close_window(&mut first);
    first.commit_appends(at(9_160));
    let mut next = holder("node-2", first.ledger_of_records());
    for now_ms in [100, 2_900] {
        next.controller.tick_duties(at(now_ms), WallTime(START_MS + 9_200 + now_ms));
        next.commit_appends(at(now_ms));
        assert!(next.calls.is_empty(), "{now_ms} ms: the lease of the first holder has not expired");
    }
    next.controller.tick_duties(at(3_100), WallTime(START_MS + 12_300));
    next.commit_appends(at(3_100));
    assert_eq!(next.calls, first.calls);
}

#[test]
fn a_missed_call_is_repeated_with_the_same_counts_and_an_accepted_one_is_not() {
    let mut first = holder("node-1", Ledger::default());
    close_window(&mut first);
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
