//! The live members of the cluster as this node sees them, and the choice of the member that should own a shard.
//!
//! The view is an immutable snapshot that `membership` replaces as a whole. The module also defines the encoding
//! of a member's attributes on the wire: roles in the low three bits, capacity in the high five. Imports no other
//! module of the node.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use lichenpulley_core::batch::regional;
use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use lichenpulley_core::ingress::places::AllowedRegions;
use xxhash_rust::xxh3::xxh3_64;

/// Computing capacity of a node's machine in eighths of a core, at most 31. Sent in membership messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeCapacity(u8);

impl NodeCapacity {
    /// The greatest capacity that fits in the five bits next to the roles.
    const MAX_EIGHTHS: u8 = 31;
    /// Units of capacity per core. A machine with 0.12 of a core has a capacity of one.
    const EIGHTHS_PER_CORE: f64 = 8.0;
    /// Minimum ratio of capacities at which control work moves to another machine. Each move costs a takeover.
    const MIN_MOVE_FACTOR: u8 = 2;

    /// Returns the capacity of a machine that gives the process this many cores.
    pub fn from_cores(cores: f64) -> Self {
        let eighths = (cores * Self::EIGHTHS_PER_CORE).ceil().clamp(1.0, f64::from(Self::MAX_EIGHTHS));
        Self(eighths as u8)
    }

    /// Returns whether a machine with capacity `other` is capable enough for control work to move there from a
    /// machine with this capacity.
    pub const fn justifies_move_to(self, other: Self) -> bool {
        other.0 >= self.0.saturating_mul(Self::MIN_MOVE_FACTOR)
    }

    /// Encodes this capacity and the roles as a member's attributes.
    pub const fn to_attributes(self, roles: Roles) -> u8 {
        (self.0 << ROLE_BITS) | roles.to_bits()
    }

    /// Decodes the capacity from a member's attributes.
    pub const fn from_attributes(attributes: u8) -> Self {
        Self(attributes >> ROLE_BITS)
    }
}

impl Default for NodeCapacity {
    /// One core.
    fn default() -> Self {
        Self::from_cores(1.0)
    }
}

impl std::fmt::Display for NodeCapacity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/8 cores", self.0)
    }
}

/// The roles of a node besides membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// Serves callers.
    pub gateway: bool,
    /// Can own shards of control work.
    pub coordinator: bool,
    /// Stores replicas of logs and claims on disk.
    pub store: bool,
}

const GATEWAY_BIT: u8 = 1;
const COORDINATOR_BIT: u8 = 1 << 1;
const STORE_BIT: u8 = 1 << 2;
/// Number of low bits of a member's attributes that hold its roles. The others hold its capacity.
const ROLE_BITS: u8 = 3;

impl Roles {
    /// Encodes the roles for the wire.
    const fn to_bits(self) -> u8 {
        let mut bits = 0;
        if self.gateway {
            bits |= GATEWAY_BIT;
        }
        if self.coordinator {
            bits |= COORDINATOR_BIT;
        }
        if self.store {
            bits |= STORE_BIT;
        }
        bits
    }

    /// Decodes roles encoded by [`Self::to_bits`], ignoring other bits.
    pub(crate) const fn from_bits(bits: u8) -> Self {
        Self {
            gateway: bits & GATEWAY_BIT != 0,
            coordinator: bits & COORDINATOR_BIT != 0,
            store: bits & STORE_BIT != 0,
        }
    }
}

/// A member that is considered alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its roles.
    pub roles: Roles,
    /// Its computing capacity.
    pub capacity: NodeCapacity,
    /// Its address for peers: TCP for requests and UDP for membership.
    pub peer_address: SocketAddr,
}

/// The members considered alive, including this node. Replaced as a whole, never modified in place.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The members, sorted by node id. A view shares the unchanged ones with the view before.
    pub members: Vec<Arc<Member>>,
    /// The order of the metadata readers, computed on first use.
    readers: OnceLock<Vec<RankedReader>>,
}

/// Preference for a coordinator as a metadata reader, the same on every node: by machine capacity, then by
/// rendezvous weight for the main shard.
type ReaderPreference = (NodeCapacity, u64, NodeId);

/// A coordinator with its preference as a metadata reader.
#[derive(Clone, Debug)]
struct RankedReader {
    preference: ReaderPreference,
    member: Arc<Member>,
}

fn reader_preference(node: &NodeId, capacity: NodeCapacity, shard: &ShardId) -> ReaderPreference {
    (capacity, rendezvous_weight(node, shard), node.clone())
}

impl ClusterView {
    /// Creates a view of these members, which are sorted by node id.
    pub const fn new(members: Vec<Arc<Member>>) -> Self {
        Self { members, readers: OnceLock::new() }
    }

    /// Returns the coordinators in the order in which they read metadata for the others.
    pub(crate) fn readers(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.ranked_readers().iter().map(|ranked| &ranked.member)
    }

    /// Returns the number of coordinators that are preferred as metadata readers to a node of this capacity,
    /// and the number of all. Regions are ignored, since metadata readers exist in all of them.
    pub(crate) fn reader_rank(&self, node: &NodeId, capacity: NodeCapacity) -> (usize, usize) {
        let readers = self.ranked_readers();
        let own = reader_preference(node, capacity, &main_shard());
        (readers.partition_point(|ranked| ranked.preference > own), readers.len())
    }

    fn ranked_readers(&self) -> &[RankedReader] {
        self.readers.get_or_init(|| {
            let shard = main_shard();
            let coordinators = self.members.iter().filter(|member| member.roles.coordinator);
            let mut readers: Vec<RankedReader> = coordinators
                .map(|member| {
                    let preference = reader_preference(&member.node, member.capacity, &shard);
                    RankedReader { preference, member: Arc::clone(member) }
                })
                .collect();
            readers.sort_unstable_by(|left, right| right.preference.cmp(&left.preference));
            readers
        })
    }

    /// Returns the coordinator that should own a shard: the live coordinator with the highest rendezvous weight.
    /// Returns `None` if there is no live coordinator.
    pub fn owner_of(&self, shard: &ShardId) -> Option<&Arc<Member>> {
        let coordinators = self.members.iter().filter(|member| member.roles.coordinator);
        coordinators.max_by_key(|member| (rendezvous_weight(&member.node, shard), member.node.clone()))
    }

    /// Returns the member with this id.
    pub fn member(&self, node: &NodeId) -> Option<&Arc<Member>> {
        let position = self.members.binary_search_by(|member| member.node.cmp(node)).ok()?;
        self.members.get(position)
    }
}

fn main_shard() -> ShardId {
    regional::shard_of(&AllowedRegions::all())
}

/// Returns the rendezvous weight of a node for a shard (highest random weight hashing, Thaler and Ravishankar
/// 1998). All nodes compute the same weight.
pub fn rendezvous_weight(node: &NodeId, shard: &ShardId) -> u64 {
    xxh3_64(format!("{node}\n{shard}").as_bytes())
}
