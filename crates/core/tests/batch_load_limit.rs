//! How many loads go on at a time, against a platform that lengthens them beyond a number it does not tell.

use std::time::Duration;

use lichenpulley_core::batch::load_limit::{LoadLimit, LoadTime, PoolSize};

const LOAD: Duration = Duration::from_millis(900);

/// The time of a load that begins as one of `beside`, where the platform bears `bears` at a time.
fn load_time(concurrent_loads: usize, bears: usize) -> Duration {
    LOAD.mul_f64((concurrent_loads as f64 / bears as f64).max(1.0))
}

/// A time that was seen without delay.
const fn seen(time: Duration) -> LoadTime {
    LoadTime { at_least: time, at_most: time }
}

const fn one_model(replicas: usize) -> PoolSize {
    PoolSize { replicas, models: 1 }
}

/// One wave of loads that fills the limit, and as many again beside each other. `disturb` alters what is seen of each.
fn wave(limit: &mut LoadLimit, size: PoolSize, bears: usize, mut disturb: impl FnMut(LoadTime) -> LoadTime) {
    let at_once = limit.get(size);
    for concurrent_loads in (1..=at_once).chain((1..at_once).map(|_| at_once)) {
        limit.observe(disturb(seen(load_time(concurrent_loads, bears))), concurrent_loads, size);
    }
}

/// The limit after rounds of loads that fill it.
fn settled(replicas: usize, bears: usize) -> usize {
    let mut limit = LoadLimit::default();
    for _ in 0..60 {
        wave(&mut limit, one_model(replicas), bears, |time| time);
    }
    limit.get(one_model(replicas))
}

#[test]
fn the_limit_comes_near_what_the_platform_bears() {
    for (replicas, bears) in [(9, 2), (11, 2), (48, 10), (48, 4), (30, 2), (48, 16), (12, 6), (122, 24)] {
        let limit = settled(replicas, bears);
        let most = bears + bears.div_ceil(3);
        assert!((bears..=most).contains(&limit), "{replicas} replicas, {bears} borne: {limit}");
    }
}

#[test]
fn it_begins_with_a_fifth_of_the_replicas_and_two_at_least() {
    assert_eq!([4, 9, 11, 48].map(|replicas| LoadLimit::default().get(one_model(replicas))), [2, 2, 2, 10]);
}

#[test]
fn one_lost_order_lowers_nothing() {
    let mut limit = LoadLimit::default();
    limit.observe(seen(LOAD), 1, one_model(48));
    limit.observe(seen(LOAD * 2), 10, one_model(48));
    limit.observe(seen(LOAD), 10, one_model(48));
    limit.observe(seen(LOAD * 2), 10, one_model(48));
    assert_eq!(limit.get(one_model(48)), 10);
}

#[test]
fn a_fifth_of_the_replicas_three_times_slower_lowers_nothing() {
    let size = PoolSize { replicas: 122, models: 6 };
    let mut limit = LoadLimit::default();
    let mut loads = 0;
    for round in 0..20 {
        wave(&mut limit, size, 24, |time| {
            loads += 1;
            if loads % 5 == 0 { seen(time.at_most * 3) } else { time }
        });
        assert!(limit.get(size) >= 24, "round {round}: {}", limit.get(size));
    }
}

#[test]
fn an_owner_that_sees_every_load_late_lowers_nothing() {
    let size = PoolSize { replicas: 122, models: 6 };
    let mut limit = LoadLimit::default();
    wave(&mut limit, size, 24, |time| time);
    for round in 0..20 {
        // Reports come a second late: that a load was under way is known of its first second alone.
        wave(&mut limit, size, 24, |time| LoadTime { at_least: LOAD / 2, at_most: time.at_most * 2 });
        assert!(limit.get(size) >= 24, "round {round}: {}", limit.get(size));
    }
}

#[test]
fn a_limit_that_fell_finds_what_the_platform_bears_again_within_ten_waves() {
    let size = one_model(122);
    let mut limit = LoadLimit::default();
    wave(&mut limit, size, 24, |time| time);
    for _ in 0..20 {
        wave(&mut limit, size, 1, |time| time);
    }
    let fallen = limit.get(size);
    assert!(fallen <= 2, "{fallen}");
    for _ in 0..10 {
        wave(&mut limit, size, 24, |time| time);
    }
    assert!((24..=32).contains(&limit.get(size)), "{}", limit.get(size));
}

#[test]
fn loads_that_take_longer_for_good_are_no_crowding_once_the_shorter_ones_are_long_past() {
    let size = one_model(122);
    let mut limit = LoadLimit::default();
    wave(&mut limit, size, 24, |time| time);
    for _ in 0..60 {
        wave(&mut limit, size, 24, |time| seen(time.at_most * 2));
    }
    assert!((24..=32).contains(&limit.get(size)), "{}", limit.get(size));
}

#[test]
fn every_model_can_advance_however_slow_loads_are() {
    let size = PoolSize { replicas: 122, models: 6 };
    let mut limit = LoadLimit::default();
    limit.observe(seen(LOAD), 1, size);
    for _ in 0..40 {
        limit.observe(seen(LOAD * 30), 24, size);
    }
    assert_eq!(limit.get(size), 6);
    assert_eq!(limit.get(PoolSize { replicas: 4, models: 6 }), 2, "no more than the platform bears at first");
}
