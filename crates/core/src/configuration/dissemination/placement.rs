//! Who reads the platform and who is in the quorum set, computed alike by all from the live members.
//!
//! Owns the ranking by rendezvous weights; a node with another view of the members may rank otherwise for a
//! while.

use std::cmp::Reverse;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

use crate::identity::{NodeId, ZoneName};

/// A live member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
}

/// The region of a zone: what stands before the first `/` of its name, as in `west/sando-hall`. Zones without a
/// `/` share one region.
pub fn region_of(zone: &ZoneName) -> &str {
    zone.as_str().split_once('/').map_or("", |(region, _)| region)
}

/// The part that each member plays for one document, as this node's view of the members gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Highest rendezvous weight first (highest random weight hashing, Thaler and Ravishankar 1998).
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

    /// Whether a node is among the readers of its region.
    pub(crate) fn is_reader(&self, node: &NodeId, readers_per_region: usize) -> bool {
        let Some(own) = self.ranked.iter().find(|peer| &peer.node == node) else { return false };
        let region = region_of(&own.zone);
        let in_region = self.ranked.iter().filter(|peer| region_of(&peer.zone) == region);
        in_region.take(readers_per_region).any(|peer| &peer.node == node)
    }

    /// The quorum set.
    pub(crate) fn quorum_set(&self) -> impl Iterator<Item = &NodeId> {
        self.ranked.iter().take(self.quorum).map(|peer| &peer.node)
    }

    /// How many live members there are.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Whether a node is a live member.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.ranked.iter().any(|peer| &peer.node == node)
    }

    /// Whether a node is in the quorum set.
    pub(crate) fn in_quorum_set(&self, node: &NodeId) -> bool {
        self.quorum_set().any(|member| member == node)
    }

    /// Some other members, drawn from a seed.
    pub fn sample(&self, own: &NodeId, seed: u64, count: usize) -> impl Iterator<Item = &NodeId> {
        let others = self.ranked.iter().map(|peer| &peer.node).filter(move |node| *node != own);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        others.sample(&mut random, count).into_iter()
    }

    /// Members of the quorum set that must hold a revision before it is put in force.
    pub(crate) fn write_quorum(&self) -> usize {
        self.quorum / 2 + 1
    }

    /// Other members of the quorum set that a starting node must hear.
    ///
    /// Invariant: of the `n` members at least `w` held what was in force, the starting node perhaps among
    /// them. Of the other `n - 1`, at least `w - 1` still do, so any `n - w + 1` of them include one.
    pub(crate) fn read_quorum(&self) -> usize {
        self.quorum + 1 - self.write_quorum().min(self.quorum)
    }
}
