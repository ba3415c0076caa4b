//! Asking a peer for its copy, beside or in place of the platform.
//!
//! Owns nothing; relies on the peers' connections and on the ranking of coordinators for who reads the
//! platform.

use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::internal::{MetadataKind, MetadataRequest, MetadataUpdate};
use rand::seq::IndexedRandom;

use crate::cluster::Member;
use crate::context::Context;
use crate::ownership::order;
use crate::ownership::scope::Scope;

/// How long a peer may take to hand over its copy. Shorter gives up peers that are only slow, longer delays
/// asking the next one.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks at what another reader of the platform has. Longer lets a silent watch go unnoticed
/// for longer, shorter costs calls between nodes.
const COMPARE_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// A watch that stands brings what another reader has well within this time: twice the pause between two
/// watches.
const WATCH_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a peer gave.
pub(super) struct PeerCopy {
    /// The peer.
    pub(super) from: NodeId,
    /// What it has beyond this node.
    pub(super) update: Option<MetadataUpdate>,
    /// How long ago the platform confirmed its copy.
    pub(super) age: Duration,
}

/// Asks a peer what it has beyond a revision; `None` where it gives no answer.
pub(super) async fn ask(
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
            log::debug!(target: "metadata", "{} gave no {kind:?}: {error}.", peer.node);
            None
        }
    }
}

/// Any other node that watches or follows.
pub(crate) fn random_member(context: &Context) -> Option<Member> {
    let cluster = context.cluster.load();
    let others = cluster.members.iter();
    let others = others.filter(|member| member.node != context.node && member.roles.gateway);
    others.collect::<Vec<_>>().choose(&mut rand::rng()).map(|member| Member::clone(member))
}

/// Waits until another reader of the platform has had newer replicas for so long that this node's own watch
/// can't stand: its connection may be silent while others to the store answer. Kinds that are announced need
/// none of it.
pub(super) async fn behind(context: &Context, kind: MetadataKind) -> PeerCopy {
    if kind != MetadataKind::Replicas {
        return std::future::pending().await;
    }
    loop {
        tokio::time::sleep(COMPARE_POLL_INTERVAL).await;
        let held = context.metadata.revision(kind);
        let Some(reader) = reader(context) else { continue };
        let Some(copy) = ask(context, &reader, kind, held).await else { continue };
        if copy.update.is_none() {
            continue;
        }
        tokio::time::sleep(WATCH_CATCH_UP_TIMEOUT).await;
        if context.metadata.revision(kind) == held {
            return copy;
        }
    }
}

/// Another node that reads the platform for itself.
fn reader(context: &Context) -> Option<Member> {
    let count = context.settings.configuration.readers;
    let mut readers = order::first_coordinators(&Scope::main(context), count);
    readers.retain(|member| member.node != context.node);
    readers.choose(&mut rand::rng()).cloned()
}
