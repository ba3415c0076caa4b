//! Metadata revisions announced on the membership protocol's messages. A node whose own watch is stuck learns
//! from them that it must read again.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::internal::MetadataKind;

use crate::cluster::Member;
use crate::context::Context;
use crate::membership::{self, AnnouncedRevision, AnnouncedRevisions};

/// Time that a node's own watch has to deliver an announced revision before the node asks the announcing
/// peer.
const OWN_WATCH_GRACE: Duration = Duration::from_millis(200);

/// Returns the name under which revisions of a kind are announced; `None` for kinds that change too often or
/// that only few nodes read.
const fn announced_name(kind: MetadataKind) -> Option<&'static str> {
    match kind {
        MetadataKind::Configuration => Some("routes"),
        MetadataKind::Evacuations => Some("evacuations"),
        MetadataKind::Quarantine => Some("quarantine"),
        MetadataKind::Replicas | MetadataKind::Versions => None,
    }
}

/// Returns whether revisions of a kind are announced.
pub(super) const fn is_announced(kind: MetadataKind) -> bool {
    announced_name(kind).is_some()
}

/// Returns the revision that this node holds of a kind, as announced: for the configuration its own version.
/// 0 means that nothing is held; it is lower than any announced revision and is never announced.
fn held_revision(context: &Context, kind: MetadataKind) -> u64 {
    let metadata = &context.metadata;
    match kind {
        MetadataKind::Configuration => metadata.routes.load().as_ref().map_or(0, |table| table.version),
        _ => metadata.revision(kind).unwrap_or(0),
    }
}

/// Announces to the peers which revision of a kind this node holds.
pub(super) fn announce(context: &Context, kind: MetadataKind) {
    let revision = held_revision(context, kind);
    if let Some(name) = announced_name(kind).filter(|_| revision > 0) {
        membership::announce_revision(context, name, Revision(revision));
    }
}

/// Returns a peer that has announced a newer revision than this node holds.
pub(super) fn announcer(context: &Context, kind: MetadataKind) -> Option<Arc<Member>> {
    let heard = membership::watch_revisions(context);
    let newer = find_newer(context, kind, &heard.borrow());
    newer.map(|announced| announced.holder)
}

fn find_newer(
    context: &Context,
    kind: MetadataKind,
    heard: &AnnouncedRevisions,
) -> Option<AnnouncedRevision> {
    let announced = heard.get(announced_name(kind)?);
    announced.filter(|announced| announced.revision.0 > held_revision(context, kind)).cloned()
}

/// Waits until a peer has announced a newer revision that this node's own watch has not delivered within
/// [`OWN_WATCH_GRACE`]. Returns the peer.
pub(super) async fn wait_for_newer(context: &Context, kind: MetadataKind) -> Arc<Member> {
    let mut heard = membership::watch_revisions(context);
    loop {
        if heard.wait_for(|heard| find_newer(context, kind, heard).is_some()).await.is_err() {
            return std::future::pending().await;
        }
        tokio::time::sleep(OWN_WATCH_GRACE).await;
        if let Some(announcer) = announcer(context, kind) {
            return announcer;
        }
    }
}
