//! The `tarpc` service between nodes, with one request type for each subsystem.
//!
//! Nodes of successive releases exchange these messages: the order and types of fields and variants must not change,
//! and new ones are added at the end.

pub mod batch;
pub mod configuration;
pub mod coordinator;
pub mod metadata;
pub mod store;

pub use batch::{BatchRequest, BatchResponse, HoldEnd, ListedResult};
pub use configuration::{ConfigurationRequest, ConfigurationResponse, DocumentName};
pub use coordinator::{CoordinatorRequest, CoordinatorResponse};
use lichenpulley_core::identity::ShardId;
pub use metadata::{
    KeepReport, KeepResponse, MetadataKind, MetadataRequest, MetadataResponse, MetadataUpdate,
    ReplicaSubsetRequest, ReplicaSubsetResponse,
};
pub use store::{StoreRequest, StoreResponse};

/// The requests that a node serves to its peers.
#[tarpc::service(derive = [Clone, speedy::Readable, speedy::Writable])]
pub trait Peer {
    /// Accesses epochs, logs and claims; served by nodes with the store role.
    async fn store(request: StoreRequest) -> StoreResponse;
    /// Controls rollout jobs and weights; served by the owner of the shard.
    async fn coordinator(request: CoordinatorRequest) -> CoordinatorResponse;
    /// Exchanges revisions of the configuration and of the machine directory; served by every node.
    async fn configuration(request: ConfigurationRequest) -> ConfigurationResponse;
    /// Submits, reads and ends batch jobs; served by their owner.
    async fn batch(request: BatchRequest) -> BatchResponse;
    /// Reads this node's copy of the platform's metadata; served by every node.
    async fn metadata(request: MetadataRequest) -> MetadataResponse;
    /// Like `batch`, for a shard restricted to certain regions; served by the shard's owner.
    async fn regional_batch(shard: ShardId, request: BatchRequest) -> BatchResponse;
    /// Writes a report to the platform's store for a node that can't reach it; served by every node.
    async fn keep_report(request: KeepReport) -> KeepResponse;
    /// Holds the end of a batch job until the owner has committed it, in case the sender fails; served by every node.
    async fn hold_end(request: HoldEnd);
    /// Reads the replicas that one gateway uses from this node's copy; served by nodes that hold all replicas.
    async fn replica_subset(request: ReplicaSubsetRequest) -> ReplicaSubsetResponse;
    /// Reads the ends of batch jobs that this node holds; served by every node.
    async fn pending_ends() -> Vec<HoldEnd>;
}
