//! Brings each revision of a document from the platform to every node.
//!
//! A few nodes read the platform: two in each region, chosen by rendezvous over the live members. A revision that
//! one of them reads, or that a node has written itself, is first offered to a small quorum set and put in force
//! once a majority of it holds it. A node that has put it in force tells a few random members at once, and its
//! number rides on the membership's heartbeats; whoever is behind pulls the changes from a member that has them.
//!
//! A node that starts with nothing asks the quorum set before it puts anything in force, so that it does not fall
//! back to a revision lower than the one it had before it was restarted, also while the platform is down.

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

/// How a document is spread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Nodes in each region that read the platform.
    pub readers_per_region: usize,
    /// Members of the quorum set; a majority of them holds a revision before it is put in force.
    pub quorum_size: usize,
    /// A node begins to read the platform once it has been among the readers for this time, so that a view that
    /// is still filling up makes no crowd of readers.
    pub settle: Duration,
    /// A message without an answer is sent again after this.
    pub retry: Duration,
    /// A member that holds an offered revision takes over gathering its majority after this, where the node that
    /// offered it has not finished.
    pub takeover: Duration,
    /// A starting node that the quorum set has not answered within this time reads the platform once itself.
    pub bootstrap_timeout: Duration,
    /// Members that have been gone for this time are taken to be gone for good.
    pub member_memory: Duration,
    /// Members that a node tells at once when it has put a revision in force, besides the heartbeats.
    pub fanout: usize,
    /// Mechanisms switched off. Only for proofs that need them.
    pub ablation: Ablation,
}

impl Default for Config {
    /// All chosen, not measured; what a wrong value costs stands beside each.
    fn default() -> Self {
        Self {
            // One leaves a region without a reader while it is replaced; each more costs the platform a watch.
            readers_per_region: 2,
            // Tolerates the loss of two; fewer stop changes sooner, more make each change wait for more answers.
            quorum_size: 5,
            // Shorter makes a crowd of readers at the start of a cluster, longer delays the first read.
            settle: Duration::from_secs(1),
            // Shorter repeats messages to nodes that are only slow, longer delays a change whose message was lost.
            retry: Duration::from_millis(300),
            // Shorter has two nodes gather for one revision, longer delays a change whose reader is gone.
            takeover: Duration::from_secs(2),
            // Shorter has starting nodes read the platform although peers would answer, longer delays the start.
            bootstrap_timeout: Duration::from_secs(5),
            // Shorter counts a quorum without members that come back, longer waits for some that do not.
            member_memory: Duration::from_secs(600),
            // Fewer leaves more nodes to the slower heartbeats, more costs messages for each change.
            fanout: 3,
            ablation: Ablation::default(),
        }
    }
}

/// Mechanisms that a proof switches off to show that it would find their absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ablation {
    /// Takes in whatever arrives, also a lower revision.
    pub without_monotone_guard: bool,
    /// Puts a revision in force as soon as it arrives, and starts without asking the quorum set.
    pub without_quorum: bool,
}

/// What nodes say to each other about one document.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Message {
    /// A starting node asks a member of the quorum set what it holds.
    Query,
    /// What the sender holds, in force or not yet.
    Holds {
        /// The highest revision; `None` where it holds nothing.
        revision: Option<Revision>,
        /// Whether the sender has a revision in force, so that its word counts for a starting node.
        settled: bool,
    },
    /// The sender holds a revision that is not in force yet and asks the receiver to hold it too.
    Offer {
        /// The revision.
        revision: Revision,
    },
    /// The revision is in force on the sender.
    Announce {
        /// The revision.
        revision: Revision,
    },
    /// Asks for what follows a revision.
    Pull {
        /// The revision that the asker holds; `None` where it holds nothing or wants the whole document.
        after: Option<Revision>,
        /// Whether a revision that is not in force yet is wanted too.
        offered: bool,
    },
    /// Answers a pull of an asker that is behind.
    Update {
        /// What brings it up to date.
        update: Update,
        /// Whether the revision is in force on the sender.
        in_force: bool,
    },
}
