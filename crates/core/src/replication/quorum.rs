//! Majorities of a replica set.
//!
//! More than half of the members: any two majorities of a set share one.

use std::collections::BTreeSet;

use super::replica_set::StoreId;

/// How many of `members` make a majority: any two majorities share a member.
pub const fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Distinct members that agreed to something.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct VoteCount {
    voters: BTreeSet<StoreId>,
}

impl VoteCount {
    /// Counts a member; once, however often it answers.
    pub fn add(&mut self, voter: &StoreId) {
        self.voters.insert(voter.clone());
    }

    /// How many agreed.
    pub fn len(&self) -> usize {
        self.voters.len()
    }

    /// Whether nobody agreed yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Whether a majority of `members` agreed.
    pub(crate) fn is_majority_of(&self, members: usize) -> bool {
        self.voters.len() >= majority(members)
    }
}
