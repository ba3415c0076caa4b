//! The claimant's side: counts votes on one claim in one generation.
//!
//! Owns the votes so far; the driver sends the questions and asks again those that gave no vote.

use super::claims::ClaimVote;
use super::quorum::VoteCount;
use super::replica_set::{ReplicaSet, StoreId};

/// What the votes so far amount to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TallyResult {
    /// A majority voted for this attempt.
    Granted,
    /// Some replica voted for another attempt, and this one can't get a majority any more.
    Held,
    /// The id's issue time is refused, and this attempt can't get a majority any more.
    OutsideWindow,
    /// Votes that are still out can decide.
    Pending,
}

/// Votes on one claim. Votes of different generations must never be added up: make a new tally for each.
#[derive(Clone, Debug)]
pub struct ClaimTally {
    members: usize,
    granted: VoteCount,
    held: VoteCount,
    outside_window: VoteCount,
}

impl ClaimTally {
    /// An empty tally for one generation.
    pub fn new(set: &ReplicaSet) -> Self {
        Self {
            members: set.members.len(),
            granted: VoteCount::default(),
            held: VoteCount::default(),
            outside_window: VoteCount::default(),
        }
    }

    /// Counts a vote.
    pub fn add(&mut self, voter: &StoreId, vote: &ClaimVote) {
        match vote {
            ClaimVote::Granted => self.granted.add(voter),
            ClaimVote::Held => self.held.add(voter),
            ClaimVote::Expired | ClaimVote::TooFarAhead => self.outside_window.add(voter),
        }
    }

    /// How many members voted.
    pub fn answered(&self) -> usize {
        self.granted.len() + self.held.len() + self.outside_window.len()
    }

    /// What the votes amount to. Never `Granted` without a majority, however the rest voted.
    pub fn result(&self) -> TallyResult {
        if self.granted.is_majority_of(self.members) {
            return TallyResult::Granted;
        }
        let against = self.held.len() + self.outside_window.len();
        let reachable = self.members - against;
        if reachable >= super::quorum::majority(self.members) {
            return TallyResult::Pending;
        }
        if self.held.is_empty() { TallyResult::OutsideWindow } else { TallyResult::Held }
    }
}
