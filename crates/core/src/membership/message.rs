//! The datagrams of the protocol, encoded by `speedy`.
//!
//! The order of fields and variants is the encoding: a change of it raises the version of the protocol.

use speedy::{LittleEndian, Readable, Writable};

use super::config::MAX_NAME_BYTES;
use super::member::{Incarnation, MemberClaim, MemberInfo, MemberState, WireAddress};
use crate::identity::{NodeId, Revision, ZoneName};

/// The first byte of every datagram; goes up when the encoding changes.
const PROTOCOL_VERSION: u8 = 1;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Message {
    version: u8,
    /// Who sends it.
    pub sender: NodeId,
    /// Names an exchange; an answer carries the number of its question.
    pub sequence: u32,
    /// What it is for.
    pub body: Body,
    /// Updates about members.
    #[speedy(length_type = u16)]
    pub updates: Vec<Update>,
    /// Revisions that the sender holds.
    #[speedy(length_type = u8)]
    pub documents: Vec<DocumentRevision>,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Body {
    /// Asks a member whether it is alive. Names it, since its address may have passed to another.
    Ping {
        /// Who should answer.
        target: NodeId,
    },
    /// Answers a ping.
    Acknowledge,
    /// Asks to ping a member in the sender's place.
    PingRequest {
        /// Whom to ping.
        target: NodeId,
        /// Where.
        address: WireAddress,
    },
    /// Says that the target of a [`Body::PingRequest`] answered.
    ForwardedAcknowledge,
    /// Asks for the live members that follow one in the order of ids.
    ListRequest {
        /// The last member of the page before.
        after: Option<NodeId>,
    },
    /// A page of live members.
    ListPage {
        /// The members.
        #[speedy(length_type = u16)]
        entries: Vec<Update>,
        /// Ask for the next page after this member; `None` on the last page.
        next: Option<NodeId>,
    },
    /// A digest of the sender's live members, by bucket.
    Digest {
        /// One for each bucket.
        #[speedy(length_type = u16)]
        buckets: Vec<u32>,
    },
    /// Every member that the sender knows in some buckets that differ.
    Buckets {
        /// Which buckets.
        #[speedy(length_type = u8)]
        indexes: Vec<u8>,
        /// Their members.
        #[speedy(length_type = u16)]
        entries: Vec<Update>,
        /// Whether the receiver should send back what it knows better.
        exchange: bool,
    },
    /// Carries updates only.
    Notice,
}

/// What is claimed of one member.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Update {
    /// The member.
    pub node: NodeId,
    /// The incarnation that the update is about.
    pub incarnation: Incarnation,
    /// How it stands.
    pub state: ClaimedState,
}

/// How a member stands, with what is needed to reach it where it is alive.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ClaimedState {
    /// It is alive.
    Alive {
        /// Its zone.
        zone: ZoneName,
        /// Where it receives datagrams.
        address: WireAddress,
        /// The embedder's bits.
        attributes: u8,
    },
    /// It is suspected.
    Suspect,
    /// It is declared failed.
    Failed,
    /// It left.
    Left,
}

/// A revision of a document that the sender of a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DocumentRevision {
    /// The document.
    #[speedy(length_type = u8)]
    pub document: String,
    /// The revision.
    pub revision: Revision,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It does not follow the encoding.
    #[error("the datagram can't be decoded; check that only nodes of this cluster send to this port")]
    Malformed,
    /// It was encoded by another version of the protocol.
    #[error("the datagram has another protocol version; run one version of lichenpulleyd on all nodes")]
    OtherVersion,
}

impl Message {
    /// A message without updates.
    pub fn new(sender: NodeId, sequence: u32, body: Body, documents: Vec<DocumentRevision>) -> Self {
        Self { version: PROTOCOL_VERSION, sender, sequence, body, updates: Vec::new(), documents }
    }

    /// The datagram's payload.
    pub fn encode(&self) -> Vec<u8> {
        // Writing into memory fails only where a length does not fit its type; names and counts are bounded by
        // `Config::validate` and the payload limit.
        self.write_to_vec_with_ctx(LittleEndian::default()).unwrap_or_default()
    }

    /// Reads a payload.
    ///
    /// # Errors
    /// When it is not a message of this protocol version.
    pub fn decode(payload: &[u8]) -> Result<Self, DecodeError> {
        if payload.first().is_some_and(|version| *version != PROTOCOL_VERSION) {
            return Err(DecodeError::OtherVersion);
        }
        let message = Self::read_from_buffer_with_ctx(LittleEndian::default(), payload)
            .map_err(|_| DecodeError::Malformed)?;
        if message.sender.as_str().len() > MAX_NAME_BYTES {
            return Err(DecodeError::Malformed);
        }
        Ok(message)
    }

    /// The bytes of the payload.
    pub(crate) fn encoded_bytes(&self) -> usize {
        encoded_bytes(self)
    }
}

impl Update {
    /// An update by which a member is alive.
    pub fn alive(info: &MemberInfo, incarnation: Incarnation) -> Self {
        let state = ClaimedState::Alive {
            zone: info.zone.clone(),
            address: info.address.into(),
            attributes: info.attributes,
        };
        Self { node: info.node.clone(), incarnation, state }
    }

    /// The claim about a member as an update.
    pub(crate) fn from_claim(info: &MemberInfo, claim: MemberClaim) -> Self {
        let state = match claim.state {
            MemberState::Alive => return Self::alive(info, claim.incarnation),
            MemberState::Suspect => ClaimedState::Suspect,
            MemberState::Failed => ClaimedState::Failed,
            MemberState::Left => ClaimedState::Left,
        };
        Self { node: info.node.clone(), incarnation: claim.incarnation, state }
    }

    /// The claim that the update makes.
    pub fn claim(&self) -> MemberClaim {
        let state = match self.state {
            ClaimedState::Alive { .. } => MemberState::Alive,
            ClaimedState::Suspect => MemberState::Suspect,
            ClaimedState::Failed => MemberState::Failed,
            ClaimedState::Left => MemberState::Left,
        };
        MemberClaim { incarnation: self.incarnation, state }
    }

    /// What the member says of itself, where the update carries it.
    pub fn info(&self) -> Option<MemberInfo> {
        let ClaimedState::Alive { zone, address, attributes } = &self.state else { return None };
        Some(MemberInfo {
            node: self.node.clone(),
            zone: zone.clone(),
            address: (*address).into(),
            attributes: *attributes,
        })
    }

    /// Its bytes inside a payload.
    pub(crate) fn encoded_bytes(&self) -> usize {
        encoded_bytes(self)
    }
}

fn encoded_bytes<T: Writable<LittleEndian>>(value: &T) -> usize {
    value.bytes_needed().unwrap_or(usize::MAX)
}
