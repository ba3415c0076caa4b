//! When a sample is too old to train on (brief point 2).

use crate::identity::WeightVersion;
use crate::request::answer::VersionSpan;

use super::span::oldest_version;

/// The greatest allowed difference between the trainer's weight version and the oldest version in a sample.
///
/// Tested three times: before an attempt is started and while it runs (to waste fewer tokens), before a
/// decision (to keep the slot open), and at hand-over against the version that the trainer states. Only the
/// last test is the guarantee; the others save work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBound(pub u64);

/// A sample is older than the bound allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the sample is {staleness} versions old and {bound} are allowed; its slot is filled anew")]
pub struct TooOld {
    /// How many versions the trainer is ahead of the sample's oldest tokens.
    pub staleness: u64,
    /// How many are allowed.
    pub bound: u64,
}

impl StalenessBound {
    /// Tests one version against the trainer's.
    ///
    /// # Errors
    /// When it is older than allowed.
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

    /// Tests the oldest of a sample's versions against the trainer's.
    ///
    /// # Errors
    /// When it is older than allowed. A sample without spans counts as older than any.
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

/// How many versions the trainer is ahead; zero where the tokens are as new as the trainer or newer.
pub(crate) const fn staleness(weight_version: WeightVersion, trainer_version: WeightVersion) -> u64 {
    trainer_version.0.saturating_sub(weight_version.0)
}
