//! How many loads go on at a time, against a platform that lengthens them beyond a number it does not tell.

use std::time::Duration;

use lichenpulley_core::batch::load_limit::LoadLimit;

const LOAD: Duration = Duration::from_millis(900);

/// The time of a load that begins as one of `beside`, where the platform bears `bears` at a time.
fn load_time(beside: usize, bears: usize) -> Duration {
    LOAD.mul_f64((beside as f64 / bears as f64).max(1.0))
}

/// The limit after rounds of loads that fill it.
fn settled(replicas: usize, bears: usize) -> usize {
    let mut limit = LoadLimit::default();
    for _ in 0..60 {
        let at_once = limit.get(replicas);
        for beside in 1..=at_once {
            limit.observe(load_time(beside, bears), beside, replicas);
        }
        for _ in 1..at_once {
            limit.observe(load_time(at_once, bears), at_once, replicas);
        }
    }
    limit.get(replicas)
}

#[test]
fn the_limit_comes_near_what_the_platform_bears() {
    for (replicas, bears) in [(9, 2), (11, 2), (48, 10), (48, 4), (30, 2), (48, 16), (12, 6)] {
        let limit = settled(replicas, bears);
        let most = bears + bears.div_ceil(3);
        assert!((bears..=most).contains(&limit), "{replicas} replicas, {bears} borne: {limit}");
    }
}

#[test]
fn it_begins_with_a_fifth_of_the_replicas_and_two_at_least() {
    assert_eq!([4, 9, 11, 48].map(|replicas| LoadLimit::default().get(replicas)), [2, 2, 2, 10]);
}

#[test]
fn one_lost_order_lowers_nothing() {
    let mut limit = LoadLimit::default();
    limit.observe(LOAD, 1, 48);
    limit.observe(LOAD * 2, 10, 48);
    limit.observe(LOAD, 10, 48);
    limit.observe(LOAD * 2, 10, 48);
    assert_eq!(limit.get(48), 10);
}
