//! Entries that vanish while the platform's store is away: kept for a while, and gone if they don't come back.

use std::time::Duration;

use lichenpulley_core::ingress::lapse::LapseKeeper;
use lichenpulley_core::time::Timestamp;

const GRACE: Duration = Duration::from_secs(2);

const fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_well_is_gone_at_once() {
    let mut keeper = LapseKeeper::new(GRACE);
    keeper.answered(at(0), false);
    assert!(!keeper.vanished("a"));
    assert_eq!((keeper.keeps("a"), keeper.deadline()), (false, None));
}

#[test]
fn entries_that_lapsed_are_kept_until_two_seconds_after_the_return() {
    let mut keeper = LapseKeeper::new(GRACE);
    keeper.failed();
    keeper.answered(at(5_000), false);
    assert!(keeper.vanished("a") && keeper.vanished("b"));
    keeper.answered(at(6_000), false);
    keeper.is_there("a");
    assert!(keeper.expire(at(6_900)).is_empty());
    assert_eq!(keeper.deadline(), Some(at(7_000)), "later answers don't put the end off");
    assert_eq!(keeper.expire(at(7_000)), ["b"]);
    assert!(!keeper.vanished("a"), "what leaves after that is gone at once");
}

#[test]
fn an_outage_that_only_the_probe_saw_counts_too() {
    let mut keeper = LapseKeeper::new(GRACE);
    keeper.answered(at(1_000), true);
    assert!(keeper.vanished("a"));
    assert_eq!(keeper.expire(at(3_000)), ["a"]);
}

#[test]
fn a_second_outage_before_the_end_begins_the_time_anew() {
    let mut keeper = LapseKeeper::new(GRACE);
    keeper.failed();
    keeper.answered(at(1_000), false);
    assert!(keeper.vanished("a"));
    keeper.failed();
    assert!(keeper.expire(at(10_000)).is_empty() && keeper.keeps("a"));
    keeper.answered(at(11_000), false);
    assert_eq!(keeper.expire(at(13_000)), ["a"]);
}
