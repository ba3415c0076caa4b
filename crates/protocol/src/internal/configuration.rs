//! Requests that disseminate the documents replicated on every node.
//!
//! The messages are defined in `core::configuration::dissemination`.

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::identity::NodeId;
use speedy::{Readable, Writable};

/// A document that is replicated on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum DocumentName {
    /// The settings tree.
    Configuration,
    /// The platform's list of machines.
    Directory,
}

impl DocumentName {
    /// All documents.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Directory];

    /// Returns the key of the document's revision in heartbeats.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Directory => "directory",
        }
    }
}

/// A dissemination message for a document.
#[derive(Clone, Debug, Readable, Writable)]
pub struct ConfigurationRequest {
    /// The document that the message concerns.
    pub document: DocumentName,
    /// The sending node.
    pub from: NodeId,
    /// The dissemination message.
    pub message: Message,
}

/// The receiver's immediate response.
#[derive(Clone, Debug, Default, Readable, Writable)]
pub struct ConfigurationResponse {
    /// The reply messages, in order.
    pub replies: Vec<Message>,
}
