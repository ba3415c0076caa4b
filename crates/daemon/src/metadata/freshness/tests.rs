//! Tests that the log does not state an age for a copy that was never read.

use super::*;

/// The age of a copy on another node, as its answer carries it.
fn answered_age(freshness: &Freshness, kind: MetadataKind) -> Duration {
    Duration::from_millis(whole_millis(freshness.age(kind)))
}

/// Fails if the mark of an unknown age is printed as a number of milliseconds.
#[test]
fn copy_that_was_never_read_has_no_age_in_the_log() {
    let freshness = Freshness::new(BootClock::default());
    for age in [freshness.age(MetadataKind::Replicas), answered_age(&freshness, MetadataKind::Replicas)] {
        let text = describe_age(age);
        assert!(text.contains("was never read"), "{text}");
        assert!(!text.contains("ms old"), "{text}");
    }
}

#[test]
fn age_of_a_copy_that_was_read_is_stated() {
    assert_eq!(describe_age(Duration::from_millis(1_620)), "is 1620 ms old");
    let freshness = Freshness::new(BootClock::default());
    freshness.confirm(MetadataKind::Replicas, Duration::ZERO);
    assert!(describe_age(answered_age(&freshness, MetadataKind::Replicas)).ends_with("ms old"));
}
