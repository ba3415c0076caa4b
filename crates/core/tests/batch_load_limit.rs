//! The limit of concurrent loads on a platform that slows loads beyond a capacity unknown to the limit.

use std::time::Duration;

use lichenpulley_core::batch::load_limit::{LoadLimit, LoadTime, PoolSize};

const LOAD: Duration = Duration::from_millis(900);

/// Returns the duration of a load that starts as one of `concurrent_loads` on a platform of this capacity.
fn load_time(concurrent_loads: usize, capacity: usize) -> Duration {
    LOAD.mul_f64((concurrent_loads as f64 / capacity as f64).max(1.0))
}

/// Returns a load time that was observed without delay.
const fn exact(time: Duration) -> LoadTime {
    LoadTime { at_least: time, at_most: time }
}

const fn one_model(replicas: usize) -> PoolSize {
    PoolSize { replicas, models: 1 }
}

/// Runs a wave of loads that fills the limit and then as many at the limit. `disturb` changes the observed
/// time of each.
fn wave(
    limit: &mut LoadLimit,
    size: PoolSize,
    capacity: usize,
    mut disturb: impl FnMut(LoadTime) -> LoadTime,
) {
    let at_once = limit.get(size);
    for concurrent_loads in (1..=at_once).chain((1..at_once).map(|_| at_once)) {
        limit.observe(disturb(exact(load_time(concurrent_loads, capacity))), concurrent_loads, size);
    }
}

/// Returns the limit after many waves of loads.
fn converged_limit(replicas: usize, capacity: usize) -> usize {
    let mut limit = LoadLimit::default();
    for _ in 0..60 {
        wave(&mut limit, one_model(replicas), capacity, |time| time);
    }
    limit.get(one_model(replicas))
}

#[test]
fn the_limit_converges_to_the_capacity_of_the_platform() {
    for (replicas, capacity) in [(9, 2), (11, 2), (48, 10), (48, 4), (30, 2), (48, 16), (12, 6), (122, 24)] {
        let limit = converged_limit(replicas, capacity);
        let max_limit = capacity + capacity.div_ceil(3);
        assert!((capacity..=max_limit).contains(&limit), "{replicas} replicas, capacity {capacity}: {limit}");
    }
}

#[test]
fn the_initial_limit_is_a_fifth_of_the_replicas_and_at_least_two() {
    assert_eq!([4, 9, 11, 48].map(|replicas| LoadLimit::default().get(one_model(replicas))), [2, 2, 2, 10]);
}

#[test]
fn a_lost_order_does_not_lower_the_limit() {
    let mut limit = LoadLimit::default();
    limit.observe(exact(LOAD), 1, one_model(48));
    limit.observe(exact(LOAD * 2), 10, one_model(48));
    limit.observe(exact(LOAD), 10, one_model(48));
    limit.observe(exact(LOAD * 2), 10, one_model(48));
    assert_eq!(limit.get(one_model(48)), 10);
}

#[test]
fn slow_replicas_do_not_lower_the_limit() {
    let size = PoolSize { replicas: 122, models: 6 };
    let mut limit = LoadLimit::default();
    let mut loads = 0;
    for round in 0..20 {
        wave(&mut limit, size, 24, |time| {
            loads += 1;
            if loads % 5 == 0 { exact(time.at_most * 3) } else { time }
        });
        assert!(limit.get(size) >= 24, "round {round}: {}", limit.get(size));
    }
}

#[test]
fn late_reports_do_not_lower_the_limit() {
    let size = PoolSize { replicas: 122, models: 6 };
    let mut limit = LoadLimit::default();
    wave(&mut limit, size, 24, |time| time);
    for round in 0..20 {
        // Reports are late, so only the first half of a load is known to be in progress.
        wave(&mut limit, size, 24, |time| LoadTime { at_least: LOAD / 2, at_most: time.at_most * 2 });
        assert!(limit.get(size) >= 24, "round {round}: {}", limit.get(size));
    }
}

#[test]
fn a_lowered_limit_recovers_within_ten_waves() {
    let size = one_model(122);
    let mut limit = LoadLimit::default();
    wave(&mut limit, size, 24, |time| time);
    for _ in 0..20 {
        wave(&mut limit, size, 1, |time| time);
    }
    let lowered = limit.get(size);
    assert!(lowered <= 2, "{lowered}");
    for _ in 0..10 {
        wave(&mut limit, size, 24, |time| time);
    }
    assert!((24..=32).contains(&limit.get(size)), "{}", limit.get(size));
}

#[test]
fn a_lasting_increase_of_load_times_is_not_contention() {
    let size = one_model(122);
    let mut limit = LoadLimit::default();
    wave(&mut limit, size, 24, |time| time);
    for _ in 0..60 {
        wave(&mut limit, size, 24, |time| exact(time.at_most * 2));
    }
    assert!((24..=32).contains(&limit.get(size)), "{}", limit.get(size));
}

#[test]
fn every_model_can_load_even_if_loads_are_slow() {
    let size = PoolSize { replicas: 122, models: 6 };
    let mut limit = LoadLimit::default();
    limit.observe(exact(LOAD), 1, size);
    for _ in 0..40 {
        limit.observe(exact(LOAD * 30), 24, size);
    }
    assert_eq!(limit.get(size), 6);
    assert_eq!(limit.get(PoolSize { replicas: 4, models: 6 }), 2, "the initial limit is the upper bound");
}
