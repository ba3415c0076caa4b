//! Ballots: an epoch together with the one proposer that may act under it.

use std::fmt;

use speedy::{Readable, Writable};

use crate::identity::Epoch;

/// One take-over by one process: unique across nodes, restarts and repeated take-overs of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ProposerId(String);

impl ProposerId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Wraps an id as it stands. Two take-overs must never share one.
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
/// Two proposers may ask for the same epoch. A replica promises an epoch to one proposer only, so at most one of
/// them gets a majority, and the epoch alone identifies the owner from then on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Ballot {
    /// The epoch.
    pub epoch: Epoch,
    /// Who asks for it.
    pub proposer: ProposerId,
}

impl Ballot {
    /// Whether a replica that promised `self` may still take part in `other`.
    pub fn admits(&self, other: &Self) -> bool {
        other.epoch > self.epoch || other == self
    }
}

impl fmt::Display for Ballot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.epoch, self.proposer)
    }
}
