//! Chooses among eligible replicas by drawing a few candidates and taking the one with the lowest cost.
//!
//! Some candidates are the first replicas by rendezvous hash of the prompt's prefix group, so that prompts
//! which share a prefix are served from the same caches. Others are drawn at random, so that load from a
//! popular group spreads and stale load reports don't send every node to the same replica (Mitzenmacher,
//! "How Useful Is Old Information?", 2000).
//!
//! Costs are expressed as shares of a replica's capacity. docs/decisions/routing.md compares this policy with
//! round robin and least reported load.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::ReplicaId;
use crate::routing::replica::Replica;

/// Configures the choice among replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerConfig {
    /// Number of candidates by rendezvous hash of the prefix group.
    pub affinity_candidates: usize,
    /// Number of candidates drawn at random.
    pub random_candidates: usize,
    /// Cost of a prefix that is probably not cached, in shares of a replica's capacity.
    pub missing_prefix_cost: f64,
}

impl Default for BalancerConfig {
    fn default() -> Self {
        Self { affinity_candidates: 2, random_candidates: 2, missing_prefix_cost: 0.25 }
    }
}

/// A chosen replica and how it was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The chosen replica.
    pub replica: ReplicaId,
    /// Its cost: occupied share of its capacity, plus the cost of a missing prefix.
    pub cost: f64,
    /// Whether the replica probably has the prefix cached.
    pub prefix_cached: bool,
    /// Number of candidates that were compared.
    pub candidates: usize,
}

/// Capacity, in streams, assumed for a replica that has reported none; low enough not to overload a new
/// replica.
const ASSUMED_CAPACITY: u32 = 8;

/// Chooses one of `replicas`, which must all be eligible and below their concurrency limits. Returns `None`
/// if `replicas` is empty.
pub fn choose<R: Rng>(
    config: &BalancerConfig,
    replicas: &[(&ReplicaId, &Replica)],
    prefix_group: u64,
    random: &mut R,
) -> Option<Choice> {
    let candidates = candidates(config, replicas, prefix_group, random);
    let costs = candidates.iter().map(|&index| {
        let (id, replica) = replicas[index];
        let prefix_cached = replica.prefixes.contains(prefix_group);
        (id, cost(config, replica, prefix_cached), prefix_cached)
    });
    let (replica, cost, prefix_cached) = costs.min_by(|left, right| left.1.total_cmp(&right.1))?;
    Some(Choice { replica: replica.clone(), cost, prefix_cached, candidates: candidates.len() })
}

/// Returns the cost of sending a request to a replica.
fn cost(config: &BalancerConfig, replica: &Replica, prefix_cached: bool) -> f64 {
    let capacity = replica.load.capacity().unwrap_or(ASSUMED_CAPACITY);
    let occupied = f64::from(replica.load.streams()) / f64::from(capacity);
    if prefix_cached { occupied } else { occupied + config.missing_prefix_cost }
}

/// Returns the indexes of the replicas to compare.
fn candidates<R: Rng>(
    config: &BalancerConfig,
    replicas: &[(&ReplicaId, &Replica)],
    prefix_group: u64,
    random: &mut R,
) -> Vec<usize> {
    let mut indexes = highest_ranked(replicas, prefix_group, config.affinity_candidates);
    let target_count = replicas.len().min(indexes.len() + config.random_candidates);
    while indexes.len() < target_count {
        let index = random.random_range(0..replicas.len());
        if !indexes.contains(&index) {
            indexes.push(index);
        }
    }
    indexes
}

/// Returns the first `count` replicas by rendezvous hash of the group.
fn highest_ranked(replicas: &[(&ReplicaId, &Replica)], prefix_group: u64, count: usize) -> Vec<usize> {
    let mut weights: Vec<(u64, usize)> = replicas
        .iter()
        .enumerate()
        .map(|(index, (id, _))| (xxh3_64_with_seed(id.as_str().as_bytes(), prefix_group), index))
        .collect();
    weights.sort_unstable_by(|left, right| right.cmp(left));
    weights.into_iter().take(count).map(|(_, index)| index).collect()
}
