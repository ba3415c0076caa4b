//! What nodes say to each other about the documents that every node holds.
//!
//! Carries the messages of `core::configuration::dissemination`, which owns what they mean.

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::identity::NodeId;
use speedy::{Readable, Writable};

/// A document that every node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum DocumentName {
    /// The settings tree.
    Configuration,
    /// The machines, as the platform's list gives them.
    Directory,
}

impl DocumentName {
    /// Every document.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Directory];

    /// The name under which its revision rides on the heartbeats.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Directory => "directory",
        }
    }
}

/// A message about a document.
#[derive(Clone, Debug, Readable, Writable)]
pub struct ConfigurationRequest {
    /// Which document.
    pub document: DocumentName,
    /// The sender.
    pub from: NodeId,
    /// What it says.
    pub message: Message,
}

/// What the receiver has to say to the sender at once.
#[derive(Clone, Debug, Default, Readable, Writable)]
pub struct ConfigurationResponse {
    /// Its messages, in order.
    pub replies: Vec<Message>,
}
