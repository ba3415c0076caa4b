//! Requests copies of the metadata from peers, in addition to or instead of the platform.
//!
//! Which nodes read the platform follows from the ranking of the coordinators.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::relay::RelayConfig;
use lichenpulley_core::time::whole_millis;
use lichenpulley_protocol::internal::{MetadataKind, MetadataRequest, ReplicaSubsetRequest};
use rand::seq::IndexedRandom;

use super::history::CopyChange;
use crate::cluster::Member;
use crate::context::Context;
use crate::peers::PeerError;
use crate::settings::Settings;

/// Timeout of a request for a peer's copy.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which this node compares its revision with that of another reader, to detect a broken watch.
const COMPARE_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time within which a working watch delivers what another reader already has: twice the pause between
/// watches.
const WATCH_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A peer's answer to a request for its copy.
pub(super) struct PeerCopy {
    /// The peer.
    pub(super) from: NodeId,
    /// The changes since this node's revision, if any.
    pub(super) change: Option<CopyChange>,
    /// How long ago the platform confirmed its copy.
    pub(super) age: Duration,
}

/// A request for a peer's copy.
#[derive(Clone, Copy, Debug)]
pub(super) struct CopyQuery {
    /// The kind of objects.
    pub(super) kind: MetadataKind,
    /// The revision of this node's copy, if it has one.
    pub(super) newer_than: Option<u64>,
    /// How long the peer may wait for a change.
    pub(super) wait: Duration,
    /// Timeout of the request.
    pub(super) timeout: Duration,
}

/// Requests from a reader what this node needs: of the replicas its subset, unless it needs all of them.
///
/// # Errors
/// When the reader does not answer in time.
pub(super) async fn query_reader(
    context: &Context,
    reader: &Member,
    query: CopyQuery,
) -> Result<PeerCopy, PeerError> {
    if query.kind != MetadataKind::Replicas || context.metadata.needs_all_replicas() {
        return query_whole(context, reader, query).await;
    }
    let request = ReplicaSubsetRequest {
        gateway: context.node.clone(),
        newer_than: query.newer_than,
        layout: context.metadata.history(query.kind).and_then(|held| held.layout()),
        wait_ms: whole_millis(query.wait),
    };
    let response = context.peers.replica_subset(reader.peer_address, request, query.timeout).await?;
    let layout = response.layout;
    Ok(PeerCopy {
        from: reader.node.clone(),
        change: response.update.map(|update| CopyChange::from_update(update, layout)),
        age: Duration::from_millis(response.age_ms),
    })
}

/// Requests from a peer what has changed in its whole copy.
async fn query_whole(context: &Context, peer: &Member, query: CopyQuery) -> Result<PeerCopy, PeerError> {
    let CopyQuery { kind, wait, timeout, .. } = query;
    // An update applies only to a whole copy.
    let is_subset = context.metadata.history(kind).is_some_and(|held| held.layout().is_some());
    let newer_than = query.newer_than.filter(|_| !is_subset);
    let request = MetadataRequest { kind, newer_than, wait_ms: whole_millis(wait) };
    let response = context.peers.metadata(peer.peer_address, request, timeout).await?;
    Ok(PeerCopy {
        from: peer.node.clone(),
        change: response.update.map(|update| CopyChange::from_update(update, None)),
        age: Duration::from_millis(response.age_ms),
    })
}

/// Requests from a peer what has changed since a revision; `None` if it gives no answer.
pub(super) async fn request_copy(
    context: &Context,
    peer: &Member,
    kind: MetadataKind,
    newer_than: Option<u64>,
) -> Option<PeerCopy> {
    let query = CopyQuery { kind, newer_than, wait: Duration::ZERO, timeout: PEER_TIMEOUT };
    match query_reader(context, peer, query).await {
        Ok(copy) => Some(copy),
        Err(error) => {
            log::debug!(target: "metadata", "{} did not answer a request for {kind:?}: {error}.", peer.node);
            None
        }
    }
}

/// Returns a random other node that holds metadata.
pub(crate) fn random_member(context: &Context) -> Option<Arc<Member>> {
    let cluster = context.cluster.load();
    let others = cluster.members.iter();
    let others = others.filter(|member| member.node != context.node && member.roles.gateway);
    others.collect::<Vec<_>>().choose(&mut rand::rng()).map(|member| Arc::clone(member))
}

/// Waits until another reader of the platform has held newer replicas for longer than
/// [`WATCH_CATCH_UP_TIMEOUT`], and returns its copy. This node's own watch must then be broken, for instance
/// because its connection is silent while others to the store answer. Other kinds are either announced or not
/// compared; for them this never returns.
pub(super) async fn wait_until_behind(context: &Context, kind: MetadataKind) -> PeerCopy {
    if kind != MetadataKind::Replicas {
        return std::future::pending().await;
    }
    loop {
        tokio::time::sleep(COMPARE_POLL_INTERVAL).await;
        let held = context.metadata.revision(kind);
        let Some(reader) = other_reader(context) else { continue };
        let query = CopyQuery { kind, newer_than: held, wait: Duration::ZERO, timeout: PEER_TIMEOUT };
        // A reader that does not answer is compared with another one in the next round.
        let Ok(copy) = query_whole(context, &reader, query).await else { continue };
        if copy.change.is_none() {
            continue;
        }
        tokio::time::sleep(WATCH_CATCH_UP_TIMEOUT).await;
        if context.metadata.revision(kind) == held {
            return copy;
        }
    }
}

/// Returns the configuration of the relay of metadata between nodes.
pub(super) fn relay_config(settings: &Settings) -> RelayConfig {
    let settings = &settings.configuration;
    let (readers, min_nodes) = (settings.readers, settings.follow_from_nodes);
    RelayConfig { readers, min_nodes, ..RelayConfig::default() }
}

/// Returns another node that reads the platform directly.
pub(super) fn other_reader(context: &Context) -> Option<Arc<Member>> {
    let cluster = context.cluster.load();
    let readers = relay_config(&context.settings).readers_among(cluster.readers().count());
    let others = cluster.readers().take(readers).filter(|member| member.node != context.node);
    others.collect::<Vec<_>>().choose(&mut rand::rng()).map(|member| Arc::clone(member))
}
