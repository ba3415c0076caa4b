//! Hierarchical settings, their storage and their dissemination to every node.
//!
//! - [`schema`] defines the settings and validates values.
//! - [`path`] defines the levels at which settings can be set, and [`tree`] resolves the effective value at a
//!   level.
//! - [`document`] is a versioned key-value document with incremental updates. The configuration and the
//!   directory of machines are stored as documents.
//! - [`register`] is the configuration as stored in the object API, and [`writer`] applies one change to it
//!   exactly once, even if replies are lost.
//! - [`dissemination`] distributes each revision of a document to every node.

pub mod dissemination;
pub mod document;
pub mod path;
pub mod register;
pub mod schema;
pub mod tree;
pub mod writer;
