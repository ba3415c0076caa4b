//! Reads the platform where this node is one of its few readers, pulls from peers elsewhere, and publishes the
//! configuration and the replica directory.

pub mod platform;

use lichenpulley_core::identity::Revision;

/// The settings tree in force on this node.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// Its revision; never goes back.
    pub revision: Revision,
}
