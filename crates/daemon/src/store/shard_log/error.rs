//! Why a shard's log could not be used.

use lichenpulley_core::identity::{Epoch, ShardId};

/// Why the log could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ShardLogError {
    /// Another owner holds a higher epoch: stop acting for this shard.
    #[error("shard {shard} is held under the higher epoch {highest}; stop acting for it")]
    Superseded {
        /// The shard.
        shard: ShardId,
        /// The highest epoch seen.
        highest: Epoch,
    },
    /// Fewer than a majority of the store replicas answered; the record may or may not be kept.
    #[error(
        "shard {shard}: {answered} of {replicas} store replicas answered; restore a majority and try again"
    )]
    NoMajority {
        /// The shard.
        shard: ShardId,
        /// How many answered.
        answered: usize,
        /// How many there are.
        replicas: usize,
    },
    /// The store replicas have no room; what they have is kept.
    #[error("shard {shard}: the store disks are full; free space under the data folder and try again")]
    DiskFull {
        /// The shard.
        shard: ShardId,
    },
}
