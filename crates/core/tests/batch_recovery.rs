//! Recovery of a ledger in steps: the same result as in one step, with heartbeats in between.

mod batch_support;

use std::time::Duration;

use batch_support::{OwnerHarness, at, job, replica, scored_job};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::recovery::{LedgerRecovery, RecoveryStep};

/// Returns the records of many small jobs.
fn records(jobs: usize) -> Vec<Vec<u8>> {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    for number in 0..jobs {
        let id = format!("j{number}");
        let one = if number % 2 == 0 { job(&id, 1, 0) } else { scored_job(&id, 1) };
        harness.run_to_completion(at(number as u64 + 1), one);
    }
    harness.records.iter().map(|record| record.encode().expect("bytes")).collect()
}

#[test]
fn a_long_recovery_sends_heartbeats_in_time() {
    let records = records(400);
    let interval = Duration::from_millis(200);
    let mut recovery = LedgerRecovery::begin(None, &records, interval, at(0)).expect("a recovery");
    let (mut now_ms, mut heartbeat_ms, mut heartbeats) = (0, 0, 0);
    loop {
        match recovery.step(at(now_ms)).expect("a step") {
            // Simulates a slow machine on which each step takes 150 ms.
            RecoveryStep::Working => now_ms += 150,
            RecoveryStep::HeartbeatDue => {
                heartbeats += 1;
                heartbeat_ms = now_ms;
            }
            RecoveryStep::Done => break,
        }
        assert!(now_ms - heartbeat_ms <= 350, "silent for {} ms", now_ms - heartbeat_ms);
    }
    assert!(heartbeats >= 5, "{heartbeats}");
    assert_eq!(recovery.into_ledger(), Ledger::recover(None, &records).expect("a ledger"));
}

#[test]
fn recovery_from_a_snapshot_yields_the_same_ledger() {
    let records = records(40);
    let (before, after) = records.split_at(70);
    let snapshot = Ledger::recover(None, before).expect("a ledger").to_snapshot().expect("a snapshot");
    let interval = Duration::from_secs(1);
    let begun = LedgerRecovery::begin(Some(&snapshot), after, interval, at(0));
    let mut recovery = begun.expect("a recovery");
    while recovery.step(at(0)).expect("a step") != RecoveryStep::Done {}
    let expected = Ledger::recover(Some(&snapshot), after).expect("a ledger");
    assert_eq!(recovery.into_ledger(), expected);
}

#[test]
fn invalid_bytes_are_rejected() {
    let interval = Duration::from_secs(1);
    assert!(LedgerRecovery::begin(Some(&[1, 2]), &[], interval, at(0)).is_err());
    let bad = vec![vec![250, 0, 0, 0]];
    let mut recovery = LedgerRecovery::begin(None, &bad, interval, at(0)).expect("a recovery");
    assert!(recovery.step(at(0)).is_err());
}
