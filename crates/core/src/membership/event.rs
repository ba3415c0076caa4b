//! What the protocol tells its embedder.
//!
//! Events carry what a decision in the log names; counters become metrics.

use std::time::Duration;

use super::member::Incarnation;
use crate::identity::{NodeId, Revision};

/// Something that happened to a member, with why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The member.
    pub node: NodeId,
    /// The incarnation it is about.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: EventKind,
    /// Why.
    pub cause: Cause,
    /// How long it took to find out, where that is known: since the suspicion for a failure or refutation.
    pub after: Option<Duration>,
    /// Live members, this node included, once it had happened.
    pub live_members: usize,
}

/// What happened to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EventKind {
    /// A member that was not known joined.
    Joined,
    /// A member that had failed or left is back.
    Rejoined,
    /// A live member came with a new address or new attributes.
    Changed,
    /// It is suspected.
    Suspected,
    /// It refuted the suspicion; for this node itself, what was claimed about it.
    Refuted,
    /// It is declared failed.
    Failed,
    /// It left.
    Left,
}

/// Why it happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A message of the member itself said so.
    SelfReported,
    /// Other members said so.
    Gossip,
    /// It was in the list that this node got when it joined.
    JoinList,
    /// It answered neither this node's probe nor those of the members that this node asked.
    ProbeUnanswered,
    /// It did not refute the suspicion in time.
    SuspicionExpired,
    /// Another process claims this node's id with a later incarnation: an earlier run with a clock ahead, or a
    /// second node with the same id.
    DuplicateId,
}

impl EventKind {
    /// The word in the decision stream.
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
    /// The word in the decision stream.
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

/// The highest revision of a document that was heard, and who holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedRevision {
    /// The revision.
    pub revision: Revision,
    /// A member that said it holds it.
    pub holder: NodeId,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Their payload bytes.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Their payload bytes.
    pub bytes_received: u64,
    /// Datagrams dropped because they could not be decoded.
    pub undecodable: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that nothing answered.
    pub probes_unanswered: u64,
    /// Suspicions that this node raised itself.
    pub suspicions_raised: u64,
    /// Members that this node declared failed itself.
    pub failures_declared: u64,
    /// Microseconds of own stall that were credited to others.
    pub stall_credit_us: u64,
}
