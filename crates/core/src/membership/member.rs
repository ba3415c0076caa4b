//! Member records and the precedence of claims about a member.

use std::net::{IpAddr, SocketAddr};

use speedy::{Readable, Writable};

use crate::identity::{NodeId, ZoneName};
use crate::time::Timestamp;

/// Properties that a member reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// Node id of the member.
    pub node: NodeId,
    /// Zone of the member.
    pub zone: ZoneName,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Application-defined bits, such as roles.
    pub attributes: u8,
}

/// The state of a member. Among claims with the same incarnation, a later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// Probes failed. The member counts as live until it is declared failed.
    Suspect,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member announced that it left.
    Left,
}

impl MemberState {
    /// Returns whether the member counts as live.
    pub(crate) const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A claim about the state of a member.
///
/// Invariant: a claim replaces another only if it is greater, by incarnation first and then by state. Only the
/// member itself raises its incarnation, so no other node can revoke its failure (Das et al. 2002, section
/// 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberClaim {
    /// Incarnation of the member that the claim refers to.
    pub incarnation: Incarnation,
    /// Claimed state.
    pub state: MemberState,
}

/// Incarnation number of a member.
///
/// Starts at the Unix time in milliseconds, so that a restart gets a higher number, and is raised above the
/// incarnation of a claim to refute it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the next higher incarnation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// This node's record of a member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Properties that the member reported.
    pub info: MemberInfo,
    /// The greatest claim received.
    pub claim: MemberClaim,
    /// When the state last changed, in protocol time.
    pub since: Timestamp,
}

/// Wire representation of a socket address.
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
