//! What must never happen, as seen by the trainer.

use std::fmt;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A saved sample names other weights than those that made it (brief point 1).
    WrongVersions(String),
    /// A saved sample is older than the bound (brief point 2).
    TooOld(String),
    /// A slot was saved twice (brief point 3).
    Doubled(String),
    /// A slot was never saved (brief point 3).
    Lost(String),
    /// The same cursor and version gave other bytes (brief point 3).
    OtherBytes(String),
    /// A trainer that kept to the contract was refused.
    Refused(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}
