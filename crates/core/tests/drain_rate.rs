//! Tests of the drain rate and the retry time derived from it, also for a pool that has just started.

use std::time::Duration;

use lichenpulley_core::retry::drain_rate::DrainRate;
use lichenpulley_core::time::Timestamp;

/// Records completions at a steady rate from `begin` on; returns the time of the last.
fn complete(rate: &mut DrainRate, begin: Timestamp, per_second: u64, seconds: u64) -> Timestamp {
    let gap = Duration::from_micros(1_000_000 / per_second);
    let mut now = begin;
    for _ in 0..per_second * seconds {
        now = now + gap;
        rate.record_completion(now);
    }
    now
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < expected * 0.1, "{actual} is not near {expected}");
}

#[test]
fn a_steady_rate_is_measured_within_a_second_and_stays() {
    let mut rate = DrainRate::new(Timestamp::ORIGIN);
    let begin = Timestamp::from_millis(60_000);
    let now = complete(&mut rate, begin, 100, 1);
    assert_near(rate.per_second(now), 100.0);
    let now = complete(&mut rate, now, 100, 60);
    assert_near(rate.per_second(now), 100.0);
}

#[test]
fn the_first_completions_of_a_pool_give_no_long_retry_time() {
    let mut rate = DrainRate::new(Timestamp::ORIGIN);
    let mut now = Timestamp::from_millis(60_000);
    // Completions every five milliseconds, with 64 requests ahead.
    for completion in 1..=50 {
        rate.record_completion(now);
        let wait = rate.retry_after(now, 64);
        assert!(wait < Duration::from_secs(3), "{wait:?} after {completion}");
        now = now + Duration::from_millis(5);
    }
}

#[test]
fn the_average_restarts_after_a_pause() {
    let mut rate = DrainRate::new(Timestamp::ORIGIN);
    let now = complete(&mut rate, Timestamp::ORIGIN, 100, 20);
    let after_pause = complete(&mut rate, now + Duration::from_secs(600), 100, 1);
    assert_near(rate.per_second(after_pause), 100.0);
}

#[test]
fn the_average_follows_a_falling_rate() {
    let mut rate = DrainRate::new(Timestamp::ORIGIN);
    let now = complete(&mut rate, Timestamp::ORIGIN, 100, 60);
    let now = complete(&mut rate, now, 10, 60);
    assert_near(rate.per_second(now), 10.0);
    assert_eq!(rate.retry_after(now, 10_000), Duration::from_secs(30), "the maximum");
}

#[test]
fn the_retry_time_is_a_second_while_the_rate_is_unknown() {
    let rate = DrainRate::new(Timestamp::ORIGIN);
    assert_eq!(rate.retry_after(Timestamp::ORIGIN, 500), Duration::from_secs(1));
}
