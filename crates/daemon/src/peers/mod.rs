//! Connections to other nodes, opened when first used and closed when idle.
//!
//! Owns one connection for each address and closes idle ones. An error says whether the call may have run.

mod connection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use lichenpulley_core::identity::ShardId;
use lichenpulley_protocol::internal::{
    BatchRequest, BatchResponse, ConfigurationRequest, ConfigurationResponse, CoordinatorRequest,
    CoordinatorResponse, HoldEnd, KeepReport, KeepResponse, MetadataRequest, MetadataResponse, StoreRequest,
    StoreResponse,
};
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::settings::PeerSettings;
use connection::Connection;

/// Why a call to a peer gave no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// Nothing of the request was written.
    #[error("peer {address}: nothing was sent: {reason}; ask another node, or come back")]
    NotSent {
        /// The peer.
        address: SocketAddr,
        /// What stood in the way.
        reason: String,
    },
    /// The request may have arrived and may have taken effect.
    #[error("peer {address}: no answer: {reason}; ask again what became of it")]
    NoAnswer {
        /// The peer.
        address: SocketAddr,
        /// What broke.
        reason: String,
    },
}

impl PeerError {
    /// Whether it is proved that no byte of the request was written.
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// Connections by peer address. Cheap to clone; usable from any runtime.
///
/// Connections are driven by the control runtime. Callers on traffic threads look the connection up in a
/// snapshot and hand the request over a channel, so that no lock is shared with control.
#[derive(Clone)]
pub struct PeerClients {
    shared: Arc<Shared>,
}

struct Shared {
    runtime: Handle,
    settings: PeerSettings,
    connections: ArcSwap<HashMap<SocketAddr, Arc<Connection>>>,
}

impl PeerClients {
    /// No connections yet; they will be driven by `runtime`.
    pub fn new(runtime: Handle, settings: PeerSettings) -> Self {
        let shared = Arc::new(Shared { runtime, settings, connections: ArcSwap::default() });
        shared.runtime.spawn(close_idle_connections(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Asks a node with the store role.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub async fn store(
        &self,
        address: SocketAddr,
        request: StoreRequest,
        deadline: Duration,
    ) -> Result<StoreResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().store(call.context(), request)).await
    }

    /// Asks the owner of a shard.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub async fn coordinator(
        &self,
        address: SocketAddr,
        request: CoordinatorRequest,
        deadline: Duration,
    ) -> Result<CoordinatorResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().coordinator(call.context(), request)).await
    }

    /// Asks for a revision of the documents that every node holds.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub async fn configuration(
        &self,
        address: SocketAddr,
        request: ConfigurationRequest,
        deadline: Duration,
    ) -> Result<ConfigurationResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().configuration(call.context(), request)).await
    }

    /// Asks the owner of the batch jobs.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub async fn batch(
        &self,
        address: SocketAddr,
        request: BatchRequest,
        deadline: Duration,
    ) -> Result<BatchResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().batch(call.context(), request)).await
    }

    /// Asks the owner of a shard of batch jobs that is bound to some regions.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub(crate) async fn regional_batch(
        &self,
        address: SocketAddr,
        shard: ShardId,
        request: BatchRequest,
        deadline: Duration,
    ) -> Result<BatchResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().regional_batch(call.context(), shard, request)).await
    }

    /// Asks for a copy of the platform's metadata.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub async fn metadata(
        &self,
        address: SocketAddr,
        request: MetadataRequest,
        deadline: Duration,
    ) -> Result<MetadataResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().metadata(call.context(), request)).await
    }

    /// Asks a node to keep a report in the platform's store.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub(crate) async fn keep_report(
        &self,
        address: SocketAddr,
        request: KeepReport,
        deadline: Duration,
    ) -> Result<KeepResponse, PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().keep_report(call.context(), request)).await
    }

    /// Asks a node to bring the end of a batch job to its owner.
    ///
    /// # Errors
    /// When no answer comes within `deadline`.
    pub(crate) async fn hold_end(
        &self,
        address: SocketAddr,
        request: HoldEnd,
        deadline: Duration,
    ) -> Result<(), PeerError> {
        let limit = Instant::now() + deadline;
        let call = self.connection(address).begin(limit).await?;
        call.finish(call.client().hold_end(call.context(), request)).await
    }

    /// How many peers have an open connection.
    pub fn open_connections(&self) -> usize {
        let connections = self.shared.connections.load();
        connections.values().filter(|connection| connection.is_open()).count()
    }

    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        if let Some(connection) = self.shared.connections.load().get(&address) {
            return Arc::clone(connection);
        }
        let fresh =
            Arc::new(Connection::new(address, self.shared.runtime.clone(), self.shared.settings.clone()));
        // Another thread may have been first: the one that is in the map is used.
        self.shared.connections.rcu(|connections| {
            let mut connections = HashMap::clone(connections);
            connections.entry(address).or_insert_with(|| Arc::clone(&fresh));
            connections
        });
        let connections = self.shared.connections.load();
        connections.get(&address).map_or(fresh, Arc::clone)
    }
}

/// Closes connections that nobody used for a while, so that many nodes don't keep all-to-all connections.
async fn close_idle_connections(shared: std::sync::Weak<Shared>) {
    loop {
        let Some(idle) = shared.upgrade().map(|shared| shared.settings.idle) else { return };
        tokio::time::sleep(idle / 2).await;
        let Some(shared) = shared.upgrade() else { return };
        let forgotten = |connection: &Arc<Connection>| connection.close_if_idle();
        let idle_peers: Vec<SocketAddr> = {
            let connections = shared.connections.load();
            connections
                .iter()
                .filter(|(_, connection)| forgotten(connection))
                .map(|(peer, _)| *peer)
                .collect()
        };
        if idle_peers.is_empty() {
            continue;
        }
        shared.connections.rcu(|connections| {
            let mut connections = HashMap::clone(connections);
            connections.retain(|peer, _| !idle_peers.contains(peer));
            connections
        });
    }
}
