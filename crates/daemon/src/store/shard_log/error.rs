//! Errors of a shard's log.

use lichenpulley_core::identity::{Epoch, ShardId};

/// Error of an operation on a shard's log.
#[derive(Debug, thiserror::Error)]
pub enum ShardLogError {
    /// Another owner has a higher epoch. The caller must stop acting as the owner.
    #[error("shard {shard} is owned under the higher epoch {highest}; stop acting as its owner")]
    Superseded {
        /// The shard.
        shard: ShardId,
        /// The highest epoch seen.
        highest: Epoch,
    },
    /// Fewer than a majority of the store replicas answered; the records may or may not be committed.
    #[error(
        "shard {shard}: {answered} of {replicas} store replicas answered; restore a majority and try again"
    )]
    NoMajority {
        /// The shard.
        shard: ShardId,
        /// Number of replicas that answered.
        answered: usize,
        /// Number of replicas in the set.
        replicas: usize,
    },
    /// The disks of the store replicas are full; committed records remain.
    #[error("shard {shard}: the store disks are full; free space under the data folder and try again")]
    DiskFull {
        /// The shard.
        shard: ShardId,
    },
}
