//! Serves the requests of other nodes on the peer port.
//!
//! Dispatches each request to the subsystem that handles it. `protocol::transport` implements the framing. Counts frames,
//! bytes, and connections closed because of invalid input.

use futures::StreamExt;
use lichenpulley_core::identity::ShardId;
use lichenpulley_protocol::internal::{
    BatchRequest, BatchResponse, ConfigurationRequest, ConfigurationResponse, CoordinatorRequest,
    CoordinatorResponse, HoldEnd, KeepReport, KeepResponse, MetadataRequest, MetadataResponse, Peer,
    ReplicaSubsetRequest, ReplicaSubsetResponse, StoreRequest, StoreResponse,
};
use lichenpulley_protocol::transport::{self, TransportError};
use tarpc::ChannelError;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::partial_frame::PartialFrame;
use crate::batch::BatchJobs;
use crate::configuration;
use crate::context::Context;
use crate::coordinator::Coordinator;
use crate::http::accept::accept_until;
use crate::http::socket::{self, SocketLimits};
use crate::metadata;
use crate::store::Store;

/// Dispatches peers' requests to the subsystems of this node.
#[derive(Clone)]
pub(super) struct PeerService {
    context: Context,
    coordinator: Coordinator,
    batch: BatchJobs,
    /// Set if the node has the store role.
    store: Option<Store>,
}

impl PeerService {
    pub(super) const fn new(
        context: Context,
        coordinator: Coordinator,
        batch: BatchJobs,
        store: Option<Store>,
    ) -> Self {
        Self { context, coordinator, batch, store }
    }

    /// Counts a connection that is closed because of an error, by its cause.
    fn count_closed(&self, error: &ChannelError<TransportError>) {
        let (ChannelError::Read(cause)
        | ChannelError::Ready(cause)
        | ChannelError::Write(cause)
        | ChannelError::Flush(cause)
        | ChannelError::Close(cause)) = error;
        self.context.metrics.count_closed_connection(cause.label());
    }
}

impl Peer for PeerService {
    async fn store(self, _: tarpc::context::Context, request: StoreRequest) -> StoreResponse {
        match &self.store {
            Some(store) => store.answer(request).await,
            None => StoreResponse::NotAStore,
        }
    }

    async fn coordinator(
        self,
        _: tarpc::context::Context,
        request: CoordinatorRequest,
    ) -> CoordinatorResponse {
        self.coordinator.answer(request).await
    }

    async fn configuration(
        self,
        _: tarpc::context::Context,
        request: ConfigurationRequest,
    ) -> ConfigurationResponse {
        configuration::answer(&self.context, request).await
    }

    async fn batch(self, _: tarpc::context::Context, request: BatchRequest) -> BatchResponse {
        self.batch.answer(request).await
    }

    async fn metadata(self, _: tarpc::context::Context, request: MetadataRequest) -> MetadataResponse {
        metadata::answer(&self.context, &request).await
    }

    async fn keep_report(self, _: tarpc::context::Context, request: KeepReport) -> KeepResponse {
        self.context.quarantine.accept_report(request)
    }

    async fn hold_end(self, _: tarpc::context::Context, request: HoldEnd) {
        self.batch.ends().hold_copy(request).await;
    }

    async fn pending_ends(self, _: tarpc::context::Context) -> Vec<HoldEnd> {
        self.batch.ends().pending()
    }

    async fn replica_subset(
        self,
        _: tarpc::context::Context,
        request: ReplicaSubsetRequest,
    ) -> ReplicaSubsetResponse {
        metadata::answer_subset(&self.context, &request).await
    }

    async fn regional_batch(
        self,
        _: tarpc::context::Context,
        shard: ShardId,
        request: BatchRequest,
    ) -> BatchResponse {
        self.batch.answer_for(&shard, request).await
    }
}

/// Serves peers until `closing` is cancelled.
pub(super) async fn serve(listener: TcpListener, service: PeerService, closing: CancellationToken) {
    accept_until(&listener, closing.cancelled(), None, |stream| {
        tokio::spawn(serve_connection(stream, service.clone(), closing.clone()));
    })
    .await;
}

/// Serves one connection. An error on it closes only this connection.
async fn serve_connection(stream: TcpStream, service: PeerService, closing: CancellationToken) {
    let peer =
        stream.peer_addr().map_or_else(|_| "an unknown peer".to_owned(), |address| address.to_string());
    let limits = SocketLimits { stall_timeout: service.context.settings.peers.stall_timeout };
    if let Err(error) = socket::prepare(&stream, limits) {
        log::debug!(target: "peers", "Failed to set up the connection from {peer}: {error}.");
        return;
    }
    let evicted = CancellationToken::new();
    let mut partial_frame = PartialFrame::new(service.context.frame_memory.clone(), evicted.clone());
    let transport = transport::metered_server(
        stream,
        service.context.metrics.frame_meter(),
        Box::new(move |bytes| partial_frame.admit(bytes)),
    );
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel.requests();
    tokio::pin!(requests);
    loop {
        let next = tokio::select! {
            next = requests.next() => next,
            () = closing.cancelled() => return,
            () = evicted.cancelled() => {
                let error = TransportError::NoMemory;
                log::warn!(target: "peers", "Closing the connection from {peer}: {error}.");
                return service.context.metrics.count_closed_connection(error.label());
            }
        };
        match next {
            Some(Ok(request)) => {
                tokio::spawn(request.execute(service.clone().serve()));
            }
            Some(Err(error)) => {
                let reason = transport::error_chain(&error);
                log::warn!(target: "peers", "Closing the connection from {peer}: {reason}.");
                service.count_closed(&error);
                return;
            }
            None => return,
        }
    }
}
