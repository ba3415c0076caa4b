//! The members of the cluster as this node observes them, and who of them should own a shard.
//!
//! A snapshot that `membership` replaces as a whole. Owns the form of a member's attributes on the wire: three bits of
//! roles below five of capacity. Imports no other part of the node.

use std::net::SocketAddr;

use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

/// How much work a node's machine can do, in eighths of a core; at most 31. Rides on the membership's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeCapacity(u8);

impl NodeCapacity {
    /// The greatest capacity that fits beside the roles in a member's attributes: five bits, so 31 eighths of a core.
    const MAX_EIGHTHS: u8 = 31;
    /// Units of capacity in a core. Chosen: with eighths the smallest machines measured, of 0.12 of a core, count as one.
    const EIGHTHS_PER_CORE: f64 = 8.0;
    /// How many times as capable a machine must be for control work to move there. Chosen, not measured: less moves it
    /// between machines that differ little, and each move costs a takeover. That the most capable machine owns raised
    /// the share of work served on a quiet day from 0.32 to 0.97, with machines of 0.12 and 0.5 of a core (one play).
    const MIN_MOVE_FACTOR: u8 = 2;

    /// The capacity of a machine that gives a process so many cores.
    pub fn from_cores(cores: f64) -> Self {
        let eighths = (cores * Self::EIGHTHS_PER_CORE).ceil().clamp(1.0, f64::from(Self::MAX_EIGHTHS));
        Self(eighths as u8)
    }

    /// Whether control work is worth moving from a machine with this capacity to one with `other`.
    pub const fn justifies_move_to(self, other: Self) -> bool {
        other.0 >= self.0.saturating_mul(Self::MIN_MOVE_FACTOR)
    }

    /// The attributes of a member with these roles.
    pub const fn to_attributes(self, roles: Roles) -> u8 {
        (self.0 << ROLE_BITS) | roles.to_bits()
    }

    /// The capacity in a member's attributes.
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

/// What a node does besides membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// Serves callers.
    pub gateway: bool,
    /// Can own shards of control work.
    pub coordinator: bool,
    /// Keeps replicas of logs and claims on its disk.
    pub store: bool,
}

const GATEWAY_BIT: u8 = 1;
const COORDINATOR_BIT: u8 = 1 << 1;
const STORE_BIT: u8 = 1 << 2;
/// Bits of a member's attributes that hold its roles; the others hold its capacity.
const ROLE_BITS: u8 = 3;

impl Roles {
    /// The roles as they go over the wire. Bits that this version does not know are left to later ones.
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

    /// The roles that [`Self::to_bits`] gave.
    pub(crate) const fn from_bits(bits: u8) -> Self {
        Self {
            gateway: bits & GATEWAY_BIT != 0,
            coordinator: bits & COORDINATOR_BIT != 0,
            store: bits & STORE_BIT != 0,
        }
    }
}

/// One member that is believed alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its roles.
    pub roles: Roles,
    /// How much work it can do.
    pub capacity: NodeCapacity,
    /// Where it answers its peers, over TCP for requests and over UDP for membership.
    pub peer_address: SocketAddr,
}

/// Members believed alive, this node included. Replaced as a whole, never changed in place.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The members, by node id.
    pub members: Vec<Member>,
}

impl ClusterView {
    /// The coordinator that should own a shard: the highest rendezvous weight among live coordinators.
    pub fn owner_of(&self, shard: &ShardId) -> Option<&Member> {
        let coordinators = self.members.iter().filter(|member| member.roles.coordinator);
        coordinators.max_by_key(|member| (rendezvous_weight(&member.node, shard), member.node.clone()))
    }

    /// The member with this id.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members.iter().find(|member| &member.node == node)
    }
}

/// The weight of a node for a shard, the same on every node (highest random weight hashing, Thaler and
/// Ravishankar 1998).
pub fn rendezvous_weight(node: &NodeId, shard: &ShardId) -> u64 {
    xxh3_64(format!("{node}\n{shard}").as_bytes())
}
