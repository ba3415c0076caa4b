//! Subsets of a pool's replicas at the size of a large deployment.

use std::collections::BTreeSet;

use lichenpulley_core::identity::{NodeId, ReplicaId};
use lichenpulley_core::routing::pool::DEFAULT_SUBSET_SIZE;
use lichenpulley_core::routing::subset;

const GATEWAYS: usize = 410;
const REPLICAS: usize = 870;

/// Replicas that are in no gateway's subset of `size`.
fn unused(size: usize) -> usize {
    let replicas: Vec<ReplicaId> = (0..REPLICAS).map(|number| ReplicaId::new(format!("{number}"))).collect();
    let nodes = (0..GATEWAYS).map(|gateway| NodeId::new(format!("gateway-{gateway}")));
    let used: BTreeSet<String> = nodes
        .flat_map(|node| subset::choose(&node, &replicas, size))
        .map(|replica| replica.as_str().to_owned())
        .collect();
    REPLICAS - used.len()
}

#[test]
fn the_default_subset_leaves_no_replica_unused() {
    assert_eq!(unused(DEFAULT_SUBSET_SIZE), 0);
    assert!(unused(DEFAULT_SUBSET_SIZE / 8) > 0, "a much smaller one would");
}
