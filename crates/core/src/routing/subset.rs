//! Selects the replicas of a large pool that one node uses.
//!
//! If every node used every replica, connections and probes would grow with the product of both numbers. A node
//! therefore uses a subset, chosen by rendezvous hash of its own name: the subset changes little as replicas
//! come and go, and differs from node to node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::{NodeId, ReplicaId};

/// Returns the `size` replicas with the highest rendezvous weight for a node.
pub fn choose<'a>(
    node: &NodeId,
    replicas: impl IntoIterator<Item = &'a ReplicaId>,
    size: usize,
) -> Vec<&'a ReplicaId> {
    let seed = xxh3_64_with_seed(node.as_str().as_bytes(), 0);
    let weight = |replica: &ReplicaId| xxh3_64_with_seed(replica.as_str().as_bytes(), seed);
    let mut weighted: Vec<(u64, &ReplicaId)> =
        replicas.into_iter().map(|replica| (weight(replica), replica)).collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().take(size).map(|(_, replica)| replica).collect()
}
