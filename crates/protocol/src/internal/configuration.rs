//! Requests for revisions of the documents that every node holds.

use lichenpulley_core::identity::Revision;
use speedy::{Readable, Writable};

/// A request about the configuration or the replica directory.
#[derive(Clone, Debug, Readable, Writable)]
pub enum ConfigurationRequest {
    /// Asks for what follows a revision of a document.
    Pull {
        /// Which document, such as `configuration` or `directory`.
        document: String,
        /// The revision that the asker holds; 0 where it holds none.
        after: Revision,
    },
}

/// Its answer.
#[derive(Clone, Debug, Readable, Writable)]
pub enum ConfigurationResponse {
    /// The asker is not behind.
    Current,
    /// A whole document as JSON, for an asker too far behind.
    Snapshot {
        /// Its revision.
        revision: Revision,
        /// Its JSON body.
        body: Vec<u8>,
    },
}
