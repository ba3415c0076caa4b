//! When a member of a replica set is replaced, where no metadata store is named: its disk was replaced, its
//! node has not been seen for as long as `store.replace_after_ms` says, or the machine list says that its
//! machine leaves. Has a set grow that was made while fewer stores stood than were wanted.
//!
//! One member a round, by the first of the others whose node is seen, so that two stores don't replace the
//! same. Where a metadata store is named, the owner of the log replaces members instead (`batch/set_maintenance`).

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

/// Rounds between two readings of the machine list, which serves few readers. With a round each 2 s, one
/// reading a minute. Chosen, not measured: more often loads the list, more rarely delays emptying a machine
/// that leaves.
const ROUNDS_PER_READING: u64 = 30;

/// Why a member is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Its node answers with another store: the disk was lost.
    DiskReplaced,
    /// Its node has not been seen for as long as the settings allow.
    NotSeen,
    /// The machine list says that its machine leaves.
    MachineLeaves,
}

impl Reason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::DiskReplaced => "disk_replaced",
            Self::NotSeen => "not_seen",
            Self::MachineLeaves => "machine_leaves",
        }
    }
}

/// What is remembered from round to round.
#[derive(Default)]
pub(super) struct Replacements {
    rounds: u64,
    missing_since: HashMap<NodeId, Instant>,
    leaving: HashSet<NodeId>,
}

impl Replacements {
    /// Looks at every member that this store is to look after.
    pub(super) async fn round(&mut self, context: &Context, store: &StoreId, groups: &[GroupRecord]) {
        self.read_machine_list(context).await;
        let active = groups.iter().filter(|group| group.phase == GroupPhase::Active);
        for group in active {
            self.note_missing(context, &group.set);
            if !self.replace_gone(context, store, &group.set).await {
                grow_if_small(context, store, &group.set).await;
            }
        }
        self.rounds += 1;
    }

    async fn read_machine_list(&mut self, context: &Context) {
        if !self.rounds.is_multiple_of(ROUNDS_PER_READING) {
            return;
        }
        let Some(client) = MachineListClient::from_settings(&context.settings) else { return };
        let list = match client.read().await {
            Ok(list) => list,
            Err(error) => {
                log::debug!(target: "store", "Leaving machines stay as last read: {error}.");
                return;
            }
        };
        let leaving = list.machines.into_iter().filter(|machine| machine.state == MachineState::Leaving);
        self.leaving = leaving.map(|machine| NodeId::new(machine.id)).collect();
    }

    fn note_missing(&mut self, context: &Context, set: &ReplicaSet) {
        let cluster = context.cluster.load();
        for member in &set.members {
            if cluster.member(&member.node).is_some() {
                self.missing_since.remove(&member.node);
            } else {
                self.missing_since.entry(member.node.clone()).or_insert_with(Instant::now);
            }
        }
    }

    /// One member a round: the next one waits until the set is whole again. Whether one was to be replaced.
    async fn replace_gone(&self, context: &Context, store: &StoreId, set: &ReplicaSet) -> bool {
        let looked_after = |member: &&SetMember| responsible(context, set, member) == Some(store);
        for member in set.members.iter().filter(looked_after) {
            let Some(reason) = self.gone(context, member).await else { continue };
            log::info!(
                target: "store",
                "Shard {}: replacing store {} of {}: {}.", set.shard, member.store, member.node, reason.as_str()
            );
            if let Err(error) =
                reconfiguration::replace(context, &set.shard, &member.store, reason.as_str()).await
            {
                log::warn!(target: "store", "Shard {}: not replaced yet: {error}.", set.shard);
            }
            return true;
        }
        false
    }

    async fn gone(&self, context: &Context, member: &SetMember) -> Option<Reason> {
        let address = context.cluster.load().member(&member.node).map(|seen| seen.peer_address);
        let Some(address) = address else {
            let missing_for = self.missing_since.get(&member.node)?.elapsed();
            return (missing_for >= context.settings.store.replace_after).then_some(Reason::NotSeen);
        };
        if self.leaving.contains(&member.node) {
            return Some(Reason::MachineLeaves);
        }
        let deadline = context.settings.store.call_timeout;
        let answer = context.peers.store(address, StoreRequest::Identity, deadline).await;
        let other = matches!(answer, Ok(StoreResponse::Identity(store)) if store != member.store);
        other.then_some(Reason::DiskReplaced)
    }
}

/// Lets a set grow that is smaller than the settings want, where all of its members are seen and this store
/// is the first.
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
        log::warn!(target: "store", "Shard {}: its set has not grown yet: {error}.", set.shard);
    }
}

async fn grow(context: &Context, set: &ReplicaSet, joining: SetMember) -> Result<(), ReconfigurationError> {
    let client = DocumentClient::from_settings(&context.settings)?;
    let stored = replica_sets::read(&client, &set.shard).await?;
    let stored = stored.filter(|stored| stored.document == ReplicaSetDocument::settled(set.clone()));
    // Otherwise a change is under way, which another round finishes first.
    let Some(stored) = stored else { return Ok(()) };
    let Some(next) = set.with_replaced(&joining.store.clone(), joining) else { return Ok(()) };
    let document = ReplicaSetDocument { current: set.clone(), pending: Some(next.clone()) };
    replica_sets::write(&client, &set.shard, Some(stored.version), &document).await?;
    let decision = Decision::new(Component::Replication, "replacing", "set_grows", &set.shard);
    context.decisions.record(decision.with("generation", next.generation));
    reconfiguration::complete(context, set, &next).await
}

/// The member that looks after another: the first of the others, by store id, whose node is seen. Never
/// itself: a node that lost its disk is seen, and its old store looks after nobody any more.
fn responsible<'a>(context: &Context, set: &'a ReplicaSet, after: &SetMember) -> Option<&'a StoreId> {
    let cluster = context.cluster.load();
    let others = set.members.iter().filter(|member| member.store != after.store);
    let seen = others.filter(|member| cluster.member(&member.node).is_some());
    seen.map(|member| &member.store).min()
}
