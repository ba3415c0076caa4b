//! Disseminates each revision of a document from the platform to every node.
//!
//! A few nodes per region, selected by rendezvous hashing over the live members, read the platform. A revision
//! that one of them reads, or that a node has written, is first offered to a small quorum set and put in force
//! once a majority of the set holds it. A node that puts a revision in force announces it to a random sample of
//! members and through membership messages. Nodes that are behind pull the changes from a holder.
//!
//! A starting node queries the quorum set before it puts a revision in force. It therefore never reverts to a
//! lower revision than it had before a restart, even while the platform is unavailable.

mod bootstrap;
mod disseminator;
mod duties;
mod gather;
mod placement;
mod pull;

use std::time::Duration;

use speedy::{Readable, Writable};

use super::document::Update;
use crate::identity::Revision;

pub use disseminator::{Action, Disseminator};
pub use gather::Confirmation;
pub use placement::{Peer, region_of};

/// Settings of the dissemination of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of nodes per region that read the platform.
    pub readers_per_region: usize,
    /// Size of the quorum set. A majority of it must hold a revision before the revision is put in force.
    pub quorum_size: usize,
    /// How long a node must hold a role, such as reader, before the role takes effect. Prevents too many readers
    /// while the view of the members is incomplete.
    pub settle_time: Duration,
    /// Interval at which unanswered requests are sent again.
    pub retry_interval: Duration,
    /// How long a member that holds an offered revision waits before it collects the majority itself.
    pub takeover_timeout: Duration,
    /// How long a starting node waits for the quorum set before it reads the platform once.
    pub bootstrap_timeout: Duration,
    /// How long missing members count towards the cluster size.
    pub member_retention: Duration,
    /// Number of members to which a node announces a revision directly when it puts it in force.
    pub fanout: usize,
    /// Mechanisms disabled in experiments.
    pub ablation: Ablation,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            // Keeps one reader while the other is replaced.
            readers_per_region: 2,
            // Tolerates the loss of two members.
            quorum_size: 5,
            settle_time: Duration::from_secs(1),
            retry_interval: Duration::from_millis(300),
            takeover_timeout: Duration::from_secs(2),
            bootstrap_timeout: Duration::from_secs(5),
            member_retention: Duration::from_secs(600),
            fanout: 3,
            ablation: Ablation::default(),
        }
    }
}

/// Mechanisms that simulations disable to verify that their checks detect the resulting faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ablation {
    /// Accepts any received revision, even a lower one.
    pub without_monotone_guard: bool,
    /// Puts a revision in force on receipt, and starts without querying the quorum set.
    pub without_quorum: bool,
}

/// A message between nodes about one document.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Message {
    /// Asks a member of the quorum set which revision it holds. Sent by a starting node.
    Query,
    /// Reports the highest revision that the sender holds, in force or staged.
    Holds {
        /// The revision; `None` if the sender holds none.
        revision: Option<Revision>,
        /// Whether the sender has a revision in force and sees a majority of the members, so that its answer counts
        /// for a starting node.
        authoritative: bool,
    },
    /// Asks the receiver to hold a revision that is not yet in force.
    Offer {
        /// The revision.
        revision: Revision,
    },
    /// Announces a revision that is in force on the sender.
    Announce {
        /// The revision.
        revision: Revision,
    },
    /// Requests the changes after a revision.
    Pull {
        /// The revision that the requester holds; `None` to request the whole document.
        after: Option<Revision>,
        /// Whether the answer may contain a revision that is not yet in force.
        offered: bool,
    },
    /// Answers a [`Message::Pull`] of a node that is behind.
    Update {
        /// The changes or the whole document.
        update: Update,
        /// Whether the revision is in force on the sender.
        in_force: bool,
    },
}
