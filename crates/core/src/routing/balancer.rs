//! The choice among eligible replicas: a few candidates, then the lowest cost.
//!
//! Candidates are the first replicas by rendezvous hash of the prompt's prefix group, so that prompts which
//! share a prefix meet it in the same caches, and some at random, so that a hot group spills over and load
//! reports that lag don't send every node to the same replica (Mitzenmacher, "How Useful Is Old
//! Information?", 2000).
//!
//! Inputs: the eligible replicas with their loads, the prompt's prefix group, a source of random numbers.
//! Unit of cost: shares of a replica's capacity. Measured against round robin and least reported load:
//! docs/decisions/routing.md.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::ReplicaId;
use crate::routing::replica::Replica;

/// How replicas are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerConfig {
    /// Candidates by the prefix group.
    pub affinity_candidates: usize,
    /// Candidates at random.
    pub random_candidates: usize,
    /// The cost of a prefix that is probably not cached, in shares of a replica's capacity.
    pub missing_prefix_cost: f64,
}

/// Measured as a whole against other policies (docs/decisions/routing.md); the single figures are chosen.
impl Default for BalancerConfig {
    fn default() -> Self {
        Self { affinity_candidates: 2, random_candidates: 2, missing_prefix_cost: 0.25 }
    }
}

/// A replica that was chosen, and from what.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaId,
    /// Its cost: streams there by its capacity, and the prefix it lacks.
    pub cost: f64,
    /// Whether it probably has the prefix.
    pub prefix_cached: bool,
    /// How many candidates were weighed.
    pub candidates: usize,
}

/// Capacity assumed for a replica that has reported none, in streams. Chosen, not measured: too large floods
/// a new replica.
const ASSUMED_CAPACITY: u32 = 8;

/// Picks among `replicas`, all of them eligible and with room.
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

/// The cost of sending a request to a replica.
fn cost(config: &BalancerConfig, replica: &Replica, prefix_cached: bool) -> f64 {
    let capacity = replica.load.capacity().unwrap_or(ASSUMED_CAPACITY);
    let occupied = f64::from(replica.load.streams()) / f64::from(capacity);
    if prefix_cached { occupied } else { occupied + config.missing_prefix_cost }
}

fn candidates<R: Rng>(
    config: &BalancerConfig,
    replicas: &[(&ReplicaId, &Replica)],
    prefix_group: u64,
    random: &mut R,
) -> Vec<usize> {
    let mut chosen = nearest(replicas, prefix_group, config.affinity_candidates);
    let wanted = replicas.len().min(chosen.len() + config.random_candidates);
    while chosen.len() < wanted {
        let index = random.random_range(0..replicas.len());
        if !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen
}

/// The first `count` replicas by rendezvous hash of the group.
fn nearest(replicas: &[(&ReplicaId, &Replica)], prefix_group: u64, count: usize) -> Vec<usize> {
    let mut weights: Vec<(u64, usize)> = replicas
        .iter()
        .enumerate()
        .map(|(index, (id, _))| (xxh3_64_with_seed(id.as_str().as_bytes(), prefix_group), index))
        .collect();
    weights.sort_unstable_by(|left, right| right.cmp(left));
    weights.into_iter().take(count).map(|(_, index)| index).collect()
}
