//! Entries that vanish while the platform's store is away: kept for a while, and gone if they don't come back.

use std::time::Duration;

use lichenpulley_core::ingress::lapse::LapsedEntries;
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

const GRACE: Duration = Duration::from_secs(2);

const fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_well_is_gone_at_once() {
    let mut keeper = LapsedEntries::new(GRACE);
    keeper.store_answered(at(0), false);
    assert!(!keeper.entry_removed("a"));
    assert_eq!((keeper.retains("a"), keeper.deadline()), (false, None));
}

#[test]
fn entries_that_lapsed_are_kept_until_two_seconds_after_the_return() {
    let mut keeper = LapsedEntries::new(GRACE);
    keeper.store_failed(at(0));
    keeper.store_answered(at(5_000), false);
    assert!(keeper.entry_removed("a") && keeper.entry_removed("b"));
    keeper.store_answered(at(6_000), false);
    keeper.mark_listed("a");
    assert!(keeper.expire(at(6_900)).is_empty());
    assert_eq!(keeper.deadline(), Some(at(7_000)), "later answers don't put the end off");
    assert_eq!(keeper.expire(at(7_000)), ["b"]);
    assert!(!keeper.entry_removed("a"), "what leaves after that is gone at once");
}

#[test]
fn an_outage_that_only_the_probe_saw_counts_too() {
    let mut keeper = LapsedEntries::new(GRACE);
    keeper.store_answered(at(1_000), true);
    assert!(keeper.entry_removed("a"));
    assert_eq!(keeper.expire(at(3_000)), ["a"]);
}

#[test]
fn a_second_outage_before_the_end_begins_the_time_anew() {
    let mut keeper = LapsedEntries::new(GRACE);
    keeper.store_failed(at(0));
    keeper.store_answered(at(1_000), false);
    assert!(keeper.entry_removed("a"));
    keeper.store_failed(at(2_000));
    assert!(keeper.expire(at(10_000)).is_empty() && keeper.retains("a"));
    keeper.store_answered(at(11_000), false);
    assert_eq!(keeper.expire(at(13_000)), ["a"]);
}

/// A store that turned one node away while it served its peers: what vanished there is gone at once.
#[test]
fn what_vanishes_while_the_store_serves_others_is_gone_at_once() {
    let mut keeper = LapsedEntries::new(GRACE);
    keeper.store_failed(at(0));
    for now in [1_500, 3_000, 4_500, 6_000] {
        assert!(keeper.record_peer_confirmation(at(now), Duration::from_millis(700)));
    }
    keeper.store_answered(at(6_400), true);
    assert!(!keeper.entry_removed("a"));
}

proptest! {
    /// Entries are kept unless peers show, without a gap in which entries lapse, that the store served them all the while.
    #[test]
    fn a_gap_in_what_peers_show_keeps_entries(mut looks in prop::collection::vec((0_u64..20_000, 0_u64..4_000), 0..16)) {
        looks.sort_unstable();
        let mut keeper = LapsedEntries::new(GRACE);
        keeper.store_failed(at(0));
        let mut confirmed = vec![0];
        for (now, age) in looks {
            let is_later = keeper.record_peer_confirmation(at(now), Duration::from_millis(age));
            prop_assert_eq!(is_later, age < now);
            if is_later {
                confirmed.push(now - age);
            }
        }
        keeper.store_answered(at(20_000), true);
        confirmed.push(20_000);
        confirmed.sort_unstable();
        let has_gap = confirmed.windows(2).any(|pair| pair[1] - pair[0] >= 2_500);
        prop_assert!(!has_gap || keeper.entry_removed("a"));
    }
}
