//! Requests copies of the metadata from peers, in addition to or instead of the platform.
//!
//! Which nodes read the platform follows from the ranking of the coordinators.

use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::internal::{MetadataKind, MetadataRequest, MetadataUpdate};
use rand::seq::IndexedRandom;

use crate::cluster::Member;
use crate::context::Context;
use crate::ownership::order;
use crate::ownership::scope::Scope;

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
    pub(super) update: Option<MetadataUpdate>,
    /// How long ago the platform confirmed its copy.
    pub(super) age: Duration,
}

/// Requests from a peer what has changed since a revision; `None` if it gives no answer.
pub(super) async fn request_copy(
    context: &Context,
    peer: &Member,
    kind: MetadataKind,
    newer_than: Option<u64>,
) -> Option<PeerCopy> {
    let request = MetadataRequest { kind, newer_than, wait_ms: 0 };
    match context.peers.metadata(peer.peer_address, request, PEER_TIMEOUT).await {
        Ok(response) => {
            let age = Duration::from_millis(response.age_ms);
            Some(PeerCopy { from: peer.node.clone(), update: response.update, age })
        }
        Err(error) => {
            log::debug!(target: "metadata", "{} did not answer a request for {kind:?}: {error}.", peer.node);
            None
        }
    }
}

/// Returns a random other node that holds metadata.
pub(crate) fn random_member(context: &Context) -> Option<Member> {
    let cluster = context.cluster.load();
    let others = cluster.members.iter();
    let others = others.filter(|member| member.node != context.node && member.roles.gateway);
    others.collect::<Vec<_>>().choose(&mut rand::rng()).map(|member| Member::clone(member))
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
        let Some(copy) = request_copy(context, &reader, kind, held).await else { continue };
        if copy.update.is_none() {
            continue;
        }
        tokio::time::sleep(WATCH_CATCH_UP_TIMEOUT).await;
        if context.metadata.revision(kind) == held {
            return copy;
        }
    }
}

/// Returns another node that reads the platform directly.
fn other_reader(context: &Context) -> Option<Member> {
    let count = context.settings.configuration.readers;
    let mut readers = order::first_coordinators(&Scope::main(context), count);
    readers.retain(|member| member.node != context.node);
    readers.choose(&mut rand::rng()).cloned()
}
