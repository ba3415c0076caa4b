//! The settings tree: what may be set, what is in force, and how a change reaches every node (brief point 9).
//!
//! [`tree`] answers which value holds at a level and where it comes from, [`schema`] which values may be written.
//! [`document`] is a keyed document with revisions and deltas; the configuration is one, the directory of machines
//! another. [`register`] is the configuration as the object API keeps it, and [`writer`] settles one change of it
//! even when replies are lost. [`dissemination`] brings each revision to every node.

pub mod dissemination;
pub mod document;
pub mod path;
pub mod register;
pub mod schema;
pub mod tree;
pub mod writer;
