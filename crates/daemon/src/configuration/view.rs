//! Read-only view of the settings tree for the other parts of a node.
//!
//! The view is replaced as a whole when a revision is put in force; readers take no lock.

use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::configuration::path::LevelPath;
use lichenpulley_core::configuration::schema::{BooleanSetting, IntegerSetting};
use lichenpulley_core::configuration::tree::SettingsTree;
use lichenpulley_core::identity::{PoolName, Revision};

/// The settings tree in force on this node.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// Revision of the tree; never decreases.
    pub revision: Revision,
    /// Whether the node knows the tree in force. Until then all settings have their defaults and the node is
    /// not ready.
    pub known: bool,
    /// The settings.
    pub tree: SettingsTree,
}

impl ConfigurationView {
    /// Creates the view of a document that is in force.
    pub fn new(document: &Document) -> Self {
        Self { revision: document.revision(), known: true, tree: SettingsTree::from_document(document) }
    }

    /// Returns the value of an integer setting for a pool.
    pub fn for_pool(&self, pool: &PoolName, setting: &'static IntegerSetting) -> u64 {
        self.tree.integer(&self.tree.pool_path(pool), setting)
    }

    /// Returns the value of an integer setting at a level.
    pub fn integer(&self, path: &LevelPath, setting: &'static IntegerSetting) -> u64 {
        self.tree.integer(path, setting)
    }

    /// Returns the value of a boolean setting at a level.
    pub(crate) fn boolean(&self, path: &LevelPath, setting: &'static BooleanSetting) -> bool {
        self.tree.boolean(path, setting)
    }
}
