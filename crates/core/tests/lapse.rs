//! Entries that vanish while the platform's store is away: kept for a while, and gone if they don't come back.

use std::time::Duration;

use lichenpulley_core::ingress::lapse::LapseKeeper;
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

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
    keeper.failed(at(0));
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
    keeper.failed(at(0));
    keeper.answered(at(1_000), false);
    assert!(keeper.vanished("a"));
    keeper.failed(at(2_000));
    assert!(keeper.expire(at(10_000)).is_empty() && keeper.keeps("a"));
    keeper.answered(at(11_000), false);
    assert_eq!(keeper.expire(at(13_000)), ["a"]);
}

/// A store that turned one node away while it served its peers: what vanished there is gone at once.
#[test]
fn what_vanishes_while_the_store_serves_others_is_gone_at_once() {
    let mut keeper = LapseKeeper::new(GRACE);
    keeper.failed(at(0));
    for now in [1_500, 3_000, 4_500, 6_000] {
        assert!(keeper.served_others(at(now), Duration::from_millis(700)));
    }
    keeper.answered(at(6_400), true);
    assert!(!keeper.vanished("a"));
}

proptest! {
    /// Entries are kept unless peers show, without a gap in which entries lapse, that the store served them all the while.
    #[test]
    fn a_gap_in_what_peers_show_keeps_entries(mut looks in prop::collection::vec((0_u64..20_000, 0_u64..4_000), 0..16)) {
        looks.sort_unstable();
        let mut keeper = LapseKeeper::new(GRACE);
        keeper.failed(at(0));
        let mut confirmed = vec![0];
        for (now, age) in looks {
            let is_later = keeper.served_others(at(now), Duration::from_millis(age));
            prop_assert_eq!(is_later, age < now);
            if is_later {
                confirmed.push(now - age);
            }
        }
        keeper.answered(at(20_000), true);
        confirmed.push(20_000);
        confirmed.sort_unstable();
        let has_gap = confirmed.windows(2).any(|pair| pair[1] - pair[0] >= 2_500);
        prop_assert!(!has_gap || keeper.vanished("a"));
    }
}
