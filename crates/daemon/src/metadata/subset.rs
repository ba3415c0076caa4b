//! Answers the gateways that follow this node with the subset of the replicas that each of them uses.
//!
//! The core's `ingress::replica_subset` divides the replicas. Only a node that holds all replicas answers.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replica_subset::SubsetLayout;
use lichenpulley_core::ingress::replicas::ReplicaTable;
use lichenpulley_core::time::whole_millis;
use lichenpulley_protocol::internal::{
    MetadataKind, MetadataUpdate, ReplicaSubsetRequest, ReplicaSubsetResponse,
};
use tokio::time::Instant;

use super::MAX_ANSWER_WAIT;
use super::history::CopyHistory;
use crate::context::Context;

/// All replicas, and how they are divided among the gateways.
struct DividedReplicas {
    history: Arc<CopyHistory>,
    table: Arc<ReplicaTable>,
    layout: Arc<SubsetLayout>,
}

impl DividedReplicas {
    /// Returns this node's replicas, or `None` if it does not hold all of them.
    fn of(context: &Context) -> Option<Self> {
        let metadata = &context.metadata;
        let history =
            metadata.history(MetadataKind::Replicas).filter(|history| history.layout().is_none())?;
        // The table is stored before the history, so this one is as late or later.
        let table = metadata.replicas.load_full();
        let cluster = context.cluster.load();
        let gateways = cluster.members.iter().filter(|member| member.roles.gateway).count();
        let layout = metadata.subset_layouts.layout(&table, gateways);
        Some(Self { history, table, layout })
    }

    /// Returns the changes of the requested subset; `None` if there are none.
    fn update(&self, request: &ReplicaSubsetRequest) -> Option<MetadataUpdate> {
        let mut update = if request.layout == self.layout.id() {
            self.history.update_since(request.newer_than)?
        } else {
            self.history.whole()
        };
        let MetadataUpdate { objects, removed, .. } = &mut update;
        objects.retain(|(name, _)| match self.table.named(name) {
            Some(record) => self.layout.includes(&request.gateway, record),
            // The record became invalid: the gateway may hold an earlier one.
            None => {
                removed.push(name.clone());
                false
            }
        });
        Some(update)
    }
}

/// Answers a gateway. A node that does not hold all replicas answers without an update and with the greatest age,
/// so that the gateway asks another node.
pub(crate) async fn answer(context: &Context, request: &ReplicaSubsetRequest) -> ReplicaSubsetResponse {
    let until = Instant::now() + MAX_ANSWER_WAIT.min(Duration::from_millis(request.wait_ms));
    let mut changes = context.metadata.watch();
    loop {
        let Some(replicas) = DividedReplicas::of(context) else {
            return ReplicaSubsetResponse { update: None, layout: None, age_ms: u64::MAX };
        };
        let update = replicas.update(request);
        let is_due = Instant::now() >= until;
        // An empty update only saves the gateway from falling behind the history, so it can wait.
        if is_due || update.as_ref().is_some_and(changes_subset) {
            let age_ms = whole_millis(context.metadata.age(MetadataKind::Replicas));
            return ReplicaSubsetResponse { update, layout: replicas.layout.id(), age_ms };
        }
        // After a change, a timeout or the end of the handle alike, the history is checked again.
        let _ = tokio::time::timeout_at(until, changes.changed()).await;
    }
}

fn changes_subset(update: &MetadataUpdate) -> bool {
    update.is_whole || !update.objects.is_empty() || !update.removed.is_empty()
}
