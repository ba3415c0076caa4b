//! Membership of this node in the cluster: the UDP socket, timers and view round the core's state machine.
//!
//! Parts of a node reach it through the [`MembershipHandle`] in their context. The revisions of the documents
//! that every node holds ride on its messages, so that a node which is behind learns from whom to pull.

mod handle;

pub use handle::{AnnouncedRevision, HeardRevisions, MembershipHandle};

use std::net::SocketAddr;

use lichenpulley_core::identity::Revision;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::cluster::{ClusterView, Member};
use crate::context::Context;

/// What a node brings into the cluster.
#[derive(Clone, Debug)]
pub struct StartMembership {
    /// This node, with the addresses that its sockets have in truth.
    pub member: Member,
    /// Peer addresses of nodes that may already be members; its own address is skipped.
    pub seeds: Vec<SocketAddr>,
}

/// Joins the cluster and publishes the live members in `context.cluster` until the node has stopped.
///
/// Spawns its task on the current runtime, the one of the control thread.
pub fn start(context: Context, socket: UdpSocket, start: StartMembership) {
    let Some(mut commands) = context.membership.take_commands() else {
        log::error!(target: "membership", "The membership task was started twice; the second start is ignored.");
        return;
    };
    context.cluster.store(ClusterView { members: vec![start.member] }.into());
    tokio::spawn(async move {
        let _socket = socket;
        loop {
            tokio::select! {
                () = context.stopped.cancelled() => return,
                command = commands.recv() => match command {
                    Some(handle::Command::Leave { done }) => drop(done.send(())),
                    Some(handle::Command::Announce { document, revision }) => {
                        log::debug!(target: "membership", "Holds revision {revision} of {document}.");
                    }
                    None => return,
                }
            }
        }
    });
}

/// Tells the other members, on every message from now on, that this node holds `revision` of `document`.
pub fn announce_revision(context: &Context, document: &str, revision: Revision) {
    context.membership.announce_revision(document, revision);
}

/// The highest revision of each document that any member has announced, with the member that holds it.
pub fn watch_revisions(context: &Context) -> watch::Receiver<HeardRevisions> {
    context.membership.watch_revisions()
}

/// Tells the other members that this node leaves, so that they needn't find out; for a planned stop.
///
/// Returns when the word has been sent to a few members, or after a short time.
pub async fn leave(context: &Context) {
    context.membership.leave().await;
}
