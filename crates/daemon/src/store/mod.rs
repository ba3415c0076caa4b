//! Keeps replicas of logs and claims on disk, and gives owners a log kept by a majority.

pub mod claims;
pub mod shard_log;
