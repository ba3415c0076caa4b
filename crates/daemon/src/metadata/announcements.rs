//! Announcements of metadata revisions that ride on the heartbeats, so that a node whose watch is stuck reads
//! again.

use std::time::Duration;

use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::internal::MetadataKind;

use crate::cluster::Member;
use crate::context::Context;
use crate::membership::{self, AnnouncedRevision, AnnouncedRevisions};

/// How long a node that heard of something newer waits for its own watch to bring it. Chosen, not measured:
/// shorter costs calls for what the watch brings anyway, longer delays a change at a node whose watch is
/// stuck.
const OWN_WATCH_TIMEOUT: Duration = Duration::from_millis(200);

/// The name under which what a node holds of a kind is announced; none for kinds that change too often, or
/// matter to few.
const fn announced_name(kind: MetadataKind) -> Option<&'static str> {
    match kind {
        MetadataKind::Configuration => Some("routes"),
        MetadataKind::Evacuations => Some("evacuations"),
        MetadataKind::Quarantine => Some("quarantine"),
        MetadataKind::Replicas | MetadataKind::Versions => None,
    }
}

/// What this node holds of a kind, in the numbers that are announced: the configuration has versions of its
/// own. 0 where it holds nothing, which is below every announced number and is never announced.
fn held(context: &Context, kind: MetadataKind) -> u64 {
    let metadata = &context.metadata;
    match kind {
        MetadataKind::Configuration => metadata.routes.load().as_ref().map_or(0, |table| table.version),
        _ => metadata.revision(kind).unwrap_or(0),
    }
}

/// Tells the peers what this node holds of a kind.
pub(super) fn announce(context: &Context, kind: MetadataKind) {
    let revision = held(context, kind);
    if let Some(name) = announced_name(kind).filter(|_| revision > 0) {
        membership::announce_revision(context, name, Revision(revision));
    }
}

/// A peer that has announced something newer than this node has.
pub(super) fn announcer(context: &Context, kind: MetadataKind) -> Option<Member> {
    let heard = membership::watch_revisions(context);
    let newer = newer(context, kind, &heard.borrow());
    newer.map(|announced| announced.holder)
}

fn newer(context: &Context, kind: MetadataKind, heard: &AnnouncedRevisions) -> Option<AnnouncedRevision> {
    let announced = heard.get(announced_name(kind)?);
    announced.filter(|announced| announced.revision.0 > held(context, kind)).cloned()
}

/// Waits until a peer has announced something newer than this node has, and its own watch had time to bring
/// it. Returns the peer.
pub(super) async fn heard_newer(context: &Context, kind: MetadataKind) -> Member {
    let mut heard = membership::watch_revisions(context);
    loop {
        if heard.wait_for(|heard| newer(context, kind, heard).is_some()).await.is_err() {
            return std::future::pending().await;
        }
        tokio::time::sleep(OWN_WATCH_TIMEOUT).await;
        if let Some(announcer) = announcer(context, kind) {
            return announcer;
        }
    }
}
