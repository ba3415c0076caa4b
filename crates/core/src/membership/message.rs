//! Datagram format of the protocol, encoded by `speedy`.
//!
//! The encoding depends on the order of fields and variants. A change of that order must increase
//! `PROTOCOL_VERSION`.

use speedy::{LittleEndian, Readable, Writable};

use super::config::MAX_NAME_BYTES;
use super::member::{Incarnation, MemberClaim, MemberInfo, MemberState, WireAddress};
use crate::identity::{NodeId, Revision, ZoneName};

/// Version of the encoding, the first byte of every datagram.
const PROTOCOL_VERSION: u8 = 1;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Message {
    version: u8,
    /// Node id of the sender.
    pub sender: NodeId,
    /// Sequence number of a request; a response carries the number of its request.
    pub sequence: u32,
    /// Request, response or notice.
    pub body: Body,
    /// Piggybacked member updates.
    #[speedy(length_type = u16)]
    pub updates: Vec<Update>,
    /// Document revisions that the sender holds.
    #[speedy(length_type = u8)]
    pub documents: Vec<DocumentRevision>,
}

/// The kind and content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Body {
    /// Probes a member. Includes its id, because another node may have taken over its address.
    Ping {
        /// The member that should answer.
        target: NodeId,
    },
    /// Answers a ping.
    Acknowledge,
    /// Asks the receiver to ping a member on behalf of the sender.
    PingRequest {
        /// The member to ping.
        target: NodeId,
        /// Address of the member.
        address: WireAddress,
    },
    /// Reports that the target of a [`Body::PingRequest`] answered.
    ForwardedAcknowledge,
    /// Requests a page of live members, ordered by id.
    ListRequest {
        /// The last member of the previous page; `None` for the first page.
        after: Option<NodeId>,
    },
    /// A page of live members, in response to a [`Body::ListRequest`].
    ListPage {
        /// The members.
        #[speedy(length_type = u16)]
        entries: Vec<Update>,
        /// Value of `after` for the next request; `None` on the last page.
        next: Option<NodeId>,
    },
    /// Digests of the sender's live members, per bucket.
    Digest {
        /// One digest per bucket.
        #[speedy(length_type = u16)]
        buckets: Vec<u32>,
    },
    /// The members that the sender knows in some of the buckets that differ.
    Buckets {
        /// Indexes of the buckets.
        #[speedy(length_type = u8)]
        indexes: Vec<u8>,
        /// Members of these buckets.
        #[speedy(length_type = u16)]
        entries: Vec<Update>,
        /// Whether the receiver should reply with its newer claims.
        exchange: bool,
    },
    /// Carries only updates; needs no response.
    Notice,
}

/// A claim about one member.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Update {
    /// The member.
    pub node: NodeId,
    /// The incarnation that the claim refers to.
    pub incarnation: Incarnation,
    /// Claimed state.
    pub state: ClaimedState,
}

/// The claimed state of a member, with its properties if it is alive.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ClaimedState {
    /// The member is alive.
    Alive {
        /// Zone of the member.
        zone: ZoneName,
        /// Address at which it receives datagrams.
        address: WireAddress,
        /// Application-defined bits.
        attributes: u8,
    },
    /// The member is suspected of having failed.
    Suspect,
    /// The member was declared failed.
    Failed,
    /// The member left.
    Left,
}

/// A revision of a document that the sender of a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DocumentRevision {
    /// Name of the document.
    #[speedy(length_type = u8)]
    pub document: String,
    /// Revision held by the sender.
    pub revision: Revision,
}

/// Why a datagram can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The payload is not a valid message.
    #[error("the datagram can't be decoded; check that only nodes of this cluster send to this port")]
    Malformed,
    /// The sender uses another protocol version.
    #[error(
        "the datagram has a different protocol version; run the same version of lichenpulleyd on all nodes"
    )]
    OtherVersion,
}

impl Message {
    /// Creates a message without updates.
    pub fn new(sender: NodeId, sequence: u32, body: Body, documents: Vec<DocumentRevision>) -> Self {
        Self { version: PROTOCOL_VERSION, sender, sequence, body, updates: Vec::new(), documents }
    }

    /// Encodes the message as a datagram payload.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory fails only if a length does not fit its type. Names and counts are bounded by
        // `Config::validate` and the payload limit.
        self.write_to_vec_with_ctx(LittleEndian::default()).unwrap_or_default()
    }

    /// Decodes a datagram payload.
    ///
    /// # Errors
    /// Returns an error if the payload is not a valid message of this protocol version.
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

    /// Returns the size of the encoded payload, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        encoded_bytes(self)
    }
}

impl Update {
    /// Creates an update that claims a member is alive.
    pub fn alive(info: &MemberInfo, incarnation: Incarnation) -> Self {
        let state = ClaimedState::Alive {
            zone: info.zone.clone(),
            address: info.address.into(),
            attributes: info.attributes,
        };
        Self { node: info.node.clone(), incarnation, state }
    }

    /// Creates an update from a claim about a member.
    pub(crate) fn from_claim(info: &MemberInfo, claim: MemberClaim) -> Self {
        let state = match claim.state {
            MemberState::Alive => return Self::alive(info, claim.incarnation),
            MemberState::Suspect => ClaimedState::Suspect,
            MemberState::Failed => ClaimedState::Failed,
            MemberState::Left => ClaimedState::Left,
        };
        Self { node: info.node.clone(), incarnation: claim.incarnation, state }
    }

    /// Returns the claim of the update.
    pub fn claim(&self) -> MemberClaim {
        let state = match self.state {
            ClaimedState::Alive { .. } => MemberState::Alive,
            ClaimedState::Suspect => MemberState::Suspect,
            ClaimedState::Failed => MemberState::Failed,
            ClaimedState::Left => MemberState::Left,
        };
        MemberClaim { incarnation: self.incarnation, state }
    }

    /// Returns the properties of the member if the update contains them.
    pub fn info(&self) -> Option<MemberInfo> {
        let ClaimedState::Alive { zone, address, attributes } = &self.state else { return None };
        Some(MemberInfo {
            node: self.node.clone(),
            zone: zone.clone(),
            address: (*address).into(),
            attributes: *attributes,
        })
    }

    /// Returns the encoded size of the update, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        encoded_bytes(self)
    }
}

fn encoded_bytes<T: Writable<LittleEndian>>(value: &T) -> usize {
    value.bytes_needed().unwrap_or(usize::MAX)
}
