//! Collects the ends of jobs that gateways hold, for a node that has taken a shard over.
//!
//! A job may have been ended while its shard had no owner, or one that could not commit. The log has the job open
//! then, and the gateways would ask the new owner only after it has started the job's items.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use lichenpulley_core::batch::pending_ends::EndKey;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::EndHolder;
use crate::cluster::Member;
use crate::context::Context;

/// Timeout of the request to one gateway. A gateway that has failed and is still listed delays the first items this
/// long.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The ends that gateways hold.
pub(super) struct HeldEnds {
    /// The ends, some of them several times.
    pub(super) ends: Vec<EndKey>,
    /// Number of other gateways that were asked.
    pub(super) asked: usize,
    /// Number of other gateways that answered in time.
    pub(super) answered: usize,
    /// How long that took.
    pub(super) took: Duration,
}

/// Starts collecting the ends, and returns the channel on which they arrive, once.
pub(super) fn collect(context: Context, own: EndHolder) -> mpsc::Receiver<HeldEnds> {
    let (sender, held) = mpsc::channel(1);
    tokio::spawn(async move {
        // Sending fails only once the owner has ended.
        let _ = sender.send(ask_gateways(&context, &own).await).await;
    });
    held
}

async fn ask_gateways(context: &Context, own: &EndHolder) -> HeldEnds {
    let began = Instant::now();
    let peers = context.peers.separate();
    let others = other_gateways(context);
    let calls = others.iter().map(|member| peers.pending_ends(member.peer_address, COLLECT_TIMEOUT));
    // A gateway that does not answer sends its ends to the owner later.
    let answers: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
    let (asked, answered) = (others.len(), answers.len());
    let ends = answers.into_iter().flatten().chain(own.pending());
    let ends = ends.map(|end| EndKey { batch: end.batch, caller: end.caller }).collect();
    HeldEnds { ends, asked, answered, took: began.elapsed() }
}

fn other_gateways(context: &Context) -> Vec<Arc<Member>> {
    let cluster = context.cluster.load();
    let gateways = cluster.members.iter().filter(|member| member.roles.gateway);
    gateways.filter(|member| member.node != context.node).cloned().collect()
}
