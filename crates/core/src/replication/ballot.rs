//! Ballots: an epoch and the only proposer that may use it.

use std::fmt;

use speedy::{Readable, Writable};

use crate::identity::Epoch;

/// Identifies one take-over by one process: unique across nodes, restarts and repeated take-overs of one
/// node.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ProposerId(String);

impl ProposerId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Wraps an id without checking it. The caller must use a different id for every take-over.
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }
}

impl fmt::Display for ProposerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// An epoch and its proposer.
///
/// Two proposers may ask for the same epoch. A replica promises an epoch to one proposer only, so at most one
/// of them gets a majority. Once it has, the epoch alone identifies the owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Ballot {
    /// The epoch.
    pub epoch: Epoch,
    /// The proposer that asks for the epoch.
    pub proposer: ProposerId,
}

impl Ballot {
    /// Returns whether a replica that promised `self` may accept requests under `other`.
    pub fn admits(&self, other: &Self) -> bool {
        other.epoch > self.epoch || other == self
    }
}

impl fmt::Display for Ballot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.epoch, self.proposer)
    }
}
