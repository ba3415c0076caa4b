//! Answers the gateways that follow this node with the subset of the replicas that each of them uses.
//!
//! The core's `ingress::replica_subset` divides the replicas. Only a node that holds all replicas answers.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::time::whole_millis;
use lichenpulley_protocol::internal::{
    MetadataKind, MetadataUpdate, ReplicaSubsetRequest, ReplicaSubsetResponse,
};
use tokio::time::Instant;

use super::MAX_ANSWER_WAIT;
use super::history::CopyHistory;
use super::subset_layouts::DividedTable;
use crate::context::Context;

/// A copy of all replicas, and how they are divided among the gateways.
struct DividedCopy {
    history: Arc<CopyHistory>,
    divided: Arc<DividedTable>,
}

impl DividedCopy {
    /// Returns this node's replicas, or `None` if it does not hold all of them.
    fn of(context: &Context) -> Option<Self> {
        let metadata = &context.metadata;
        let history =
            metadata.history(MetadataKind::Replicas).filter(|history| history.layout().is_none())?;
        // The table is stored before the history, so this one is as late or later.
        let table = metadata.replicas.load_full();
        let cluster = context.cluster.load();
        let gateways = cluster.members.iter().filter(|member| member.roles.gateway).count();
        let divided = metadata.subset_layouts.divide(&table, gateways);
        Some(Self { history, divided })
    }

    /// Returns the changes of the requested subset; `None` if there are none.
    fn update(&self, request: &ReplicaSubsetRequest) -> Option<MetadataUpdate> {
        if request.layout != self.divided.layout.id() {
            return Some(self.whole_subset(&request.gateway));
        }
        let mut update = self.history.update_since(request.newer_than)?;
        if update.is_whole {
            return Some(self.whole_subset(&request.gateway));
        }
        let MetadataUpdate { objects, removed, .. } = &mut update;
        objects.retain(|(name, _)| match self.divided.table.named(name) {
            Some(record) => self.divided.layout.includes(&request.gateway, record),
            // The record became invalid: the gateway may hold an earlier one.
            None => {
                removed.push(name.clone());
                false
            }
        });
        Some(update)
    }

    fn whole_subset(&self, gateway: &NodeId) -> MetadataUpdate {
        let partitions = self.divided.layout.partitions_for(gateway);
        let text = |name: &str| Some((name.to_owned(), self.history.objects().get(name)?.to_string()));
        let objects = self.divided.names_in(&partitions).filter_map(text).collect();
        MetadataUpdate { revision: self.history.revision(), is_whole: true, objects, removed: Vec::new() }
    }
}

/// Answers a gateway. A node that does not hold all replicas answers without an update and with the greatest age,
/// so that the gateway asks another node.
pub(crate) async fn answer(context: &Context, request: &ReplicaSubsetRequest) -> ReplicaSubsetResponse {
    let until = Instant::now() + MAX_ANSWER_WAIT.min(Duration::from_millis(request.wait_ms));
    let mut changes = context.metadata.watch();
    loop {
        let Some(replicas) = DividedCopy::of(context) else {
            return ReplicaSubsetResponse { update: None, layout: None, age_ms: u64::MAX };
        };
        let update = replicas.update(request);
        let is_due = Instant::now() >= until;
        // An empty update only saves the gateway from falling behind the history, so it can wait.
        if is_due || update.as_ref().is_some_and(changes_subset) {
            let age_ms = whole_millis(context.metadata.age(MetadataKind::Replicas));
            return ReplicaSubsetResponse { update, layout: replicas.divided.layout.id(), age_ms };
        }
        // After a change, a timeout or the end of the handle alike, the history is checked again.
        let _ = tokio::time::timeout_at(until, changes.changed()).await;
    }
}

fn changes_subset(update: &MetadataUpdate) -> bool {
    update.is_whole || !update.objects.is_empty() || !update.removed.is_empty()
}
