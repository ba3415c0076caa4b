//! Replicated logs and write-once claims, kept by a majority of store replicas and fenced by epochs.
//!
//! A shard's log is multi-decree Paxos (Lamport, "Paxos Made Simple", 2001) with a single proposer, the
//! shard's owner: phase 1 raises the epoch at a majority ([`proposer`], [`acceptor`]), phase 2 appends. An
//! entry is decided, that is, committed, once a majority has it on disk. Claims ([`claims`]) are write-once
//! registers by majority vote. The store replicas of a shard form a versioned [`replica_set`], changed one
//! member at a time by a [`reconfigurer`].
//!
//! The example uses one replica. It promises an epoch to one owner at a time and refuses the requests of an
//! owner that was superseded, however late they arrive.
//!
//! ```
//! use lichenpulley_core::identity::{Epoch, ShardId};
//! use lichenpulley_core::replication::acceptor::Acceptor;
//! use lichenpulley_core::replication::ballot::{Ballot, ProposerId};
//! use lichenpulley_core::replication::claims::ClaimWindow;
//! use lichenpulley_core::replication::entry::{LogIndex, Payload};
//! use lichenpulley_core::replication::memory_storage::MemoryStorage;
//! use lichenpulley_core::replication::message::{Accept, Operation, ReplicaAnswer, StoreRefusal, ReplicaRequest};
//! use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
//!
//! let shard = ShardId::new("job/pricing");
//! let store = StoreId::new("disk-1");
//! let member = SetMember {
//!     store: store.clone(),
//!     node: "node-1".into(),
//!     zone: "kajang".into(),
//!     address: "10.0.0.1:7002".to_owned(),
//! };
//! let set = ReplicaSet { shard: shard.clone(), generation: Generation::FIRST, members: vec![member] };
//!
//! let acceptor = Acceptor::new(store.clone(), ClaimWindow::default());
//! let mut disk = MemoryStorage::default();
//! let mut ask = |operation| {
//!     let request = ReplicaRequest {
//!         shard: shard.clone(),
//!         generation: Generation::FIRST,
//!         store: store.clone(),
//!         operation,
//!     };
//!     let Ok(response) = acceptor.answer(&mut disk, 0, request);
//!     response.outcome
//! };
//! let ballot = |epoch, owner: &str| Ballot { epoch: Epoch(epoch), proposer: ProposerId::new(owner) };
//! let append = |ballot| {
//!     Operation::Accept(Accept {
//!         ballot,
//!         from: LogIndex::FIRST,
//!         payloads: vec![Payload::Record { origin: Epoch(1), bytes: b"slot 0.1.2".to_vec() }],
//!         decided_through: LogIndex::ZERO,
//!         truncate_before: LogIndex::FIRST,
//!     })
//! };
//!
//! assert_eq!(ask(Operation::Begin(set)), ReplicaAnswer::Begun);
//! assert!(matches!(ask(Operation::Prepare(ballot(1, "first"))), ReplicaAnswer::Promised { .. }));
//! assert!(matches!(ask(Operation::Prepare(ballot(2, "second"))), ReplicaAnswer::Promised { .. }));
//!
//! // A late request of the first owner, which does not know yet that it was superseded.
//! let promised = ballot(2, "second");
//! assert_eq!(ask(append(ballot(1, "first"))), ReplicaAnswer::Refused(StoreRefusal::HigherBallot { promised }));
//! assert!(matches!(ask(append(ballot(2, "second"))), ReplicaAnswer::Accepted { .. }));
//! ```

pub mod acceptor;
pub mod ballot;
pub mod claim_tally;
pub mod claims;
pub mod compaction;
mod copy_target;
pub mod entry;
pub mod fault_tolerance;
pub mod group;
pub mod log;
mod member_progress;
pub mod member_replacement;
pub mod memory_storage;
pub mod message;
pub mod placement;
pub mod proposer;
pub mod quorum;
pub mod reconfigurer;
mod recovery;
pub mod replica_set;
mod snapshot_parts;
pub mod storage;
mod transfer;
mod window;
pub mod write_times;
