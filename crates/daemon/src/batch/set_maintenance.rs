//! Maintains the replica set that stores the log of the batch jobs.
//!
//! The core's `replication::member_replacement` chooses the member that is replaced. A set with too few members
//! grows, and a member moves to another store where the set then tolerates more of the losses that the
//! settings require. Changes of the set are decided through the log itself and don't depend on the platform.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use futures::future::join_all;
use lichenpulley_core::batch::regional;
use lichenpulley_core::identity::{NodeId, ShardId};
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::member_replacement::StoreView;
use lichenpulley_core::replication::message::{Operation, ReplicaAnswer, ReplicaRequest};
use lichenpulley_core::replication::placement::{FaultTolerance, Improvement};
use lichenpulley_core::replication::quorum::majority;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::metadata::retirements::Retirements;
use crate::ownership::scope::Scope;
use crate::store::log_writer::Replacement;
use crate::store::{exchange, placement, replica_sets};

/// Interval between two polls of the stores.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of decided entries that a staying member may lack for a change of the set to start, since
/// the change waits until the missing entries are copied.
const MAX_LAG_ENTRIES: u64 = 1_000;
/// How long a change of the set waits for staying members to catch up before it starts anyway.
const MEMBER_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);
/// The set is smaller than required, and another store is available.
const REASON_GROWTH: &str = "set_grows";
/// A store at another location lets the set tolerate more losses.
const REASON_TOLERANCE: &str = "bears_more";
/// How long the same improvement must be due before a set is changed whose members all answer. A restarting
/// store answers again within this time.
const IMPROVEMENT_DELAY: Duration = Duration::from_secs(3);

/// Handle of the maintenance task, held by the owner.
pub(super) struct SetMaintainer {
    scope: Scope,
    sets: watch::Sender<ReplicaSet>,
    replacements: mpsc::UnboundedReceiver<Replacement>,
    task: AbortHandle,
}

impl Drop for SetMaintainer {
    fn drop(&mut self) {
        self.task.abort();
        // The next owner reports these metrics from now on.
        let shard = self.sets.borrow().shard.clone();
        self.scope.context.metrics.placement().show(&shard, 0, FaultTolerance::default());
    }
}

impl SetMaintainer {
    /// Starts maintaining a replica set.
    pub(super) fn start(scope: Scope, set: ReplicaSet) -> Self {
        show(&scope, &set);
        let (sets, followed) = watch::channel(set);
        let (sender, replacements) = mpsc::unbounded_channel();
        let task = tokio::spawn(Task::new(scope.clone(), followed, sender).run());
        Self { scope, sets, replacements, task: task.abort_handle() }
    }

    /// Waits for the next replacement. No further one is returned until [`Self::follow`] sets the resulting
    /// replica set.
    pub(super) async fn next(&mut self) -> Replacement {
        match self.replacements.recv().await {
            Some(replacement) => replacement,
            None => std::future::pending().await,
        }
    }

    /// Continues with the replica set that resulted from a change.
    pub(super) fn follow(&self, set: ReplicaSet) {
        show(&self.scope, &set);
        self.sets.send_replace(set);
    }
}

/// Converts an improvement into a replacement. A set grows if the joining store is also named as the leaving
/// one.
fn to_replacement(step: Improvement) -> Replacement {
    match step {
        Improvement::Grow(joining) => {
            Replacement { leaving: joining.store.clone(), joining, reason: REASON_GROWTH }
        }
        Improvement::Move { leaving, joining } => {
            Replacement { leaving: leaving.store, joining, reason: REASON_TOLERANCE }
        }
    }
}

/// Reports in metrics and decisions which losses a set tolerates.
fn show(scope: &Scope, set: &ReplicaSet) {
    let tolerance = placement::policy(&scope.context).fault_tolerance(&set.members);
    scope.context.metrics.placement().show(&set.shard, set.members.len(), tolerance);
    placement::record_placement(&scope.context, set, "kept_by", "set_in_force");
}

struct Task {
    scope: Scope,
    sets: watch::Receiver<ReplicaSet>,
    sender: mpsc::UnboundedSender<Replacement>,
    retirements: Retirements,
    /// Open retirements whose machines were reported as empty.
    emptied: BTreeSet<NodeId>,
    answered_at: HashMap<StoreId, Instant>,
    began: Instant,
    /// Since when a change has waited for staying members to catch up.
    waiting_since: Option<Instant>,
    /// The improvement that is due, and since when it has been the same.
    improvement: Option<(Improvement, Instant)>,
    /// The set and stores for which the improvement was computed.
    improved_for: Option<(ReplicaSet, Vec<SetMember>)>,
}

impl Task {
    fn new(
        scope: Scope,
        sets: watch::Receiver<ReplicaSet>,
        sender: mpsc::UnboundedSender<Replacement>,
    ) -> Self {
        let retirements = Retirements::start(&scope.context);
        Self {
            scope,
            sets,
            sender,
            retirements,
            emptied: BTreeSet::new(),
            answered_at: HashMap::new(),
            began: Instant::now(),
            waiting_since: None,
            improvement: None,
            improved_for: None,
        }
    }

    async fn run(mut self) {
        loop {
            tokio::time::sleep(STORE_POLL_INTERVAL).await;
            let set = self.sets.borrow_and_update().clone();
            let stores = replica_sets::candidates(&self.scope.context, &set.shard).await;
            self.record_answers(&set, &stores);
            self.finish_retirements(&set, &stores).await;
            let Some(replacement) = self.replacement(&set, &stores) else {
                self.waiting_since = None;
                continue;
            };
            let waited = self.waiting_since.get_or_insert_with(Instant::now).elapsed();
            if waited < MEMBER_CATCH_UP_TIMEOUT && !self.are_members_current(&set, &replacement).await {
                continue;
            }
            self.waiting_since = None;
            if self.sender.send(replacement).is_err() || self.sets.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns whether enough staying members have nearly all decided entries. Nothing is decided during a
    /// change of the set, so a change that first has to copy the log blocks all appends.
    async fn are_members_current(&self, set: &ReplicaSet, replacement: &Replacement) -> bool {
        let staying = set.members.iter().filter(|member| member.store != replacement.leaving);
        let marks = join_all(staying.map(|member| self.decided_through(set, member))).await;
        let latest = marks.iter().flatten().max().copied().unwrap_or_default();
        let is_current = |mark: &&LogIndex| mark.0 + MAX_LAG_ENTRIES >= latest.0;
        let current = marks.iter().flatten().filter(is_current).count();
        let needed = majority(set.members.len() + usize::from(replacement.reason == REASON_GROWTH));
        if current < needed {
            ::log::info!(target: "batch", "Only {current} of {} staying members have caught up: the change of the replica set waits.", marks.len());
        }
        current >= needed
    }

    /// Returns the last entry that a member knows to be decided, or `None` if it does not answer or is not a
    /// member.
    async fn decided_through(&self, set: &ReplicaSet, member: &SetMember) -> Option<LogIndex> {
        let request = ReplicaRequest {
            shard: set.shard.clone(),
            generation: set.generation,
            store: member.store.clone(),
            // No entry has this index, so the answer contains no entries.
            operation: Operation::ReadDecided(LogIndex(u64::MAX)),
        };
        let timeout = self.scope.context.settings.store.call_timeout;
        match exchange::query_replica(&self.scope.context, member, request, timeout).await?.outcome {
            ReplicaAnswer::Decided { decided_through, .. } => Some(decided_through),
            _ => None,
        }
    }

    fn record_answers(&mut self, set: &ReplicaSet, stores: &[SetMember]) {
        let now = Instant::now();
        for store in stores {
            self.answered_at.insert(store.store.clone(), now);
        }
        self.answered_at.retain(|store, _| set.member(store).is_some());
    }

    /// Returns the next change of the set: first a member that must leave, then an improvement.
    fn replacement(&mut self, set: &ReplicaSet, stores: &[SetMember]) -> Option<Replacement> {
        let retiring = self.retirements.nodes();
        self.emptied.retain(|node| retiring.contains(node));
        let silent = self.silent_members(set);
        let view =
            StoreView { answering: stores, silent: &silent, retiring: &retiring, emptied: &self.emptied };
        if let Some(next) = placement::policy(&self.scope.context).replacement(set, &view) {
            let reason = next.reason.as_str();
            return Some(Replacement { leaving: next.leaving, joining: next.joining, reason });
        }
        let staying = view.staying_stores();
        self.improvement(set, stores, staying)
    }

    /// Returns the members that have not answered for `store.replace_after_ms`.
    fn silent_members(&self, set: &ReplicaSet) -> BTreeSet<StoreId> {
        let patience = self.scope.context.settings.store.replace_after;
        let last_answer = |store: &StoreId| *self.answered_at.get(store).unwrap_or(&self.began);
        let stores = set.members.iter().map(|member| &member.store);
        stores.filter(|store| last_answer(store).elapsed() >= patience).cloned().collect()
    }

    /// Returns a change by which the set tolerates more losses, if all members answer and the same change has
    /// been due for [`IMPROVEMENT_DELAY`].
    fn improvement(
        &mut self,
        set: &ReplicaSet,
        stores: &[SetMember],
        mut free: Vec<SetMember>,
    ) -> Option<Replacement> {
        let answers = |member: &SetMember| stores.iter().any(|store| store.store == member.store);
        if !set.members.iter().all(answers) {
            self.improved_for = None;
            self.improvement = None;
            return None;
        }
        free.sort();
        let seen = (set.clone(), free);
        if self.improved_for.as_ref() != Some(&seen) {
            let step = placement::policy(&self.scope.context).improvement(set, &seen.1);
            if self.improvement.as_ref().map(|(known, _)| known) != step.as_ref() {
                self.improvement = step.map(|step| (step, Instant::now()));
            }
            self.improved_for = Some(seen);
        }
        let (step, since) = self.improvement.as_ref()?;
        (since.elapsed() >= IMPROVEMENT_DELAY).then(|| to_replacement(step.clone()))
    }

    /// Completes the retirement of machines that have no member in any shard of batch jobs, once every member
    /// of this set answers. Only the main shard's owner does this, for all shards, and only while the set is in
    /// force: a superseded owner may not know that a later set has such a member.
    async fn finish_retirements(&mut self, set: &ReplicaSet, stores: &[SetMember]) {
        let retired = self.retirements.nodes();
        let is_whole =
            set.members.iter().all(|member| stores.iter().any(|store| store.store == member.store));
        if retired.is_empty() || !is_whole || !self.scope.is_main() {
            return;
        }
        let mut members: BTreeSet<NodeId> = set.members.iter().map(|member| member.node.clone()).collect();
        for shard in self.regional_shards() {
            let known = replica_sets::query_stores(&self.scope.context, &shard).await;
            members.extend(known.into_iter().flat_map(|set| set.members).map(|member| member.node));
        }
        let empty: Vec<NodeId> = retired.into_iter().filter(|node| !members.contains(node)).collect();
        if empty.is_empty() || !self.is_in_force(set).await {
            return;
        }
        for node in empty {
            self.retirements.complete(&node);
            self.emptied.insert(node);
        }
    }

    /// Returns whether a majority of the members still serves this set.
    async fn is_in_force(&self, set: &ReplicaSet) -> bool {
        let serving = join_all(set.members.iter().map(|member| self.decided_through(set, member))).await;
        serving.iter().flatten().count() >= set.majority()
    }

    fn regional_shards(&self) -> Vec<ShardId> {
        let routes = self.scope.context.metadata.routes.load_full();
        let sets = routes.map(|table| regional::region_sets(&table)).unwrap_or_default();
        sets.iter().map(regional::shard_of).collect()
    }
}
