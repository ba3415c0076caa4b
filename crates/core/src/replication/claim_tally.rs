//! Counts the votes on one claim in one generation, for the claimant.
//!
//! The driver sends the claim to the replicas and repeats it to those that have not voted.

use super::claims::ClaimVote;
use super::quorum::VoteCount;
use super::replica_set::{ReplicaSet, StoreId};

/// The result of the votes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TallyResult {
    /// A majority voted for this attempt.
    Granted,
    /// A replica voted for another attempt, and this one can no longer get a majority.
    Held,
    /// The id's issue time was refused, and this attempt can no longer get a majority.
    OutsideWindow,
    /// The missing votes can still give a majority.
    Pending,
}

/// Votes on one claim. Votes of different generations must not be added up, so each generation needs a new
/// tally.
#[derive(Clone, Debug)]
pub struct ClaimTally {
    members: usize,
    granted: VoteCount,
    held: VoteCount,
    outside_window: VoteCount,
}

impl ClaimTally {
    /// Creates an empty tally for one generation.
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

    /// Returns the number of members that voted.
    pub fn answered(&self) -> usize {
        self.granted.len() + self.held.len() + self.outside_window.len()
    }

    /// Returns the result of the votes so far. `Granted` requires a majority.
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
