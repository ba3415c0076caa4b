//! Connections to other nodes, opened on first use and closed when idle.
//!
//! There is one connection for each address. Errors tell whether the call may have been executed.

mod connection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use lichenpulley_core::identity::ShardId;
use lichenpulley_protocol::internal::{
    BatchRequest, BatchResponse, ConfigurationRequest, ConfigurationResponse, CoordinatorRequest,
    CoordinatorResponse, HoldEnd, KeepReport, KeepResponse, MetadataRequest, MetadataResponse,
    ReplicaSubsetRequest, ReplicaSubsetResponse, StoreRequest, StoreResponse,
};
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::settings::PeerSettings;
use connection::Connection;

/// Reason why a call to a peer gave no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// Nothing of the request was written.
    #[error("peer {address}: nothing was sent: {reason}; ask another node, or try again later")]
    NotSent {
        /// The peer.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The request may have arrived and may have taken effect.
    #[error("peer {address}: no answer: {reason}; check whether the request took effect before repeating it")]
    NoAnswer {
        /// The peer.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
}

impl PeerError {
    /// Returns whether certainly no byte of the request was written.
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
    /// Creates a set without connections. `runtime` will drive the connections.
    pub fn new(runtime: Handle, settings: PeerSettings) -> Self {
        let shared = Arc::new(Shared { runtime, settings, connections: ArcSwap::default() });
        shared.runtime.spawn(close_idle_connections(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Returns a set without connections, for requests that a peer of an earlier release can't decode: it closes the
    /// connection without an answer, which would leave the outcome of other calls on it unknown.
    #[must_use]
    pub fn separate(&self) -> Self {
        Self::new(self.shared.runtime.clone(), self.shared.settings.clone())
    }

    /// Sends a request to a node with the store role.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub async fn store(
        &self,
        address: SocketAddr,
        request: StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().store(call.context(), request)).await
    }

    /// Sends a request to the owner of a shard.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub async fn coordinator(
        &self,
        address: SocketAddr,
        request: CoordinatorRequest,
        timeout: Duration,
    ) -> Result<CoordinatorResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().coordinator(call.context(), request)).await
    }

    /// Sends a dissemination message for one of the documents that every node holds.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub async fn configuration(
        &self,
        address: SocketAddr,
        request: ConfigurationRequest,
        timeout: Duration,
    ) -> Result<ConfigurationResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().configuration(call.context(), request)).await
    }

    /// Sends a request to the owner of the batch jobs.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub async fn batch(
        &self,
        address: SocketAddr,
        request: BatchRequest,
        timeout: Duration,
    ) -> Result<BatchResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().batch(call.context(), request)).await
    }

    /// Sends a request to the owner of a shard of batch jobs that is bound to some regions.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub(crate) async fn regional_batch(
        &self,
        address: SocketAddr,
        shard: ShardId,
        request: BatchRequest,
        timeout: Duration,
    ) -> Result<BatchResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().regional_batch(call.context(), shard, request)).await
    }

    /// Requests a copy of the platform's metadata.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub async fn metadata(
        &self,
        address: SocketAddr,
        request: MetadataRequest,
        timeout: Duration,
    ) -> Result<MetadataResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().metadata(call.context(), request)).await
    }

    /// Requests the replicas that a gateway uses.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub(crate) async fn replica_subset(
        &self,
        address: SocketAddr,
        request: ReplicaSubsetRequest,
        timeout: Duration,
    ) -> Result<ReplicaSubsetResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().replica_subset(call.context(), request)).await
    }

    /// Asks a node to store a report in the platform's metadata store.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub(crate) async fn keep_report(
        &self,
        address: SocketAddr,
        request: KeepReport,
        timeout: Duration,
    ) -> Result<KeepResponse, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().keep_report(call.context(), request)).await
    }

    /// Asks a node to deliver the end of a batch job to the job's owner.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub(crate) async fn hold_end(
        &self,
        address: SocketAddr,
        request: HoldEnd,
        timeout: Duration,
    ) -> Result<(), PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().hold_end(call.context(), request)).await
    }

    /// Reads the ends of batch jobs that a node holds. A node of an earlier release can't decode the request, so it is
    /// sent through [`Self::separate`] connections.
    ///
    /// # Errors
    /// When no answer arrives within `timeout`.
    pub(crate) async fn pending_ends(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Vec<HoldEnd>, PeerError> {
        let deadline = Instant::now() + timeout;
        let call = self.connection(address).start_call(deadline).await?;
        call.finish(call.client().pending_ends(call.context())).await
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        let connections = self.shared.connections.load();
        connections.values().filter(|connection| connection.is_open()).count()
    }

    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        if let Some(connection) = self.shared.connections.load().get(&address) {
            return Arc::clone(connection);
        }
        let created =
            Arc::new(Connection::new(address, self.shared.runtime.clone(), self.shared.settings.clone()));
        // Another thread may have inserted a connection first; the one in the map is used.
        self.shared.connections.rcu(|connections| {
            let mut connections = HashMap::clone(connections);
            connections.entry(address).or_insert_with(|| Arc::clone(&created));
            connections
        });
        let connections = self.shared.connections.load();
        connections.get(&address).map_or(created, Arc::clone)
    }
}

/// Closes idle connections, so that large clusters don't keep connections between all pairs of nodes.
async fn close_idle_connections(shared: std::sync::Weak<Shared>) {
    loop {
        let Some(idle) = shared.upgrade().map(|shared| shared.settings.idle) else { return };
        tokio::time::sleep(idle / 2).await;
        let Some(shared) = shared.upgrade() else { return };
        let is_idle = |connection: &Arc<Connection>| connection.close_if_idle();
        let idle_peers: Vec<SocketAddr> = {
            let connections = shared.connections.load();
            connections.iter().filter(|(_, connection)| is_idle(connection)).map(|(peer, _)| *peer).collect()
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
