//! A shard's log as its owner uses it: every record is on disk at a majority of the shard's store replicas
//! before `append` returns, and an owner that has been superseded can append nothing.

use lichenpulley_core::identity::{Epoch, ShardId};

use crate::context::Context;

/// What an owner finds when it takes a shard over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The last snapshot, which stands for all records before `records`.
    pub snapshot: Option<Vec<u8>>,
    /// Records after the snapshot, in order. Each may have been acknowledged; none that was is missing.
    pub records: Vec<Vec<u8>>,
}

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

/// An owner's handle on a shard's log.
pub struct ShardLog {
    shard: ShardId,
    epoch: Epoch,
}

impl ShardLog {
    /// Raises the shard's epoch at a majority of its store replicas, finishes what an earlier owner may have
    /// decided, and returns all of it. Needs no platform.
    ///
    /// # Errors
    /// When another owner is ahead or no majority answers.
    pub async fn take_over(
        _context: &Context,
        shard: &ShardId,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        Err(ShardLogError::NoMajority { shard: shard.clone(), answered: 0, replicas: 0 })
    }

    /// The epoch under which this owner acts; every order it sends carries it.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Appends records, all or none acknowledged. After an error other than `DiskFull` the owner must take the
    /// shard over again before it goes on.
    ///
    /// # Errors
    /// When superseded, without a majority, or without room.
    pub async fn append(&mut self, _records: Vec<Vec<u8>>) -> Result<(), ShardLogError> {
        Err(ShardLogError::NoMajority { shard: self.shard.clone(), answered: 0, replicas: 0 })
    }

    /// Replaces all records appended so far by a snapshot of what they amount to.
    ///
    /// # Errors
    /// As for `append`.
    pub async fn compact(&mut self, _snapshot: Vec<u8>) -> Result<(), ShardLogError> {
        Err(ShardLogError::NoMajority { shard: self.shard.clone(), answered: 0, replicas: 0 })
    }
}
