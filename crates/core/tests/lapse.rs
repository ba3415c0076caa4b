//! Tests of [`LapsedEntries`]: entries removed during an outage of the store are retained for a grace period.

use std::time::Duration;

use lichenpulley_core::ingress::lapse::LapsedEntries;
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

const GRACE_PERIOD: Duration = Duration::from_secs(2);

const fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn an_entry_removed_while_the_store_is_available_is_dropped_at_once() {
    let mut entries = LapsedEntries::new(GRACE_PERIOD);
    entries.store_answered(at(0), false);
    assert!(!entries.entry_removed("a"));
    assert_eq!((entries.retains("a"), entries.deadline()), (false, None));
}

#[test]
fn lapsed_entries_are_retained_until_the_grace_period_after_recovery_ends() {
    let mut entries = LapsedEntries::new(GRACE_PERIOD);
    entries.store_failed(at(0));
    entries.store_answered(at(5_000), false);
    assert!(entries.entry_removed("a") && entries.entry_removed("b"));
    entries.store_answered(at(6_000), false);
    entries.mark_listed("a");
    assert!(entries.expire(at(6_900)).is_empty());
    assert_eq!(entries.deadline(), Some(at(7_000)), "later answers don't extend the grace period");
    assert_eq!(entries.expire(at(7_000)), ["b"]);
    assert!(!entries.entry_removed("a"), "entries removed after that are dropped at once");
}

#[test]
fn an_outage_that_only_another_component_observed_counts() {
    let mut entries = LapsedEntries::new(GRACE_PERIOD);
    entries.store_answered(at(1_000), true);
    assert!(entries.entry_removed("a"));
    assert_eq!(entries.expire(at(3_000)), ["a"]);
}

#[test]
fn a_second_outage_restarts_the_grace_period() {
    let mut entries = LapsedEntries::new(GRACE_PERIOD);
    entries.store_failed(at(0));
    entries.store_answered(at(1_000), false);
    assert!(entries.entry_removed("a"));
    entries.store_failed(at(2_000));
    assert!(entries.expire(at(10_000)).is_empty() && entries.retains("a"));
    entries.store_answered(at(11_000), false);
    assert_eq!(entries.expire(at(13_000)), ["a"]);
}

#[test]
fn entries_removed_while_the_store_serves_peers_are_dropped_at_once() {
    let mut entries = LapsedEntries::new(GRACE_PERIOD);
    entries.store_failed(at(0));
    for now in [1_500, 3_000, 4_500, 6_000] {
        assert!(entries.record_peer_confirmation(at(now), Duration::from_millis(700)));
    }
    entries.store_answered(at(6_400), true);
    assert!(!entries.entry_removed("a"));
}

proptest! {
    /// Entries are retained unless confirmations of peers, without a gap in which entries could lapse, show that the
    /// store was available to them.
    #[test]
    fn a_gap_in_the_confirmations_of_peers_retains_entries(mut confirmations in prop::collection::vec((0_u64..20_000, 0_u64..4_000), 0..16)) {
        confirmations.sort_unstable();
        let mut entries = LapsedEntries::new(GRACE_PERIOD);
        entries.store_failed(at(0));
        let mut confirmed = vec![0];
        for (now, age) in confirmations {
            let is_later = entries.record_peer_confirmation(at(now), Duration::from_millis(age));
            prop_assert_eq!(is_later, age < now);
            if is_later {
                confirmed.push(now - age);
            }
        }
        entries.store_answered(at(20_000), true);
        confirmed.push(20_000);
        confirmed.sort_unstable();
        let has_gap = confirmed.windows(2).any(|pair| pair[1] - pair[0] >= 2_500);
        prop_assert!(!has_gap || entries.entry_removed("a"));
    }
}
