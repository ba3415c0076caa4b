//! Chooses the member of a replica set that is replaced next, and the store that replaces it.
//!
//! Invariant: a lost member is replaced whenever any other store answers. A store of a machine that is to be emptied is the
//! last choice, but a choice: a set that keeps a lost member has no majority after the next losses. That store leaves again
//! once another one answers.

use std::collections::BTreeSet;

use super::placement::PlacementPolicy;
use super::replica_set::{ReplicaSet, SetMember, StoreId};
use crate::identity::NodeId;

/// Why a member is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementReason {
    /// Its node answers with another store: the disk was replaced.
    DiskReplaced,
    /// It has not answered for long.
    Silent,
    /// Its machine is to be emptied.
    MachineLeaves,
}

impl ReplacementReason {
    /// Returns the name used in decisions.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DiskReplaced => "disk_replaced",
            Self::Silent => "not_seen",
            Self::MachineLeaves => "machine_leaves",
        }
    }
}

/// What is known of the stores.
#[derive(Clone, Copy, Debug)]
pub struct StoreView<'a> {
    /// The stores that answer, members and others.
    pub answering: &'a [SetMember],
    /// The members that have not answered for so long that they count as lost.
    pub silent: &'a BTreeSet<StoreId>,
    /// The machines that are to be emptied.
    pub retiring: &'a BTreeSet<NodeId>,
    /// Those of them that were reported as empty and may be removed at any time.
    pub emptied: &'a BTreeSet<NodeId>,
}

impl StoreView<'_> {
    fn answers(&self, member: &SetMember) -> bool {
        self.answering.iter().any(|store| store.store == member.store)
    }

    /// Whether the member's node answers with another store.
    fn has_other_store(&self, member: &SetMember) -> bool {
        self.answering.iter().any(|store| store.node == member.node && store.store != member.store)
    }

    /// Returns the answering stores of machines that stay.
    pub fn staying_stores(&self) -> Vec<SetMember> {
        let staying = self.answering.iter().filter(|store| !self.retiring.contains(&store.node));
        staying.cloned().collect()
    }

    /// Returns the answering stores of machines that are to be emptied and still hold data.
    fn retiring_stores(&self) -> Vec<SetMember> {
        let holds_data = |node: &NodeId| self.retiring.contains(node) && !self.emptied.contains(node);
        self.answering.iter().filter(|store| holds_data(&store.node)).cloned().collect()
    }
}

/// A member to replace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReplacement {
    /// The member that leaves.
    pub leaving: StoreId,
    /// The store that replaces it.
    pub joining: SetMember,
    /// Why it leaves.
    pub reason: ReplacementReason,
}

impl PlacementPolicy {
    /// Returns the next member to replace. Members whose disk was replaced come first, then silent ones. A member whose
    /// machine is to be emptied leaves only while all members answer. Returns `None` if fewer than a majority answer.
    pub fn replacement(&self, set: &ReplicaSet, view: &StoreView<'_>) -> Option<MemberReplacement> {
        let missing: Vec<&SetMember> = set.members.iter().filter(|member| !view.answers(member)).collect();
        if set.members.len() - missing.len() < set.majority() {
            return None;
        }
        if missing.is_empty() {
            let mut leaving = set.members.iter().filter(|member| view.retiring.contains(&member.node));
            return leaving.find_map(|member| self.replace_retiring(set, member, view));
        }
        let replaced_disks = missing.iter().filter(|member| view.has_other_store(member));
        let replaced_disks = replaced_disks.map(|member| (*member, ReplacementReason::DiskReplaced));
        let silent = missing.iter().filter(|member| view.silent.contains(&member.store));
        let silent = silent.map(|member| (*member, ReplacementReason::Silent));
        replaced_disks.chain(silent).find_map(|(member, reason)| self.replace_lost(set, member, reason, view))
    }

    fn replace_lost(
        &self,
        set: &ReplicaSet,
        lost: &SetMember,
        reason: ReplacementReason,
        view: &StoreView<'_>,
    ) -> Option<MemberReplacement> {
        let staying = members_without(set, lost);
        let joining = self
            .best_addition(&set.shard, &staying, &view.staying_stores())
            .or_else(|| self.best_addition(&set.shard, &staying, &view.retiring_stores()))?;
        Some(MemberReplacement { leaving: lost.store.clone(), joining, reason })
    }

    fn replace_retiring(
        &self,
        set: &ReplicaSet,
        member: &SetMember,
        view: &StoreView<'_>,
    ) -> Option<MemberReplacement> {
        let staying = members_without(set, member);
        let joining = self.best_addition(&set.shard, &staying, &view.staying_stores())?;
        let reason = ReplacementReason::MachineLeaves;
        Some(MemberReplacement { leaving: member.store.clone(), joining, reason })
    }
}

fn members_without(set: &ReplicaSet, leaving: &SetMember) -> Vec<SetMember> {
    set.members.iter().filter(|member| member.store != leaving.store).cloned().collect()
}
