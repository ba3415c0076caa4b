//! Replacement of replica set members in deployments without a metadata store. A member is replaced if its
//! disk was replaced, its node has not been seen for `store.replace_after_ms`, or the machine list says that
//! its machine is leaving. Sets that were created with fewer stores than wanted are extended.
//!
//! Each round replaces one member of a set. The first other member whose node is seen is responsible, so that
//! two stores don't replace the same member. With a metadata store, the owner of the log replaces members
//! instead (`batch/set_maintenance`).

use std::collections::{HashMap, HashSet};

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::replication::group::{GroupPhase, GroupRecord};
use lichenpulley_core::replication::placement::Improvement;
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, SetMember, StoreId};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use lichenpulley_protocol::platform::MachineState;
use tokio::time::Instant;

use super::reconfiguration::{self, ReconfigurationError};
use super::replica_sets::DocumentClient;
use super::{placement, replica_sets};
use crate::configuration::platform::MachineListClient;
use crate::context::Context;

/// Number of maintenance rounds between two reads of the machine list, which serves few readers.
const ROUNDS_PER_LIST_READ: u64 = 30;

/// Reason why a member is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplacementReason {
    /// Its node answers with another store id: the disk was lost.
    DiskReplaced,
    /// Its node has not been seen for `store.replace_after_ms`.
    NotSeen,
    /// The machine list says that its machine is leaving.
    MachineLeaves,
}

impl ReplacementReason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::DiskReplaced => "disk_replaced",
            Self::NotSeen => "not_seen",
            Self::MachineLeaves => "machine_leaves",
        }
    }
}

/// State kept between rounds.
#[derive(Default)]
pub(super) struct MemberReplacer {
    rounds: u64,
    missing_since: HashMap<NodeId, Instant>,
    leaving: HashSet<NodeId>,
}

impl MemberReplacer {
    /// Checks all members for which this store is responsible.
    pub(super) async fn run_round(&mut self, context: &Context, store: &StoreId, groups: &[GroupRecord]) {
        self.read_machine_list(context).await;
        let active = groups.iter().filter(|group| group.phase == GroupPhase::Active);
        for group in active {
            self.update_missing(context, &group.set);
            if !self.replace_lost_member(context, store, &group.set).await {
                grow_if_small(context, store, &group.set).await;
            }
        }
        self.rounds += 1;
    }

    async fn read_machine_list(&mut self, context: &Context) {
        if !self.rounds.is_multiple_of(ROUNDS_PER_LIST_READ) {
            return;
        }
        let Some(client) = MachineListClient::from_settings(&context.settings) else { return };
        let list = match client.read().await {
            Ok(list) => list,
            Err(error) => {
                log::debug!(target: "store", "Failed to read the machine list, keeping the previous one: {error}.");
                return;
            }
        };
        let leaving = list.machines.into_iter().filter(|machine| machine.state == MachineState::Leaving);
        self.leaving = leaving.map(|machine| NodeId::new(machine.id)).collect();
    }

    fn update_missing(&mut self, context: &Context, set: &ReplicaSet) {
        let cluster = context.cluster.load();
        for member in &set.members {
            if cluster.member(&member.node).is_some() {
                self.missing_since.remove(&member.node);
            } else {
                self.missing_since.entry(member.node.clone()).or_insert_with(Instant::now);
            }
        }
    }

    /// Replaces at most one member per round, so that the set is complete before the next replacement.
    /// Returns whether a replacement was needed.
    async fn replace_lost_member(&self, context: &Context, store: &StoreId, set: &ReplicaSet) -> bool {
        let is_responsible = |member: &&SetMember| responsible_store(context, set, member) == Some(store);
        for member in set.members.iter().filter(is_responsible) {
            let Some(reason) = self.replacement_reason(context, member).await else { continue };
            log::info!(
                target: "store",
                "Shard {}: replacing store {} of {}: {}.", set.shard, member.store, member.node, reason.as_str()
            );
            if let Err(error) =
                reconfiguration::replace(context, &set.shard, &member.store, reason.as_str()).await
            {
                log::warn!(target: "store", "Shard {}: member not replaced yet, retrying: {error}.", set.shard);
            }
            return true;
        }
        false
    }

    async fn replacement_reason(&self, context: &Context, member: &SetMember) -> Option<ReplacementReason> {
        let address = context.cluster.load().member(&member.node).map(|seen| seen.peer_address);
        let Some(address) = address else {
            let missing_for = self.missing_since.get(&member.node)?.elapsed();
            return (missing_for >= context.settings.store.replace_after)
                .then_some(ReplacementReason::NotSeen);
        };
        if self.leaving.contains(&member.node) {
            return Some(ReplacementReason::MachineLeaves);
        }
        let deadline = context.settings.store.call_timeout;
        let answer = context.peers.store(address, StoreRequest::Identity, deadline).await;
        let other = matches!(answer, Ok(StoreResponse::Identity(store)) if store != member.store);
        other.then_some(ReplacementReason::DiskReplaced)
    }
}

/// Adds a member to a set that is smaller than configured, if all of its members are seen and this store has
/// the lowest id.
async fn grow_if_small(context: &Context, store: &StoreId, set: &ReplicaSet) {
    let cluster = context.cluster.load();
    let is_seen = |member: &SetMember| cluster.member(&member.node).is_some();
    let is_first = set.members.iter().map(|member| &member.store).min() == Some(store);
    let is_small = set.members.len() < context.settings.store.set_size.members();
    if !is_small || !is_first || !set.members.iter().all(is_seen) {
        return;
    }
    let candidates = replica_sets::candidates(context, &set.shard).await;
    if let Some(Improvement::Grow(joining)) = placement::policy(context).improvement(set, &candidates)
        && let Err(error) = grow(context, set, joining).await
    {
        log::warn!(target: "store", "Shard {}: no member added yet, retrying: {error}.", set.shard);
    }
}

async fn grow(context: &Context, set: &ReplicaSet, joining: SetMember) -> Result<(), ReconfigurationError> {
    let client = DocumentClient::from_settings(&context.settings)?;
    let stored = replica_sets::read(&client, &set.shard).await?;
    let stored = stored.filter(|stored| stored.document == ReplicaSetDocument::settled(set.clone()));
    // Otherwise a change is in progress, which a later round finishes first.
    let Some(stored) = stored else { return Ok(()) };
    let Some(next) = set.with_replaced(&joining.store.clone(), joining) else { return Ok(()) };
    let document = ReplicaSetDocument { current: set.clone(), pending: Some(next.clone()) };
    replica_sets::write(&client, &set.shard, Some(stored.version), &document).await?;
    let decision = Decision::new(Component::Replication, "replacing", "set_grows", &set.shard);
    context.decisions.record(decision.with("generation", next.generation));
    reconfiguration::complete(context, set, &next).await
}

/// Returns the member that is responsible for replacing another: the lowest store id among the others whose
/// node is seen. A member is never responsible for itself, since a node that lost its disk is still seen.
fn responsible_store<'a>(
    context: &Context,
    set: &'a ReplicaSet,
    replaced: &SetMember,
) -> Option<&'a StoreId> {
    let cluster = context.cluster.load();
    let others = set.members.iter().filter(|member| member.store != replaced.store);
    let seen = others.filter(|member| cluster.member(&member.node).is_some());
    seen.map(|member| &member.store).min()
}
