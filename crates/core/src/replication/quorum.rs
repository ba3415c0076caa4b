//! Majorities of a replica set. Any two majorities of a set share a member.

use std::collections::BTreeSet;

use super::replica_set::StoreId;

/// Returns the smallest majority of `members` members.
pub const fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Counts the distinct members that gave a vote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct VoteCount {
    voters: BTreeSet<StoreId>,
}

impl VoteCount {
    /// Counts a member's vote, at most once for each member.
    pub fn add(&mut self, voter: &StoreId) {
        self.voters.insert(voter.clone());
    }

    /// Returns the number of votes.
    pub fn len(&self) -> usize {
        self.voters.len()
    }

    /// Returns whether there are no votes.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns whether the votes are a majority of `members` members.
    pub(crate) fn is_majority_of(&self, members: usize) -> bool {
        self.voters.len() >= majority(members)
    }
}
