//! Errors of looking up a replica set.

use std::time::Duration;

use lichenpulley_core::replication::placement::TooFewStores;

use crate::configuration::platform::{PlatformError, WriteError};

/// Error of looking up or choosing a replica set.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaSetError {
    /// No store knows the shard, and no object API is configured.
    #[error("no store knows the shard and no object API is configured; set platform.object_api")]
    NoObjectApi,
    /// No store knows the shard, and the object API did not answer.
    #[error("no store knows the shard: {0}")]
    Platform(#[from] PlatformError),
    /// The document was not written, or the result of the write is unknown.
    #[error("writing the replica set document: {0}")]
    Write(#[from] WriteError),
    /// The object does not contain a replica set.
    #[error("the object {key} is not a replica set: {source}; correct or delete it")]
    Unreadable {
        /// The object's key.
        key: String,
        /// Parse error.
        source: serde_json::Error,
    },
    /// The document was written but can't be read back.
    #[error("the first replica set was written but can't be read back; the write is repeated")]
    WriteLost,
    /// Fewer stores are live than the smallest set needs.
    #[error("{0}, or lower store.tolerated_losses")]
    TooFewStores(#[from] TooFewStores),
    /// Fewer stores are live than a set should have, and more may appear.
    #[error(
        "{live} stores answer and {wanted} are wanted; a smaller set is created once no new store has appeared \
         for {small_set_after:?} (store.small_set_after_ms)"
    )]
    WaitingForStores {
        /// Number of live stores.
        live: usize,
        /// Configured number of members.
        wanted: usize,
        /// Time without a new store after which a smaller set is created.
        small_set_after: Duration,
    },
}
