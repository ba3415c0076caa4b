//! Which replicas of a large pool one node uses.
//!
//! With 410 nodes before 870 replicas, each node using each replica would mean 357,000 connections, and each
//! node asking each replica for its role more traffic than control may spend. So a node uses a subset, drawn
//! by rendezvous hash of its own name: stable while replicas come and go, and different from node to node.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::{NodeId, ReplicaId};

/// The `size` replicas with the highest rendezvous weight for a node.
pub fn choose<'a>(
    node: &NodeId,
    replicas: impl IntoIterator<Item = &'a ReplicaId>,
    size: usize,
) -> Vec<&'a ReplicaId> {
    let seed = xxh3_64_with_seed(node.as_str().as_bytes(), 0);
    let weight = |replica: &ReplicaId| xxh3_64_with_seed(replica.as_str().as_bytes(), seed);
    let mut weighed: Vec<(u64, &ReplicaId)> =
        replicas.into_iter().map(|replica| (weight(replica), replica)).collect();
    weighed.sort_unstable_by(|left, right| right.cmp(left));
    weighed.into_iter().take(size).map(|(_, replica)| replica).collect()
}
