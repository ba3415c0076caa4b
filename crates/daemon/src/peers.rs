//! Connections to other nodes, opened when first used.

/// Connections by peer address.
#[derive(Clone, Default)]
pub struct PeerClients {}
