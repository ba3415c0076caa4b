//! Selects the nodes that may own a shard of batch jobs or store its log.
//!
//! It only reads the members, settings and replica sets in the context. Batch jobs use it to elect an owner,
//! and the watchers of the platform's metadata to choose the nodes that read for others.

pub(crate) mod order;
pub(crate) mod scope;
