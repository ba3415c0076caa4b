//! Requests to a store replica.

use speedy::{Readable, Writable};

/// A request to a store replica.
#[derive(Clone, Debug, Readable, Writable)]
pub enum StoreRequest {
    /// Asks whether the node keeps a store.
    Probe,
}

/// Its answer.
#[derive(Clone, Debug, Readable, Writable)]
pub enum StoreResponse {
    /// The node keeps a store.
    Ready,
    /// The node has no store role.
    NotAStore,
}
