//! The settings tree as the other parts of a node read it.
//!
//! Replaced as a whole when a revision is put in force; readers take no lock.

use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::configuration::path::LevelPath;
use lichenpulley_core::configuration::schema::{BooleanSetting, IntegerSetting};
use lichenpulley_core::configuration::tree::SettingsTree;
use lichenpulley_core::identity::{PoolName, Revision};

/// The settings tree in force on this node. Replaced as a whole, never changed in place.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// Its revision; never goes back.
    pub revision: Revision,
    /// Whether the node knows what is in force. Before that, defaults are given, and the node is not ready.
    pub known: bool,
    /// The tree.
    pub tree: SettingsTree,
}

impl ConfigurationView {
    /// The view of a document that is in force.
    pub fn new(document: &Document) -> Self {
        Self { revision: document.revision(), known: true, tree: SettingsTree::from_document(document) }
    }

    /// The whole number in force for a pool.
    pub fn for_pool(&self, pool: &PoolName, setting: &'static IntegerSetting) -> u64 {
        self.tree.integer(&self.tree.pool_path(pool), setting)
    }

    /// The whole number in force at a level.
    pub fn integer(&self, path: &LevelPath, setting: &'static IntegerSetting) -> u64 {
        self.tree.integer(path, setting)
    }

    /// Whether a setting is on at a level.
    pub(crate) fn boolean(&self, path: &LevelPath, setting: &'static BooleanSetting) -> bool {
        self.tree.boolean(path, setting)
    }
}
