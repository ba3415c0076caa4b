//! Proofs of weight waves on a virtual clock. Each mechanism is shown to be needed on the same schedules.

use std::time::Duration;

use lichenpulley_core::weights::WaveConfig;
use lichenpulley_lab::simulations::weights::{Mechanisms, Violation, WaveSize, run_seed, time_until_all};

/// Schedules that every proof runs.
const SEEDS: std::ops::Range<u64> = 0..150;

fn is_broken(mechanisms: Mechanisms, expected: impl Fn(&Violation) -> bool) -> bool {
    SEEDS.map(|seed| run_seed(seed, mechanisms)).any(|report| report.violations.iter().any(&expected))
}

#[test]
fn every_schedule_ends_with_the_last_version_everywhere() {
    for seed in SEEDS {
        let report = run_seed(seed, Mechanisms::default());
        assert_eq!(report.violations, [], "seed {seed}");
    }
}

#[test]
fn a_new_owner_exceeds_the_limit_when_orders_go_before_their_record() {
    let mechanisms = Mechanisms { commit_before_order: false, ..Mechanisms::default() };
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::TooManyFetches { .. })));
}

#[test]
fn replicas_go_back_when_a_superseded_owner_is_not_refused() {
    let mechanisms = Mechanisms { fencing: false, ..Mechanisms::default() };
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::WentBack)));
}

#[test]
fn a_superseded_owner_never_hears_of_a_publication_without_barriers() {
    let mechanisms = Mechanisms { barrier_interval: Duration::from_secs(3_600), ..Mechanisms::default() };
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::Behind(_))));
}

#[test]
fn more_fetches_at_once_use_more_of_the_stores_rate() {
    let size = WaveSize {
        replicas: 60,
        weight_bytes: 1e9,
        store_bytes_per_second: 10e9,
        link_bytes_per_second: 1e9,
        swap_time: Duration::from_millis(200),
        swap_failure: 0.0,
    };
    let time = |max_concurrent_loads| {
        let config = WaveConfig { max_concurrent_loads, ..WaveConfig::default() };
        time_until_all(size, config).expect("the wave ends")
    };
    assert!(time(2) > time(16));
    assert!(time(16) > size.least_time());
}
