//! What is known about one member, and which of two claims about it counts.

use std::net::{IpAddr, SocketAddr};

use speedy::{Readable, Writable};

use crate::identity::{NodeId, ZoneName};
use crate::time::Timestamp;

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// The member.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Eight bits that the embedder gives a meaning to, such as roles.
    pub attributes: u8,
}

/// How a member stands. Of two claims with the same incarnation the later in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// A probe failed; it still counts as live until it is declared failed.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
    /// It said itself that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member counts as live.
    pub(crate) const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A claim about a member.
///
/// Invariant: a claim replaces another only where it is greater, by incarnation first, then by standing. Only
/// the member itself raises its incarnation, so nobody else can undo its failure (Das et al. 2002, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberClaim {
    /// Which run of the member, and which refutation in it, the claim is about.
    pub incarnation: Incarnation,
    /// How it stands.
    pub state: MemberState,
}

/// Orders the runs of a node and its refutations in one run: starts at the Unix time in milliseconds and is
/// raised past whatever is claimed about the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation that outranks this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// A member as this node knows it.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// What it says of itself.
    pub info: MemberInfo,
    /// The greatest claim heard.
    pub claim: MemberClaim,
    /// When its standing last changed, by this node's time awake.
    pub since: Timestamp,
}

/// A socket address as it goes over the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WireAddress {
    ip: IpAddr,
    port: u16,
}

impl From<SocketAddr> for WireAddress {
    fn from(address: SocketAddr) -> Self {
        Self { ip: address.ip(), port: address.port() }
    }
}

impl From<WireAddress> for SocketAddr {
    fn from(address: WireAddress) -> Self {
        Self::new(address.ip, address.port)
    }
}
