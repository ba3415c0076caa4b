//! Subsets at the size of the letter.

use lichenpulley_core::routing::pool::DEFAULT_SUBSET_SIZE;
use lichenpulley_lab::subsets::measure;

#[test]
fn the_default_subset_leaves_no_replica_unused() {
    assert_eq!(measure(DEFAULT_SUBSET_SIZE, 1).unused, 0);
    assert!(measure(DEFAULT_SUBSET_SIZE / 8, 1).unused > 0, "a much smaller one would");
}
