//! Events and counters that the protocol reports to its embedder.
//!
//! Events are recorded in the decision log; counters are exported as metrics.

use std::time::Duration;

use super::member::Incarnation;
use crate::identity::{NodeId, Revision};

/// A change in a member's state, with its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The member.
    pub node: NodeId,
    /// The incarnation that the event refers to.
    pub incarnation: Incarnation,
    /// Kind of change.
    pub kind: EventKind,
    /// Cause of the change.
    pub cause: Cause,
    /// Time spent in the previous state: since the suspicion for a failure or refutation, since the failure or
    /// departure for a rejoin; `None` otherwise.
    pub after: Option<Duration>,
    /// Number of live members after the change, including this node.
    pub live_members: usize,
}

/// The kind of a member event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EventKind {
    /// A previously unknown member joined.
    Joined,
    /// A member that had failed or left is live again.
    Rejoined,
    /// The address or attributes of a live member changed.
    Changed,
    /// The member is suspected of having failed.
    Suspected,
    /// The member refuted a suspicion. For the local node: it refuted a claim about itself.
    Refuted,
    /// The member was declared failed.
    Failed,
    /// The member left the cluster.
    Left,
}

/// The cause of a member event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A message from the member itself.
    SelfReported,
    /// An update from another member.
    Gossip,
    /// The member list that this node received when joining.
    JoinList,
    /// The member did not answer direct or indirect probes.
    ProbeUnanswered,
    /// The member did not refute the suspicion in time.
    SuspicionExpired,
    /// Another process uses this node's id with a higher incarnation: a previous run whose clock was ahead, or a
    /// second node with the same id.
    DuplicateId,
}

impl EventKind {
    /// Returns the name used in the decision log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Rejoined => "rejoined",
            Self::Changed => "changed",
            Self::Suspected => "suspected",
            Self::Refuted => "refuted",
            Self::Failed => "failed",
            Self::Left => "left",
        }
    }
}

impl Cause {
    /// Returns the name used in the decision log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SelfReported => "said_itself",
            Self::Gossip => "heard_from_members",
            Self::JoinList => "listed_at_join",
            Self::ProbeUnanswered => "probe_unanswered",
            Self::SuspicionExpired => "suspicion_expired",
            Self::DuplicateId => "id_in_use_elsewhere",
        }
    }
}

/// The highest announced revision of a document and a member that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedRevision {
    /// The revision.
    pub revision: Revision,
    /// A member that announced it.
    pub holder: NodeId,
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Payload bytes sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Payload bytes received.
    pub bytes_received: u64,
    /// Datagrams dropped because they could not be decoded.
    pub undecodable: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that ended without a direct or indirect answer.
    pub probes_unanswered: u64,
    /// Suspicions raised by this node.
    pub suspicions_raised: u64,
    /// Members declared failed by this node.
    pub failures_declared: u64,
    /// Time that this node was stalled and that was added to its deadlines for other members, in microseconds.
    pub stall_credit_us: u64,
}
