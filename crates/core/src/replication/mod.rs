//! Epochs, fencing, and logs and write-once claims kept by a majority of store replicas.
//!
//! A shard's log is multi-decree Paxos (Lamport, "Paxos Made Simple", 2001) with a single proposer, the shard's
//! owner: phase 1 raises the epoch at a majority ([`proposer`], [`acceptor`]), phase 2 appends. Claims
//! ([`claims`]) are write-once registers by majority vote. The store replicas of a shard form a versioned
//! [`replica_set`], changed one member at a time by a [`reconfigurer`].

pub mod acceptor;
pub mod ballot;
pub mod claim_tally;
pub mod claims;
mod copy_target;
pub mod entry;
pub mod group;
pub mod log;
mod member_progress;
pub mod memory_storage;
pub mod message;
pub mod placement;
pub mod proposer;
pub mod quorum;
pub mod reconfigurer;
mod recovery;
pub mod replica_set;
pub mod storage;
mod transfer;
mod window;
