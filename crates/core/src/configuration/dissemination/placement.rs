//! Selection of the platform readers and the quorum set by rendezvous hashing over the live members.
//!
//! Nodes with the same view of the members compute the same selection. Views, and so selections, may differ
//! temporarily.

use std::cmp::Reverse;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

use crate::identity::{NodeId, ZoneName};

/// A live member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Node id.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
}

/// Returns the region of a zone: the part of its name before the first `/`, as in `west/sando-hall`. Zones
/// without a `/` belong to one unnamed region.
pub fn region_of(zone: &ZoneName) -> &str {
    zone.as_str().split_once('/').map_or("", |(region, _)| region)
}

/// Ranking of the live members for one document, from this node's view of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Members by descending rendezvous weight (highest random weight hashing, Thaler and Ravishankar 1998).
    ranked: Vec<Peer>,
    quorum: usize,
}

impl Placement {
    /// Ranks the live members for a document.
    pub fn new(document: &str, members: &[Peer], quorum_size: usize) -> Self {
        let mut ranked = members.to_vec();
        ranked.sort_by_cached_key(|peer| {
            let weight = xxh3_64(format!("{}\n{document}", peer.node).as_bytes());
            Reverse((weight, peer.node.clone()))
        });
        let quorum = quorum_size.min(ranked.len());
        Self { ranked, quorum }
    }

    /// Returns whether a node is one of the readers of its region.
    pub(crate) fn is_reader(&self, node: &NodeId, readers_per_region: usize) -> bool {
        let Some(own) = self.ranked.iter().find(|peer| &peer.node == node) else { return false };
        let region = region_of(&own.zone);
        let in_region = self.ranked.iter().filter(|peer| region_of(&peer.zone) == region);
        in_region.take(readers_per_region).any(|peer| &peer.node == node)
    }

    /// Returns the members of the quorum set.
    pub(crate) fn quorum_set(&self) -> impl Iterator<Item = &NodeId> {
        self.ranked.iter().take(self.quorum).map(|peer| &peer.node)
    }

    /// Returns the number of live members.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Returns whether a node is a live member.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.ranked.iter().any(|peer| &peer.node == node)
    }

    /// Returns whether a node is in the quorum set.
    pub(crate) fn in_quorum_set(&self, node: &NodeId) -> bool {
        self.quorum_set().any(|member| member == node)
    }

    /// Returns a random sample of up to `count` members other than `own`, determined by `seed`.
    pub fn sample(&self, own: &NodeId, seed: u64, count: usize) -> impl Iterator<Item = &NodeId> {
        let others = self.ranked.iter().map(|peer| &peer.node).filter(move |node| *node != own);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        others.sample(&mut random, count).into_iter()
    }

    /// Returns how many members of the quorum set must hold a revision before it is put in force.
    pub(crate) fn write_quorum(&self) -> usize {
        self.quorum / 2 + 1
    }

    /// Returns how many other members of the quorum set must answer a starting node.
    ///
    /// Invariant: at least `w` of the `n` members held the revision in force, possibly including the starting
    /// node. At least `w - 1` of the other `n - 1` members still hold it, so any `n - w + 1` of them include one
    /// that does.
    pub(crate) fn read_quorum(&self) -> usize {
        self.quorum + 1 - self.write_quorum().min(self.quorum)
    }
}
