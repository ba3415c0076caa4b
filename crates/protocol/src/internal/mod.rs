//! Requests between our own processes. One `tarpc` service, one request type for each part.
//!
//! Owns the wire format between nodes of one release and the next: order and form of fields and variants stay, new ones go at the
//! end.

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
    KeepReport, KeepResponse, MetadataCopy, MetadataKind, MetadataRequest, MetadataResponse, MetadataUpdate,
};
pub use store::{StoreRequest, StoreResponse};

/// What every node answers to its peers.
#[tarpc::service(derive = [Clone, speedy::Readable, speedy::Writable])]
pub trait Peer {
    /// Epochs, logs and claims, answered by nodes with the store role.
    async fn store(request: StoreRequest) -> StoreResponse;
    /// Job and weight control, answered by the owner of the shard.
    async fn coordinator(request: CoordinatorRequest) -> CoordinatorResponse;
    /// Revisions of the configuration and of the replica directory, answered by every node.
    async fn configuration(request: ConfigurationRequest) -> ConfigurationResponse;
    /// Batch jobs, answered by their owner.
    async fn batch(request: BatchRequest) -> BatchResponse;
    /// The platform's metadata as this node knows it, answered by every node.
    async fn metadata(request: MetadataRequest) -> MetadataResponse;
    /// Batch jobs of a shard that is bound to some regions, answered by its owner.
    async fn regional_batch(shard: ShardId, request: BatchRequest) -> BatchResponse;
    /// A report for the platform's store, for a node that can't reach it; answered by every node.
    async fn keep_report(request: KeepReport) -> KeepResponse;
    /// The end of a batch job, for a node that may be lost before the owner keeps it; answered by every node.
    async fn hold_end(request: HoldEnd);
}
