//! Collects the ends of open jobs that gateways hold, for a node that has taken a shard over.
//!
//! A job may have been ended while its shard had no owner, or one that could not commit. The log has the job open
//! then, and the gateways would ask the new owner only after it has started the job's items. The gateways that hold a
//! copy of an end follow from the job, so that a large deployment needs few requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::pending_ends::EndKey;
use lichenpulley_core::identity::{BatchId, NodeId};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::EndHolder;
use super::end_holder::{GATEWAY_COPIES, sort_copy_holders};
use crate::cluster::Member;
use crate::context::Context;

/// Timeout of the request to one gateway. Gateways that have failed and are still listed delay the first items this
/// long, unless it is only one.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of gateways in each region that are asked for the end of a job. Those that hold a copy are the first ones
/// that could be reached when the end was read.
const ASKED_GATEWAYS: usize = GATEWAY_COPIES + 2;

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

/// Starts collecting the ends of the ledger's open jobs, and returns the channel on which they arrive, once.
pub(super) fn collect(context: Context, own: EndHolder, ledger: &Ledger) -> mpsc::Receiver<HeldEnds> {
    let open = ledger.jobs().iter().filter(|(_, state)| !state.is_ended);
    let open: Vec<BatchId> = open.map(|(batch, _)| batch.clone()).collect();
    let (sender, held) = mpsc::channel(1);
    tokio::spawn(async move {
        // Sending fails only once the owner has ended.
        let _ = sender.send(ask_gateways(&context, &own, &open).await).await;
    });
    held
}

async fn ask_gateways(context: &Context, own: &EndHolder, open: &[BatchId]) -> HeldEnds {
    let began = Instant::now();
    let peers = context.peers.separate();
    let others = likely_holders(context, open);
    let calls = others.iter().map(|member| peers.pending_ends(member.peer_address, COLLECT_TIMEOUT));
    let mut calls: FuturesUnordered<_> = calls.collect();
    let asked = calls.len();
    let (mut ends, mut answered) = (own.pending(), 0);
    // A gateway that does not answer sends its ends to the owner later.
    while asked - answered > dispensable_answers(asked)
        && let Some(answer) = calls.next().await
    {
        answered += usize::from(answer.is_ok());
        ends.extend(answer.into_iter().flatten());
    }
    let ends = ends.into_iter().map(|end| EndKey { batch: end.batch, caller: end.caller }).collect();
    HeldEnds { ends, asked, answered, took: began.elapsed() }
}

/// Returns how many of the gateways need not answer: of those that hold the copies of one end, another one does. Few
/// gateways may hold fewer copies.
const fn dispensable_answers(asked: usize) -> usize {
    if asked > GATEWAY_COPIES { GATEWAY_COPIES - 1 } else { 0 }
}

/// Returns the other gateways that hold the ends of these jobs, if there are any.
fn likely_holders(context: &Context, jobs: &[BatchId]) -> Vec<Arc<Member>> {
    let zones = &context.settings.places.zones;
    let cluster = context.cluster.load();
    let mut regions: HashMap<_, Vec<Arc<Member>>> = HashMap::new();
    for member in cluster.members.iter().filter(|member| member.roles.gateway) {
        regions.entry(zones.region(member.zone.as_str())).or_default().push(Arc::clone(member));
    }
    let mut holders: BTreeMap<NodeId, Arc<Member>> = BTreeMap::new();
    for gateways in regions.values_mut() {
        for job in jobs {
            sort_copy_holders(gateways, job);
            let first = gateways.iter().take(ASKED_GATEWAYS);
            holders.extend(first.map(|member| (member.node.clone(), Arc::clone(member))));
        }
    }
    holders.remove(&context.node);
    holders.into_values().collect()
}
