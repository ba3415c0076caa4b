//! Limits how old the weights behind a sample may be.

use crate::identity::WeightVersion;
use crate::request::answer::VersionSpan;

use super::span::oldest_version;

/// The greatest allowed difference between the trainer's weight version and the oldest version in a sample.
///
/// It is checked before an attempt starts and while it runs (to waste fewer tokens), before a decision (to
/// keep the slot open), and at hand-over against the version that the trainer states. Only the check at
/// hand-over guarantees the bound; the others save work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBound(pub u64);

/// A sample exceeds the staleness bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the sample is {staleness} versions old and {bound} are allowed; its slot is filled anew")]
pub struct TooOld {
    /// Number of versions by which the trainer is ahead of the sample's oldest tokens.
    pub staleness: u64,
    /// Greatest allowed number of versions.
    pub bound: u64,
}

impl StalenessBound {
    /// Checks one version against the trainer's.
    ///
    /// # Errors
    /// Fails when it is older than allowed.
    pub(crate) fn check(
        self,
        weight_version: WeightVersion,
        trainer_version: WeightVersion,
    ) -> Result<(), TooOld> {
        let staleness = staleness(weight_version, trainer_version);
        if staleness > self.0 {
            return Err(TooOld { staleness, bound: self.0 });
        }
        Ok(())
    }

    /// Checks the oldest version of a sample against the trainer's.
    ///
    /// # Errors
    /// Fails when it is older than allowed, or the sample has no spans.
    pub(crate) fn check_spans(
        self,
        spans: &[VersionSpan],
        trainer_version: WeightVersion,
    ) -> Result<(), TooOld> {
        let Some(oldest) = oldest_version(spans) else {
            return Err(TooOld { staleness: u64::MAX, bound: self.0 });
        };
        self.check(oldest, trainer_version)
    }
}

/// Returns by how many versions the trainer is ahead, or zero if the tokens are at least as new as the
/// trainer.
pub(crate) const fn staleness(weight_version: WeightVersion, trainer_version: WeightVersion) -> u64 {
    trainer_version.0.saturating_sub(weight_version.0)
}
