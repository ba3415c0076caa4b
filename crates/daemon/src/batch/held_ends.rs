//! Collects the ends of open jobs that other nodes hold, for a node that has taken a shard over.
//!
//! A job may have been ended while its shard had no owner, or one that could not commit. The log has the job open
//! then, and the holders would ask the new owner only after it has started the job's items. The gateways and stores
//! that hold a copy of an end follow from the job, so that a large deployment needs few requests.

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
use super::end_holder::{GATEWAY_COPIES, key_of, sort_copy_holders};
use crate::cluster::{Member, Roles};
use crate::context::Context;

/// Timeout of the request to one node. Nodes that have failed and are still listed delay the first items this long,
/// unless it is only one.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of gateways, and of stores, in each region that are asked for the end of a job. Those that hold a copy are
/// the first ones that could be reached when the end was read.
const ASKED_NODES: usize = GATEWAY_COPIES + 2;

/// The ends that this node and others hold.
#[derive(Default)]
pub(super) struct CollectedEnds {
    /// The ends, some of them several times.
    pub(super) ends: Vec<EndKey>,
    /// Number of other nodes that were asked.
    pub(super) asked: usize,
    /// Number of other nodes that answered in time.
    pub(super) answered: usize,
    /// How long that took.
    pub(super) took: Duration,
}

/// Starts collecting the ends of the ledger's open jobs, and returns the channel on which they arrive, once.
pub(super) fn collect(context: Context, own: EndHolder, ledger: &Ledger) -> mpsc::Receiver<CollectedEnds> {
    let open = ledger.jobs().iter().filter(|(_, state)| !state.is_ended);
    let open: Vec<BatchId> = open.map(|(batch, _)| batch.clone()).collect();
    let (sender, held) = mpsc::channel(1);
    tokio::spawn(async move {
        // Sending fails only once the owner has ended.
        let _ = sender.send(ask_holders(&context, &own, &open).await).await;
    });
    held
}

async fn ask_holders(context: &Context, own: &EndHolder, open: &[BatchId]) -> CollectedEnds {
    let began = Instant::now();
    let peers = context.peers.separate();
    let others = likely_holders(context, open);
    let calls = others.iter().map(|member| peers.pending_ends(member.peer_address, COLLECT_TIMEOUT));
    let mut calls: FuturesUnordered<_> = calls.collect();
    let asked = calls.len();
    let (mut ends, mut answered) = (own.pending(), 0);
    // A node that does not answer sends its ends to the owner later.
    while asked - answered > dispensable_answers(asked)
        && let Some(answer) = calls.next().await
    {
        answered += usize::from(answer.is_ok());
        ends.extend(answer.into_iter().flatten());
    }
    let ends = ends.into_iter().map(key_of).collect();
    CollectedEnds { ends, asked, answered, took: began.elapsed() }
}

/// Returns how many of the nodes need not answer: of those that hold the copies of one end, another one does. Few
/// nodes may hold fewer copies.
const fn dispensable_answers(asked: usize) -> usize {
    if asked > GATEWAY_COPIES { GATEWAY_COPIES - 1 } else { 0 }
}

/// Returns the other nodes that hold copies of the ends of these jobs, if there are any.
fn likely_holders(context: &Context, jobs: &[BatchId]) -> Vec<Arc<Member>> {
    let mut holders: BTreeMap<NodeId, Arc<Member>> = BTreeMap::new();
    let gateways = by_region(context, |roles| roles.gateway);
    let stores = by_region(context, |roles| roles.store);
    for mut group in gateways.into_iter().chain(stores) {
        for job in jobs {
            sort_copy_holders(&mut group, job);
            let first = group.iter().take(ASKED_NODES);
            holders.extend(first.map(|member| (member.node.clone(), Arc::clone(member))));
        }
    }
    holders.remove(&context.node);
    holders.into_values().collect()
}

/// Returns the members with certain roles, grouped by region.
fn by_region(context: &Context, has_role: fn(&Roles) -> bool) -> Vec<Vec<Arc<Member>>> {
    let zones = &context.settings.places.zones;
    let cluster = context.cluster.load();
    let mut regions: HashMap<_, Vec<Arc<Member>>> = HashMap::new();
    for member in cluster.members.iter().filter(|member| has_role(&member.roles)) {
        regions.entry(zones.region(member.zone.as_str())).or_default().push(Arc::clone(member));
    }
    regions.into_values().collect()
}
