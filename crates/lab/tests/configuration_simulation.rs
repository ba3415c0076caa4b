//! Proof of brief point 9 on the virtual clock: an accepted configuration takes effect everywhere within seconds and
//! never reverts. Each mechanism is also switched off, and the same schedules must then find a violation.

use std::ops::Range;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Config;
use lichenpulley_lab::simulations::configuration::checks::Violation;
use lichenpulley_lab::simulations::configuration::options::{SwitchedOff, WorldOptions};
use lichenpulley_lab::simulations::configuration::{RunReport, run_seeds};
use lichenpulley_simulation::FaultRates;

/// The schedules of every test here. `lichenpulley-lab simulate configuration` runs more.
const SEEDS: Range<u64> = 0..16;

fn run(switched_off: SwitchedOff) -> RunReport {
    run_seeds(SEEDS, &WorldOptions { switched_off, ..WorldOptions::default() })
}

fn found(summary: &RunReport, wanted: impl Fn(&Violation) -> bool) -> bool {
    summary.violations.iter().any(|(_, violation)| wanted(violation))
}

#[test]
fn under_every_fault_at_once_nothing_accepted_is_late_lost_doubled_or_reverted() {
    let summary = run(SwitchedOff::Nothing);
    assert_eq!(summary.violations, []);
    // The schedules must have exercised what they are for.
    assert!(summary.accepted > 100, "{summary:?}");
    assert!(summary.conflicts > 40, "{summary:?}");
    assert!(summary.lost_replies > 5, "{summary:?}");
    assert!(summary.faults > 500, "{summary:?}");
}

#[test]
fn without_the_base_version_an_accepted_change_is_lost() {
    let summary = run(SwitchedOff::BaseVersion);
    assert!(found(&summary, |violation| matches!(violation, Violation::Reverted { .. })), "{summary:?}");
    assert!(found(&summary, |violation| *violation == Violation::NotLinearizable), "{summary:?}");
}

#[test]
fn without_change_ids_an_operator_is_told_wrongly() {
    let summary = run(SwitchedOff::ChangeIds);
    let wrongly = |violation: &Violation| matches!(violation, Violation::TookEffect { .. });
    assert!(found(&summary, wrongly), "{summary:?}");
}

#[test]
fn without_the_monotone_guard_a_node_goes_back() {
    let summary = run(SwitchedOff::MonotoneGuard);
    let back = |violation: &Violation| matches!(violation, Violation::WentBack { restarted: false, .. });
    assert!(found(&summary, back), "{summary:?}");
}

/// Schedules in which nodes are restarted often, the platform is often down, and revisions spread by heartbeats only,
/// so that a restart often falls between the first node that has a revision and the others.
fn frequent_restarts(switched_off: SwitchedOff) -> RunReport {
    let options = WorldOptions {
        mean_pause: Duration::from_millis(1_500),
        rates: Some(FaultRates {
            mean_interval: Duration::from_millis(700),
            longest_outage: Duration::from_secs(2),
        }),
        platform_faults: Some(Duration::from_secs(4)),
        dissemination: Config { fanout: 0, ..Config::default() },
        // Most of the quorum set may be starting at once: late is allowed here, going back is not.
        in_force_within: Duration::from_secs(60),
        switched_off,
        ..WorldOptions::default()
    };
    run_seeds(SEEDS, &options)
}

#[test]
fn without_the_quorum_set_a_restarted_node_goes_back() {
    let back = |violation: &Violation| matches!(violation, Violation::WentBack { restarted: true, .. });
    let off = frequent_restarts(SwitchedOff::Quorum);
    assert!(found(&off, back), "{off:?}");
    let on = frequent_restarts(SwitchedOff::Nothing);
    assert_eq!(on.violations, []);
}

#[test]
fn a_run_is_the_same_every_time() {
    let once = run_seeds(7..9, &WorldOptions::default());
    let again = run_seeds(7..9, &WorldOptions::default());
    assert_eq!(once, again);
}

#[test]
fn without_faults_two_nodes_of_a_region_read_the_platform() {
    let calm = WorldOptions {
        nodes: 30,
        duration: Duration::from_secs(30),
        rates: None,
        platform_faults: None,
        ..WorldOptions::default()
    };
    let summary = run_seeds(0..3, &calm);
    assert_eq!(summary.violations, []);
    assert_eq!(summary.most_readers, 2);
}
