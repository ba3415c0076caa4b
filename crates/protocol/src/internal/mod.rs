//! Requests between our own processes. One `tarpc` service, one request type for each part.

pub mod configuration;
pub mod coordinator;
pub mod store;

pub use configuration::{ConfigurationRequest, ConfigurationResponse, DocumentName};
pub use coordinator::{CoordinatorRequest, CoordinatorResponse};
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
}
