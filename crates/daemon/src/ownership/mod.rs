//! Where a shard of batch jobs may stand, and who may come to own it.
//!
//! Owns nothing: it reads the members, the settings and the replica sets in the context. The batch jobs choose an owner
//! by it, and the watchers of the platform's metadata choose those that read for others.

pub(crate) mod order;
pub(crate) mod scope;
